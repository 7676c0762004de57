package inspector_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/keeper"
	"github.com/endivelock/endivelock/internal/ledger"
	"github.com/endivelock/endivelock/internal/queries/inspector"
)

var errCut = errors.New("cut off")

// view is a fixed state.
type view struct{ state keeper.State }

func (v view) Snapshot() keeper.State { return v.state }

// leader answers queries with fixed values.
type leader struct {
	state  ledger.State
	counts map[string]int
	err    error
}

func (l *leader) JobState(context.Context, ledger.ID) (ledger.State, error) { return l.state, l.err }

func (l *leader) Counts(context.Context) (map[string]int, error) { return l.counts, l.err }

// noReplica is the replica of an entry that has none.
type noReplica struct{}

func (noReplica) CatchUp(context.Context) error { return errCut }

// replica returns the state of a replica that has read one job of queue q at a time.
func replica(at time.Time) keeper.State {
	s := keeper.New(keeper.Identity{Name: "me"}, keeper.Policy{})
	apply := func(e keeper.Event) { s, _ = s.Apply(e, at) }
	apply(keeper.Ticked{})
	job := ledger.Job{ID: "j", Queue: ledger.Queue{Name: "q"}}
	apply(keeper.JobsRead{Changes: []keeper.JobChange{{ID: "j", Job: &job}}, Next: 1, Snapshot: true})
	apply(keeper.RunsRead{Next: 0, Snapshot: true})
	return s
}

// Regression test (further-grown trouble-1): an entry whose replica lagged behind
// said that 1 job waits while 152 did. A count is recent or there is none.
func TestCountsAreRecentOrAnError(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		state  keeper.State
		leader leader
		want   int
		fails  bool
	}{
		"fresh replica":               {replica(now), leader{err: errCut}, 1, false},
		"lagging replica, leader":     {replica(now.Add(-5 * time.Second)), leader{counts: map[string]int{"q": 152}}, 152, false},
		"lagging replica, no leader":  {replica(now.Add(-5 * time.Second)), leader{err: errCut}, 0, true},
		"no replica, leader":          {keeper.New(keeper.Identity{}, keeper.Policy{}), leader{counts: map[string]int{"q": 7}}, 7, false},
		"neither leader nor replica":  {keeper.New(keeper.Identity{}, keeper.Policy{}), leader{err: errCut}, 0, true},
		"no replica, an unused queue": {keeper.New(keeper.Identity{}, keeper.Policy{}), leader{counts: map[string]int{}}, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			i := &inspector.Inspector{Viewer: view{c.state}, Leader: &c.leader, Replica: noReplica{}}
			got, err := i.Waiting(context.Background(), "q")
			assert.Equal(t, err != nil, c.fails, "%v", err)
			assert.Equal(t, got, c.want)
		})
	}
}

// Counts outlast a leader for the time that a takeover takes.
func TestCountsOutlastATakeover(t *testing.T) {
	l := &leader{counts: map[string]int{"q": 7}}
	i := &inspector.Inspector{Viewer: view{keeper.New(keeper.Identity{}, keeper.Policy{})}, Leader: l, Replica: noReplica{}}
	_, err := i.Waiting(context.Background(), "q")
	assert.NilError(t, err)
	l.err = errCut
	time.Sleep(600 * time.Millisecond) // beyond the time for which counts are not asked for again
	got, err := i.Waiting(context.Background(), "q")
	assert.NilError(t, err)
	assert.Equal(t, got, 7)
}

// Without a replica the leader alone says that a job does not exist; if it can't be
// asked, nobody says so.
func TestJobStateWithoutAReplica(t *testing.T) {
	for name, c := range map[string]struct {
		leader leader
		state  ledger.State
		known  bool
		fails  bool
	}{
		"known to the leader": {leader{state: ledger.Running}, ledger.Running, true, false},
		"no such job":         {leader{}, "", false, false},
		"leader cut off":      {leader{err: errCut}, "", false, true},
	} {
		t.Run(name, func(t *testing.T) {
			i := &inspector.Inspector{Viewer: view{keeper.New(keeper.Identity{}, keeper.Policy{})}, Leader: &c.leader, Replica: noReplica{}}
			state, known, err := i.JobState(context.Background(), "j")
			assert.Equal(t, err != nil, c.fails, "%v", err)
			assert.Equal(t, state, c.state)
			assert.Equal(t, known, c.known)
		})
	}
}
