package counter_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/review/standin/counter"
)

// A judge that counts each failed member takes a gang for beyond hope whose first run failed.
func TestARunInWhichSeveralMembersFailCountsOnce(t *testing.T) {
	var f counter.Failures
	assert.Equal(t, f.Most(), 0)
	for range 3 {
		f.Add("gang", 1)
	}
	assert.Equal(t, f.Most(), 1)
	f.Add("task", 1)
	assert.Equal(t, f.Most(), 1, "failures of two units add up")
	f.Add("gang", 2)
	assert.Equal(t, f.Most(), 2)
	all, several := f.Runs("gang")
	assert.Equal(t, all, 2)
	assert.Equal(t, several, 1)
}
