package keeper_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/keeper"
	"github.com/endivelock/endivelock/internal/ledger"
)

// A new leader counts jobs against shares in the order of their acceptance, ended ones
// included, and not in that of its table: the first that the share covers are within.
func TestANewLeaderCountsJobsInTheOrderOfTheirAcceptance(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	s := keeper.New(keeper.Identity{Name: "e"}, keeper.Policy{})
	apply := func(e keeper.Event) {
		now = now.Add(time.Millisecond)
		s, _ = s.Apply(e, now)
	}
	apply(keeper.ConfigRead{Version: 1, Workspaces: []ledger.Workspace{{Name: "w", Weight: 10}}})
	const covered, ended, jobs = 20, 5, 60 // the burst at a weight of 10, of jobs at one moment
	jobsRead, runsRead := keeper.JobsRead{Snapshot: true, Next: jobs}, keeper.RunsRead{Snapshot: true, Next: ended}
	for i := range jobs {
		job := ledger.Job{
			ID: ledger.ID(fmt.Sprintf("j%02d", i)), Workspace: "w", Accepted: now.Add(time.Duration(i) * time.Microsecond),
			Queue: ledger.Queue{Service: "s"}, Steps: []ledger.Step{{Count: 1, Request: ledger.Resources{CPU: 1}}},
		}
		jobsRead.Changes = append(jobsRead.Changes, keeper.JobChange{ID: job.ID, Job: &job, Offset: int64(i)})
		if i < ended {
			p := ledger.NewProgress(job).WithState(ledger.Complete).WithoutTasks()
			runsRead.Changes = append(runsRead.Changes, keeper.RunChange{ID: job.ID, Progress: &p, Offset: int64(i)})
		}
	}
	apply(jobsRead)
	apply(runsRead)
	apply(keeper.Ticked{Jitter: time.Nanosecond})
	apply(keeper.Ticked{Jitter: time.Nanosecond})
	apply(keeper.Claimed{Epoch: 100})
	assert.Equal(t, s.Role(), keeper.Leading)
	waits := s.Leader().Waits(now, 0, jobs)
	assert.Equal(t, len(waits), jobs-ended)
	for _, w := range waits {
		assert.Equal(t, w.Beyond, w.Job >= ledger.ID(fmt.Sprintf("j%02d", covered)), "%s", w.Job)
	}
}
