package gatekeeper_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
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

// Guards against accepted jobs that take up all memory. A job that may be in the log is not refused for it, and
// jobs of one weight leave room for lighter ones.
func TestJobsTakeUpAPartOfTheMemory(t *testing.T) {
	e := newLeader(t)
	logger, _ := test.NewNullLogger()
	g := gatekeeper.New(e, func() time.Time { return e.now }, logger)
	g.Memory = 8 << 20
	admit := func(id string, weight int64) error { return g.Admit(ledger.ID(id), ledger.Claim{Weight: weight}) }
	assert.NilError(t, admit("huge", 4<<20), "a single job is admitted")
	g.Withdraw("huge")
	fill := func(name string, weight int64) int {
		for i := range 10_000 {
			if err := admit(fmt.Sprint(name, i), weight); err != nil {
				assert.Assert(t, classifier.Is(err, classifier.Busy) && errors.Is(err, classifier.ErrCongested), "%v", err)
				return i
			}
		}
		return -1
	}
	assert.Equal(t, fill("large", 256<<10), 4)
	light := fill("light", 8<<10)
	assert.Assert(t, light > 40, "%d", light)
	assert.NilError(t, admit("ordinary", 1<<10))
	assert.NilError(t, admit("large0", 256<<10), "its append may be under way")
	for range 2 { // both attempts wrote nothing
		assert.Assert(t, admit("large4", 256<<10) != nil)
		g.Withdraw("large0")
	}
	again := fill("again", 8<<10)
	assert.Assert(t, again > 20, "%d", again)
	e.now = e.now.Add(time.Minute)
	assert.Equal(t, fill("later", 256<<10), 4)
}

// A job counts as long as it has not ended, and once.
func TestAcceptedJobsCountOnce(t *testing.T) {
	e := newLeader(t)
	logger, _ := test.NewNullLogger()
	g := gatekeeper.New(e, func() time.Time { return e.now }, logger)
	g.Memory = 1 << 20
	weight := e.job("f0").Weight()
	for i := range 20 {
		assert.NilError(t, g.Admit(ledger.ID(fmt.Sprintf("f%d", i)), ledger.Claim{Weight: weight}))
	}
	e.flood(0, 20)
	assert.Equal(t, e.state.Weight(), 20*weight)
	e.apply(keeper.JobsRead{Changes: []keeper.JobChange{{ID: "f0", Dropped: true, Offset: 100}}, Next: 101})
	assert.Equal(t, e.state.Weight(), 19*weight)
}
