package keeper_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/keeper"
	"github.com/endivelock/endivelock/internal/ledger"
)

const (
	replicaDelay    = time.Second
	smallShareDelay = 2 * time.Second
	minReplicaTime  = 10 * time.Second
)

// newUnlinkedEntry returns an entry that has just started.
func newUnlinkedEntry(share float64) *entry {
	e := newEntry()
	e.state = keeper.New(keeper.Identity{Name: "me", Address: "me:1", CPUShare: share}, keeper.Policy{
		LeaderTimeout: time.Second, ReplicaDelay: replicaDelay, SmallShareDelay: smallShareDelay, MinReplicaTime: minReplicaTime,
	})
	return e
}

// newReplicaEntry returns an entry that follows a leader over a link.
func newReplicaEntry(share float64) *entry {
	e := newUnlinkedEntry(share)
	e.apply(keeper.LeadsRead{Lead: &keeper.LeaderRecord{Epoch: 5, Name: "other", Address: "other:1"}})
	e.apply(keeper.Ticked{})
	e.apply(keeper.LinkEstablished{Epoch: 5})
	return e
}

// tickUntil advances the clock until a tick has an effect that satisfies a
// condition, and returns how long that took, or 0 if it did not happen in time.
func (e *entry) tickUntil(limit time.Duration, is func(keeper.Effect) bool) time.Duration {
	const period = 100 * time.Millisecond
	for d := period; d <= limit; d += period {
		e.now = e.now.Add(period)
		for _, effect := range e.apply(keeper.Ticked{Jitter: time.Millisecond}) {
			if is(effect) {
				return d
			}
		}
	}
	return 0
}

func starts(effect keeper.Effect) bool {
	_, ok := effect.(keeper.StartReplicating)
	return ok
}

func stops(effect keeper.Effect) bool {
	_, ok := effect.(keeper.StopReplicating)
	return ok
}

// Load pattern: 147 entries that each read all runs use up the read rate of the log
// and the links of weak entries, so that configuration and requests wait. Only
// standbys replicate.
func TestOnlyStandbysReplicate(t *testing.T) {
	e := newReplicaEntry(0.4)
	assert.Equal(t, e.tickUntil(30*time.Second, starts), time.Duration(0), "a linked entry that is no standby")
	e.apply(keeper.StandbysLearned{Epoch: 4, Standby: true})
	assert.Equal(t, e.tickUntil(time.Second, starts), time.Duration(0), "the wish of an earlier leader")
	e.apply(keeper.StandbysLearned{Epoch: 5, Standby: true})
	assert.Assert(t, e.tickUntil(time.Second, starts) > 0)
	assert.Assert(t, e.state.Replicating())
	e.apply(keeper.StandbysLearned{Epoch: 5, Standby: false})
	after := e.tickUntil(30*time.Second, stops)
	assert.Assert(t, after >= minReplicaTime && after <= minReplicaTime+time.Second, "stops after %v", after)
}

// If the leader and all its standbys are lost at once, the other entries replicate
// the log in order to lead, the strong ones first.
func TestEntriesWithoutALeaderReplicate(t *testing.T) {
	for name, c := range map[string]struct {
		share float64
		want  time.Duration
	}{
		"whole processor": {1, replicaDelay},
		"half":            {0.5, replicaDelay + smallShareDelay/2},
		"more than one":   {2, replicaDelay},
	} {
		t.Run(name, func(t *testing.T) {
			e := newReplicaEntry(c.share)
			e.apply(keeper.LinkLost{Epoch: 5})
			after := e.tickUntil(10*time.Second, starts)
			assert.Assert(t, after >= c.want && after <= c.want+200*time.Millisecond, "replicates after %v", after)
		})
	}
}

// Load pattern: all processes of the system are killed at once and started again. The
// log names the standbys of the last leader; these and that leader replicate at once,
// the others would only take the read rate of the log from them.
func TestNamedStandbysReplicateAtOnceAfterARestart(t *testing.T) {
	for name, c := range map[string]struct {
		lead keeper.LeaderRecord
		want time.Duration
	}{
		"standby":          {keeper.LeaderRecord{Epoch: 5, Name: "other", Address: "other:1", Standbys: []string{"third", "me"}}, 0},
		"the last leader":  {keeper.LeaderRecord{Epoch: 5, Name: "me", Address: "me:1", Standbys: []string{"third"}}, 0},
		"after resigning":  {keeper.LeaderRecord{Epoch: 5, Standbys: []string{"me"}}, 0},
		"neither":          {keeper.LeaderRecord{Epoch: 5, Name: "other", Address: "other:1", Standbys: []string{"third"}}, replicaDelay},
		"nobody was named": {keeper.LeaderRecord{Epoch: 5, Name: "other", Address: "other:1"}, replicaDelay},
	} {
		t.Run(name, func(t *testing.T) {
			e := newUnlinkedEntry(1)
			e.apply(keeper.LeadsRead{Lead: &c.lead})
			after := e.tickUntil(10*time.Second, starts)
			assert.Assert(t, after > c.want && after <= c.want+200*time.Millisecond, "replicates after %v", after)
		})
	}
}

