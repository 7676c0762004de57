package scheduler_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/scheduler"
)

// A reader that starts after the first records were trimmed reads the same
// configuration, owners and live items from the repeated records.
func TestLiveRecordsAreRepeatedBeforeTheyAreTrimmed(t *testing.T) {
	s, launches := startItem(t, ownerState(1), work("x", scheduler.ItemService, 1, 1))
	assert.Equal(t, len(launches), 1)
	s = after(s, 0, scheduler.Ticked{})
	_, appends := effectsOf[scheduler.Append](s, s.Policy.Retention/2, scheduler.Ticked{})
	late := scheduler.New(scheduler.Entry{ID: id("late"), Zone: "z"}, scheduler.Policy{Tranches: 2}, startTime())
	next := int64(100)
	for _, a := range appends {
		e := scheduler.RecordsRead{Stream: a.Stream, First: 50, Next: next + 1}
		for _, r := range a.Records {
			if _, lost := r.(scheduler.FinishRecord); !lost {
				e.Records = append(e.Records, scheduler.ReadRecord{Offset: next, Record: r})
			}
		}
		late = after(late, 0, e)
		next++
	}
	assert.Equal(t, late.Config.Offset, s.Config.Offset)
	for _, resource := range []string{"server/s", "worker/w", "tranche/0", "tranche/1"} {
		c, ok := late.Claim(resource)
		assert.Assert(t, ok && c.Owner == s.Self.ID, resource)
	}
	i, _ := late.Items.Get("x")
	assert.Equal(t, i.Phase, scheduler.ItemRunning)
	assert.Equal(t, i.Placed[0].Worker, "w")
	used, _ := late.SizeUsed.Get("p")
	assert.Equal(t, used, scheduler.Size{CPU: 1})
}

// A rejected claim whose predecessor was trimmed must not be accepted by a late
// reader.
func TestLateReaderSkipsRejectedClaims(t *testing.T) {
	late := scheduler.New(scheduler.Entry{ID: id("late"), Zone: "z"}, scheduler.Policy{}, startTime())
	loser := scheduler.ClaimRecord{Resource: "server/s", Owner: id("b"), Basis: 7}
	winner := scheduler.ClaimRecord{Resource: "server/s", Owner: id("c"), Basis: 8, Held: true}
	late = after(late, 0, scheduler.RecordsRead{Stream: scheduler.ZoneStream("z"), First: 50, Next: 52, Records: []scheduler.ReadRecord{
		{Offset: 50, Record: loser}, {Offset: 51, Record: winner},
	}})
	c, _ := late.Claim("server/s")
	assert.Equal(t, c.Owner, id("c"))
}
