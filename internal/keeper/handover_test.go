package keeper_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/keeper"
	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
)

// Guards against leases that are given up too early: what a leader that has resigned says
// of them holds for the next one only. An entry whose claim came between may have led and
// renewed them, although no record of it is in the log.
func TestLeasesAreHandedOverToTheNextLeaderOnly(t *testing.T) {
	resigned := keeper.LeaderRecord{Epoch: 5, Leases: map[string]int64{"w": 500}}
	claim := keeper.RunChange{Claim: true}
	for name, c := range map[string]struct {
		before, between []keeper.RunChange
		givenUp         bool
	}{
		"next leader":      {nil, nil, true},
		"an earlier claim": {[]keeper.RunChange{claim, claim}, nil, true},
		"a claim between":  {nil, []keeper.RunChange{claim}, false},
		"claims around":    {[]keeper.RunChange{claim}, []keeper.RunChange{claim}, false},
	} {
		t.Run(name, func(t *testing.T) {
			e := synced(lead(5, "other"))
			e.state = keeper.New(keeper.Identity{Name: "me", Address: "me:1"}, keeper.Policy{
				LeaderTimeout: time.Second, Leader: leader.Policy{Lease: 6 * time.Second, MaxStaleRenewal: 5 * time.Second}, MaxGrant: 2 * time.Second,
			})
			e.apply(keeper.Ticked{})
			j := ledger.Job{ID: "j", Steps: []ledger.Step{{Count: 1}}}
			p := ledger.NewProgress(j).WithRoundBegun(j, 0).WithTask(ledger.TaskID{Job: "j"}, ledger.Task{}.WithRun(1, "w"))
			e.apply(keeper.JobsRead{Changes: []keeper.JobChange{{ID: "j", Job: &j, Offset: 100}}, Next: 101, Snapshot: true})
			e.runs(lead(5, "other"), keeper.RunChange{ID: "j", Progress: &p})
			e.runs(c.before...)
			e.runs(keeper.RunChange{Lead: &resigned})
			e.runs(c.between...)
			assert.Assert(t, e.claims(5*time.Second) > 0)
			e.runs(claim)
			e.apply(keeper.Claimed{Epoch: e.next})
			assert.Equal(t, e.state.Role(), keeper.Leading)
			assert.Equal(t, len(e.state.Leader().SilentLeases(e.now)), 1)
			e.now = e.now.Add(time.Second)
			e.apply(keeper.Ticked{})
			assert.Equal(t, len(e.state.Leader().SilentLeases(e.now)) == 0, c.givenUp)
		})
	}
}
