package commander_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against leases that lapse while the log is down: a poll that waits for an end held up
// the renewal of leases for up to two seconds of the short time for which a leader renews them
// without the log.
func TestLeasesLastThroughAnOutageOfTheLog(t *testing.T) {
	const renewal, sending = 2500 * time.Millisecond, 300 * time.Millisecond
	rapid.Check(t, func(rt *rapid.T) {
		before := duration(rt, "before the outage", 500*time.Millisecond, 5*time.Second)
		var left, most time.Duration
		synctest.Test(t, func(*testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			var confirmed atomic.Pointer[time.Time] // nil while the log confirms the leader
			m, f := newModelConfirmed(ctx, renewal, func() time.Time {
				if at := confirmed.Load(); at != nil {
					return *at
				}
				return time.Now()
			})
			defer f.commander.Wait()
			defer cancel()
			time.Sleep(before)
			last := time.Now()
			confirmed.Store(&last)
			time.Sleep(2 * renewal)
			m.mu.Lock()
			defer m.mu.Unlock()
			left = time.Duration(m.current.lease-m.current.clock())*time.Millisecond + time.Since(last)
			most = renewal + lease
		})
		assert.Assert(rt, left >= renewal+lease*98/100-sending, "leases last for %v from the last confirmation on", left)
		assert.Assert(rt, left <= most, "leases last for %v from the last confirmation on, but the next leader counts with %v", left, most)
	})
}
