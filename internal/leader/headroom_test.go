package leader_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
)

// Room for one more urgent task is kept at the large worker. Other work takes all that
// urgent tasks can't use: what is left beside that room, the small worker, and workers of
// another service.
func TestOtherWorkTakesWhatUrgentTasksCannotUse(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	s := leader.New(leader.Policy{Lease: time.Second}, now)
	placed := map[string]int{}
	apply := func(e leader.Event) {
		next, effects := s.Apply(e, now)
		s = next
		for _, effect := range effects {
			if d, ok := effect.(leader.Decision); ok && d.What == "place" {
				placed[string(d.Job)]++
			}
		}
	}
	for id, l := range map[string]leader.Listing{
		"large": {Service: "s", Capacity: ledger.Resources{CPU: 100}}, "small": {Service: "s", Capacity: ledger.Resources{CPU: 5}},
		"other": {Service: "o", Capacity: ledger.Resources{CPU: 10}},
	} {
		l.ID, l.Address, l.Incarnation = id, id, 1
		apply(leader.Listed{Listing: l})
		apply(leader.Reported{Worker: id, Report: leader.Report{Incarnation: 1, Clock: 1}, Sent: now, Deadline: 1000, Silence: 1})
	}
	accept := func(id, service string, priority, tasks int, cpu int64) {
		step := ledger.Step{Count: tasks, Request: ledger.Resources{CPU: cpu}, Estimate: time.Second}
		queue := ledger.Queue{Service: service, Priority: priority, Objective: time.Second}
		apply(leader.Accepted{Job: ledger.Job{ID: ledger.ID(id), Accepted: now, Queue: queue, Steps: []ledger.Step{step}}})
	}
	accept("urgent", "s", 0, 8, 10)
	accept("deferred", "s", 2, 5, 5)
	accept("elsewhere", "o", 2, 2, 5)
	accept("next", "s", 0, 1, 10)
	assert.DeepEqual(t, placed, map[string]int{"urgent": 8, "deferred": 3, "elsewhere": 2, "next": 1})
}
