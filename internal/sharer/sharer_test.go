package sharer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/ledger"
	"github.com/endivelock/endivelock/internal/sharer"
)

var start = time.Unix(1_700_000_000, 0)

// send sends jobs of a workspace at a rate for a time, and returns how many are within.
func send(s *sharer.Shares, w ledger.Workspace, rate float64, from, until time.Duration) (within, all int) {
	for at := from; at < until; at += time.Duration(float64(time.Second) / rate) {
		var standing sharer.Standing
		*s, standing = s.With(w, start.Add(at))
		if all++; !standing.Beyond {
			within++
		}
	}
	return within, all
}

// Load pattern: a workspace sends 0.5 to 20 times what its weight covers for ten seconds. As
// many jobs are within its share as its weight covers, and the burst that it may send.
func TestAWorkspaceHasAsManyJobsWithinItsShareAsItsWeightCovers(t *testing.T) {
	for _, weight := range []float64{0, 1, 5, 30} {
		for _, factor := range []float64{0.5, 1, 2, 7.5, 20} {
			t.Run(fmt.Sprint(weight, " x ", factor), func(t *testing.T) {
				var s sharer.Shares
				w := ledger.Workspace{Name: "w", Weight: weight}
				within, all := send(&s, w, factor*sharer.Rate(w), 0, 10*time.Second)
				covered := 10 * sharer.Rate(w)
				burst := max(sharer.BurstJobs, sharer.Burst.Seconds()*sharer.Rate(w))
				assert.Assert(t, float64(within) >= min(float64(all), covered)-1, "%d of %d", within, all)
				assert.Assert(t, float64(within) <= covered+burst+1, "%d of %d", within, all)
			})
		}
	}
}

// What a workspace sends too much takes nothing from what it is due later, nor from others.
func TestAFloodTakesNothingFromLaterJobsNorFromOthers(t *testing.T) {
	var s sharer.Shares
	hot, other := ledger.Workspace{Name: "hot", Weight: 4}, ledger.Workspace{Name: "other", Weight: 1}
	send(&s, hot, 400, 0, 10*time.Second)
	assert.Assert(t, !s.Standing(other, start.Add(10*time.Second)).Beyond)
	within, all := send(&s, hot, 4, 11*time.Second, 20*time.Second)
	assert.Equal(t, within, all)
}

// A clock that is a second behind costs a workspace nothing, and idle workspaces no memory.
func TestClocksMayDifferAndIdleWorkspacesAreForgotten(t *testing.T) {
	var s sharer.Shares
	for i := range 40 {
		at := start.Add(time.Duration(i) * time.Second / 2)
		var standing sharer.Standing
		for skew := range 2 {
			s, standing = s.With(ledger.Workspace{Name: "w", Weight: 4}, at.Add(-time.Duration(skew)*time.Second))
			assert.Assert(t, !standing.Beyond)
		}
	}
	s, _ = s.With(ledger.Workspace{Name: "other"}, start.Add(time.Minute))
	assert.Equal(t, s.Ahead(), 1)
}

// Jobs beyond shares take turns by weight.
func TestJobsBeyondTakeTurnsByWeight(t *testing.T) {
	var s sharer.Shares
	var last [2]int64
	for range 100 {
		for i, w := range []ledger.Workspace{{Name: "small", Weight: 1}, {Name: "large", Weight: 4}} {
			var standing sharer.Standing
			if s, standing = s.With(w, start); standing.Beyond {
				last[i] = standing.Turn
			}
		}
	}
	ratio := float64(last[0]-start.UnixMicro()) / float64(last[1]-start.UnixMicro())
	assert.Assert(t, ratio > 3.8 && ratio < 4.5, "%v", ratio)
}

// While nothing can be served, a workspace that sends more is ahead of the clock, and the
// others are not; once its jobs have begun, it is not either.
func TestOnlyWhoSendsMoreIsAheadOfTheClock(t *testing.T) {
	var f sharer.Fair
	var tag sharer.Tag
	for range 5 {
		f, tag = f.With(ledger.Workspace{Name: "hot", Weight: 1})
	}
	assert.Equal(t, tag.Lead, 4*time.Second)
	_, other := f.With(ledger.Workspace{Name: "other", Weight: 1})
	assert.Equal(t, other.Lead, time.Duration(0))
	_, tag = f.WithBegun(tag).With(ledger.Workspace{Name: "hot", Weight: 1})
	assert.Equal(t, tag.Lead, time.Second)
}
