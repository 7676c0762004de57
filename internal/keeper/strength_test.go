package keeper_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/keeper"
)

// A weak entry waits longer before it claims, so that a stronger entry claims
// first, and claims if none does.
func TestWeakEntriesClaimLater(t *testing.T) {
	const weakDelay = 400 * time.Millisecond
	for name, c := range map[string]struct {
		strongest float64
		later     time.Duration
	}{
		"no stronger peer known": {0, 0},
		"equal":                  {0.2, 0},
		"slightly stronger":      {0.3, 0},
		"much stronger":          {0.8, weakDelay},
	} {
		t.Run(name, func(t *testing.T) {
			e := newWeakEntry(0.2, weakDelay, time.Second)
			e.apply(keeper.Ticked{})
			e.apply(keeper.JobsRead{Next: 0, Snapshot: true})
			e.runs(lead(5, "other"))
			e.apply(keeper.PeersSeen{MaxCPUShare: c.strongest})
			after := e.claims(3 * time.Second)
			assert.Assert(t, after >= time.Second+c.later && after <= 1200*time.Millisecond+c.later, "claims after %v", after)
		})
	}
}

// A weak leader hands over to a stronger linked entry only once: if the stronger
// entry cannot claim, the weak one leads again and keeps leading.
func TestWeakLeadersHandOverOnce(t *testing.T) {
	const minLeadTime = 3 * time.Second
	e := newWeakEntry(0.2, 400*time.Millisecond, minLeadTime)
	e.apply(keeper.Ticked{})
	e.apply(keeper.JobsRead{Next: 0, Snapshot: true})
	e.runs()
	assert.Assert(t, e.claims(time.Second) > 0)
	e.apply(keeper.Claimed{Epoch: 7})
	e.apply(keeper.PeersSeen{MaxCPUShare: 0.8})
	assert.Assert(t, e.resigns(minLeadTime-100*time.Millisecond) == 0)
	assert.Assert(t, e.resigns(time.Second) > 0)

	e.runs(lead(7, ""))
	assert.Assert(t, e.claims(2*time.Second) > 0, "no stronger entry has claimed")
	e.apply(keeper.Claimed{Epoch: 9})
	e.apply(keeper.PeersSeen{MaxCPUShare: 0.8})
	assert.Assert(t, e.resigns(10*time.Second) == 0)
}

func newWeakEntry(strength float64, weakDelay, minLeadTime time.Duration) *entry {
	e := newEntry()
	self := keeper.Identity{Name: "me", Address: "me:1", CPUShare: strength}
	e.state = keeper.New(self, keeper.Policy{LeaderTimeout: time.Second, Retention: time.Minute, WeakDelay: weakDelay, MinLeadTime: minLeadTime})
	return e
}

// resigns advances the clock and returns after how long the entry resigns, or 0.
func (e *entry) resigns(limit time.Duration) time.Duration {
	for d := time.Duration(0); d < limit; d += 50 * time.Millisecond {
		e.now = e.now.Add(50 * time.Millisecond)
		for _, effect := range e.apply(keeper.Ticked{Jitter: time.Millisecond}) {
			if _, ok := effect.(keeper.Resign); ok {
				return d + 50*time.Millisecond
			}
		}
	}
	return 0
}
