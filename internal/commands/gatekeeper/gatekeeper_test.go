package gatekeeper_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/classifier"
	"github.com/endivelock/endivelock/internal/commands/gatekeeper"
	"github.com/endivelock/endivelock/internal/keeper"
	"github.com/endivelock/endivelock/internal/ledger"
)

// entry is an entry without workers.
type entry struct {
	state keeper.State
	now   time.Time
}

func (e *entry) Snapshot() keeper.State { return e.state }

func (e *entry) apply(events ...keeper.Event) {
	for _, event := range events {
		e.now = e.now.Add(time.Millisecond)
		e.state, _ = e.state.Apply(event, e.now)
	}
}

func (e *entry) job(id string) ledger.Job {
	return ledger.Job{
		ID: ledger.ID(id), Workspace: "hot", Accepted: e.now, Queue: ledger.Queue{Service: "s", Objective: time.Second},
		Steps: []ledger.Step{{Count: 1, Estimate: time.Second, Request: ledger.Resources{CPU: 1}}},
	}
}

// flood brings jobs of the workspace into the log.
func (e *entry) flood(from, jobs int) {
	for i := range jobs {
		job := e.job(fmt.Sprintf("f%d", from+i))
		e.apply(keeper.JobsRead{Changes: []keeper.JobChange{{ID: job.ID, Job: &job, Offset: int64(from + i)}}, Next: int64(from + i + 1)})
	}
}

func newLeader(t *testing.T) *entry {
	e := &entry{state: keeper.New(keeper.Identity{Name: "e"}, keeper.Policy{}), now: time.Unix(1_700_000_000, 0)}
	e.apply(keeper.ConfigRead{Version: 3, Workspaces: []ledger.Workspace{{Name: "hot", Weight: 1}}}, keeper.JobsRead{Snapshot: true}, keeper.RunsRead{Snapshot: true})
	e.apply(keeper.Ticked{Jitter: time.Nanosecond}, keeper.Ticked{Jitter: time.Nanosecond}, keeper.Claimed{Epoch: 1})
	assert.Equal(t, e.state.Role(), keeper.Leading)
	return e
}

// A job that may be in the log is answered as before; only what was never let in is refused.
func TestWhatMayBeInTheLogIsNotRefused(t *testing.T) {
	e := newLeader(t)
	logger, logged := test.NewNullLogger()
	g := gatekeeper.New(e, func() time.Time { return e.now }, logger)
	admit := func(id string) error { return g.Admit(ledger.ID(id), e.job(id).Claim()) }
	assert.NilError(t, admit("admitted"))
	e.flood(0, 30)
	err := admit("new")
	assert.Assert(t, classifier.Is(err, classifier.BeyondShare), "%v", err)
	assert.Assert(t, classifier.NotExecuted(err))
	assert.Equal(t, classifier.RetryAfter(err), 4*time.Second)
	assert.Equal(t, logged.LastEntry().Data["workspace"], "hot")
	assert.Equal(t, logged.LastEntry().Data["version"], int64(3))
	assert.NilError(t, admit("admitted"), "its append may be under way")
	assert.NilError(t, admit("f29"), "it is in the log")
	assert.NilError(t, g.Admit("public", ledger.Claim{}))
	e.apply(keeper.Deposed{Why: "test"})
	assert.NilError(t, admit("new"), "who doesn't lead refuses nothing")
}
