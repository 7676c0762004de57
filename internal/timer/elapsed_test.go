package timer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/timer"
)

// A suspended instance sees little time pass on its monotonic clock, and a step back of
// the wall clock must not prolong a permission either: the larger of both counts.
func TestElapsedTakesTheLargerOfBothClocks(t *testing.T) {
	now := time.Now()
	assert.Equal(t, timer.Elapsed(now, now.Add(time.Second)), time.Second)
	suspended := now.Round(0).Add(-time.Minute) // no monotonic reading: a minute ago by the wall clock
	assert.Equal(t, timer.Elapsed(suspended, now), time.Minute)
	ahead := now.Round(0).Add(time.Minute)
	assert.Assert(t, timer.Elapsed(ahead, now) < 0)
}
