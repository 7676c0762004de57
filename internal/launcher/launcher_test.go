package launcher_test

import (
	"fmt"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/launcher"
)

// Launch doesn't wait, however many functions wait for room, and each of them runs once.
func TestLaunchNeverWaits(t *testing.T) {
	const count, limit = 50_000, 8
	l := launcher.Launcher{Limit: limit}
	held := make(chan struct{})
	var running, most, ran atomic.Int64
	run := func() {
		n := running.Add(1)
		for seen := most.Load(); n > seen && !most.CompareAndSwap(seen, n); seen = most.Load() {
			continue
		}
		<-held
		running.Add(-1)
		ran.Add(1)
	}
	for i := range count {
		l.Launch(fmt.Sprint(i), run)
		l.Launch(fmt.Sprint(i), run) // the same key
	}
	assert.Assert(t, l.Waiting() >= count-limit)
	close(held)
	l.Wait()
	assert.Equal(t, ran.Load(), int64(count))
	assert.Assert(t, most.Load() <= limit)
}

// A key is free again once its function has run.
func TestAKeyIsUsedAgain(t *testing.T) {
	var l launcher.Launcher
	for range 3 {
		var ran bool
		l.Launch("key", func() { ran = true })
		l.Wait()
		assert.Assert(t, ran)
	}
}