// What the log says about standbys is older than what the leader says.
func TestLinkedEntriesAskTheLeaderWhetherTheyAreStandbys(t *testing.T) {
	e := newReplicaEntry(1)
	e.apply(keeper.LeadsRead{Lead: &keeper.LeaderRecord{Epoch: 5, Name: "other", Address: "other:1", Standbys: []string{"me"}}})
	assert.Equal(t, e.tickUntil(10*time.Second, starts), time.Duration(0))
}

// An entry that was told of a new leader in time does not replicate.
func TestNewLeaderMakesReplicasNeedless(t *testing.T) {
	e := newReplicaEntry(1)
	e.apply(keeper.LinkLost{Epoch: 5})
	assert.Equal(t, e.tickUntil(replicaDelay/2, starts), time.Duration(0))
	e.apply(keeper.LeadsRead{Lead: &keeper.LeaderRecord{Epoch: 9, Name: "third", Address: "third:1"}})
	e.apply(keeper.LinkEstablished{Epoch: 9})
	assert.Equal(t, e.tickUntil(10*time.Second, starts), time.Duration(0))
	assert.Equal(t, e.state.Lead().Name, "third")
}

// A read that was under way when the replica was dropped must not leave a part of
// the log behind that looks like a replica: the entry could lead with it and would
// lose all other jobs.
func TestLateReadsDoNotMakeAReplica(t *testing.T) {
	e := newReplicaEntry(1)
	late := ledger.Job{ID: "late"}
	e.apply(keeper.JobsRead{Changes: []keeper.JobChange{{Offset: 7, ID: "late", Job: &late}}, Next: 8})
	e.apply(keeper.RunsRead{Changes: []keeper.RunChange{lead(5, "other")}, Next: 9})
	assert.Assert(t, !e.state.Synced())
	_, known := e.state.JobState("late")
	assert.Assert(t, !known)
}

func TestChooseStandbys(t *testing.T) {
	leader := keeper.Identity{Name: "l", Zone: "a", CPUShare: 0.8}
	strong := func(name, zone string) keeper.Candidate {
		return keeper.Candidate{Name: name, Zone: zone, CPUShare: 0.8, ReadsLog: true}
	}
	weak := func(name, zone string) keeper.Candidate {
		return keeper.Candidate{Name: name, Zone: zone, CPUShare: 0.2, ReadsLog: true}
	}
	silent := strong("s", "b")
	silent.ReadsLog = false
	for name, c := range map[string]struct {
		candidates []keeper.Candidate
		current    []string
		want       []string
	}{
		"other zones first":        {[]keeper.Candidate{strong("a1", "a"), strong("b1", "b"), strong("b2", "b"), strong("c1", "c")}, nil, []string{"b1", "c1", "a1"}},
		"strength before zone":     {[]keeper.Candidate{strong("a1", "a"), weak("b1", "b"), weak("c1", "c")}, nil, []string{"a1", "b1"}},
		"current ones stay":        {[]keeper.Candidate{strong("b1", "b"), strong("b2", "b"), strong("c1", "c"), strong("c2", "c")}, []string{"c2", "b2"}, []string{"b2", "c2", "b1"}},
		"the log answers them":     {[]keeper.Candidate{silent, weak("b1", "b"), weak("c1", "c")}, []string{"s"}, []string{"b1", "c1"}},
		"fewer than asked for":     {[]keeper.Candidate{weak("b1", "b")}, nil, []string{"b1"}},
		"same zone, if no other's": {[]keeper.Candidate{strong("a1", "a"), strong("a2", "a")}, nil, []string{"a1", "a2"}},
		"more of the strong ones":  {[]keeper.Candidate{strong("a1", "a"), strong("b1", "b"), strong("c1", "c"), strong("c2", "c")}, nil, []string{"b1", "c1", "a1"}},
		"no more of the weak ones": {[]keeper.Candidate{weak("b1", "b"), strong("c1", "c"), weak("d1", "d")}, nil, []string{"c1", "b1"}},
	} {
		t.Run(name, func(t *testing.T) {
			assert.DeepEqual(t, keeper.ChooseStandbys(leader, c.candidates, c.current, 2, 3), c.want)
		})
	}
}
