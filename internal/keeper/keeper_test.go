package keeper_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/keeper"
	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
)

// entry applies events to a state under a simulated clock.
type entry struct {
	state keeper.State
	now   time.Time
	next  int64 // offset of the next record of the runs
}

func newEntry() *entry {
	self := keeper.Identity{Name: "me", Address: "me:1"}
	return &entry{
		state: keeper.New(self, keeper.Policy{LeaderTimeout: time.Second, LinkLostTimeout: 500 * time.Millisecond, UnreachableTimeout: 200 * time.Millisecond, Retention: time.Minute}),
		now:   time.Unix(1_700_000_000, 0),
	}
}

func (e *entry) apply(event keeper.Event) []keeper.Effect {
	next, effects := e.state.Apply(event, e.now)
	e.state = next
	return effects
}

// runs applies a read of the stream of runs with the given records.
func (e *entry) runs(changes ...keeper.RunChange) {
	for i := range changes {
		changes[i].Offset = e.next
		e.next++
	}
	e.apply(keeper.RunsRead{Changes: changes, Next: e.next, Snapshot: e.state.Offset(keeper.Runs) < 0})
}

func lead(epoch int64, name string) keeper.RunChange {
	return keeper.RunChange{Lead: &keeper.LeaderRecord{Epoch: epoch, Name: name, Address: name + ":1"}}
}

// claims advances the clock while the log can be read, and returns after how long
// the entry claims leadership, or 0.
func (e *entry) claims(limit time.Duration) time.Duration {
	for d := time.Duration(0); d < limit; d += 50 * time.Millisecond {
		e.now = e.now.Add(50 * time.Millisecond)
		e.runs()
		for _, effect := range e.apply(keeper.Ticked{Jitter: time.Millisecond}) {
			if c, ok := effect.(keeper.Claim); ok {
				if c.Expected != e.next {
					panic("claim does not expect the offset that was read last")
				}
				return d + 50*time.Millisecond
			}
		}
	}
	return 0
}

func synced(leaders ...keeper.RunChange) *entry {
	e := newEntry()
	e.apply(keeper.Ticked{})
	e.apply(keeper.JobsRead{Next: 0, Snapshot: true})
	e.runs(leaders...)
	return e
}

func TestLeaderTimeouts(t *testing.T) {
	for name, c := range map[string]struct {
		prepare  func() *entry
		from, to time.Duration
	}{
		"silent":         {func() *entry { return synced(lead(5, "other")) }, time.Second, 1200 * time.Millisecond},
		"no leader yet":  {func() *entry { return synced() }, 0, 100 * time.Millisecond},
		"resigned":       {func() *entry { return synced(lead(5, "")) }, 0, 100 * time.Millisecond},
		"was this entry": {func() *entry { return synced(lead(5, "me")) }, 0, 100 * time.Millisecond},
		"link lost": {func() *entry {
			e := synced(lead(5, "other"))
			e.apply(keeper.LinkLost{Epoch: 5})
			return e
		}, 500 * time.Millisecond, 700 * time.Millisecond},
		"unreachable": {func() *entry {
			e := synced(lead(5, "other"))
			e.apply(keeper.LinkLost{Epoch: 5, Unreachable: true})
			return e
		}, 200 * time.Millisecond, 400 * time.Millisecond},
		"stepped down": {func() *entry {
			e := synced(lead(5, "other"))
			e.apply(keeper.LinkLost{Epoch: 5, SteppedDown: true})
			return e
		}, 0, 100 * time.Millisecond},
		"link to an earlier leader lost": {func() *entry {
			e := synced(lead(5, "other"))
			e.apply(keeper.LinkLost{Epoch: 4, SteppedDown: true})
			return e
		}, time.Second, 1200 * time.Millisecond},
		"another entry claims": {func() *entry {
			e := synced(lead(5, ""))
			e.runs(keeper.RunChange{Claim: true})
			return e
		}, 500 * time.Millisecond, 700 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			after := c.prepare().claims(3 * time.Second)
			assert.Assert(t, after >= c.from && after <= c.to, "claims after %s", after)
		})
	}
}

// A leader must not be replaced because the log cannot be read: heartbeats travel
// through the log, and the timeout starts anew once it is readable.
// A claim that the log has decided must not hold up the next one: its entry may have
// led and resigned since. A claim that is not decided yet holds up others.
func TestDecidedClaimsHoldUpNoOther(t *testing.T) {
	for name, c := range map[string]struct {
		after    []keeper.RunChange
		from, to time.Duration
	}{
		"undecided":             {nil, 400 * time.Millisecond, 600 * time.Millisecond},
		"decided":               {[]keeper.RunChange{lead(2, "")}, 0, 100 * time.Millisecond},
		"record from before it": {[]keeper.RunChange{lead(1, "")}, 400 * time.Millisecond, 600 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			e := synced(lead(1, ""))
			e.runs(append([]keeper.RunChange{{Claim: true}}, c.after...)...)
			after := e.claims(3 * time.Second)
			assert.Assert(t, after > c.from && after <= c.to, "%v", after)
		})
	}
}

func TestUnreadableLogCausesNoClaim(t *testing.T) {
	e := synced(lead(5, "other"))
	for range 100 {
		e.now = e.now.Add(100 * time.Millisecond)
		e.apply(keeper.ReadFailed{})
		for _, effect := range e.apply(keeper.Ticked{Jitter: time.Millisecond}) {
			_, claim := effect.(keeper.Claim)
			assert.Assert(t, !claim)
		}
	}
	assert.Assert(t, e.claims(3*time.Second) >= time.Second)
}

func TestStaleLeaderIsIgnored(t *testing.T) {
	e := synced(lead(5, "other"))
	e.apply(keeper.LeaderLearned{Lead: keeper.LeaderRecord{Epoch: 4, Name: "old"}, From: "x"})
	assert.Equal(t, e.state.Lead().Name, "other")
	e.apply(keeper.LeaderLearned{Lead: keeper.LeaderRecord{Epoch: 6, Name: "new"}, From: "x"})
	assert.Equal(t, e.state.Lead().Name, "new")
	e.runs(lead(5, "other"))
	assert.Equal(t, e.state.Lead().Name, "new")
}

// A leader that is fenced off stops at once, and waits the full leader timeout
// before it claims again.
func TestDeposedLeader(t *testing.T) {
	e := synced()
	e.claims(time.Second)
	e.apply(keeper.Claimed{Epoch: 9})
	assert.Equal(t, e.state.Role(), keeper.Leading)
	var resigned bool
	for _, effect := range e.apply(keeper.Deposed{Why: "fenced"}) {
		r, ok := effect.(keeper.Resign)
		resigned = resigned || ok && r.Epoch == 9 && !r.Graceful
	}
	assert.Assert(t, resigned)
	assert.Equal(t, e.state.Role(), keeper.Following)
	assert.Equal(t, len(e.apply(keeper.LeaderEvent{Epoch: 9, Event: leader.Ticked{}})), 0)
	e.runs()
	assert.Assert(t, e.claims(3*time.Second) >= time.Second)
}

func job(id ledger.ID) keeper.JobChange {
	return keeper.JobChange{ID: id, Job: &ledger.Job{ID: id, Steps: []ledger.Step{{Count: 1}}}}
}

// A late retry of a request must not restart a job that has ended.
func TestLateRetryOfAnEndedJob(t *testing.T) {
	e := synced()
	over := ledger.Progress{State: ledger.Complete}
	e.runs(keeper.RunChange{ID: "j", Progress: &over})
	e.claims(time.Second)
	e.apply(keeper.Claimed{Epoch: 9})
	var discarded bool
	for _, effect := range e.apply(keeper.JobsRead{Changes: []keeper.JobChange{job("j")}, Next: 1}) {
		d, ok := effect.(keeper.Discard)
		discarded = discarded || ok && d.Job == "j"
	}
	assert.Assert(t, discarded)
	state, known := e.state.JobState("j")
	assert.Assert(t, known)
	assert.Equal(t, state, ledger.Complete)
}

// A job may be dropped from the stream of jobs only after its end is in the log.
func TestEndedJobIsDroppedAfterItsEndIsWritten(t *testing.T) {
	e := synced()
	e.apply(keeper.JobsRead{Changes: []keeper.JobChange{job("j")}, Next: 1})
	e.claims(time.Second)
	effects := e.apply(keeper.Claimed{Epoch: 9})
	effects = append(effects, e.apply(keeper.LeaderEvent{Epoch: 9, Event: leader.CancelAccepted{Job: "j"}})...)
	for _, effect := range effects {
		_, ok := effect.(keeper.Discard)
		assert.Assert(t, !ok)
	}
	state, _ := e.state.JobState("j")
	assert.Equal(t, state, ledger.Queued, "a state that is not in the log must not be reported")
	over := ledger.Progress{State: ledger.Cancelled}
	var discarded bool
	for _, effect := range e.apply(keeper.Written{Batch: 1, Changes: []keeper.RunChange{{ID: "j", Progress: &over}}}) {
		_, ok := effect.(keeper.Discard)
		discarded = discarded || ok
	}
	assert.Assert(t, discarded)
	state, _ = e.state.JobState("j")
	assert.Equal(t, state, ledger.Cancelled)
}

func TestRepeatedReadsAreIdempotent(t *testing.T) {
	e := synced()
	e.apply(keeper.JobsRead{Changes: []keeper.JobChange{job("a"), job("b")}, Next: 2})
	e.apply(keeper.JobsRead{Changes: []keeper.JobChange{{ID: "a", Dropped: true, Offset: 2}}, Next: 3})
	e.apply(keeper.JobsRead{Changes: []keeper.JobChange{job("a")}, Next: 1}) // a slower reader's batch
	_, known := e.state.Job("a")
	assert.Assert(t, !known)
	assert.Equal(t, e.state.Offset(keeper.Jobs), int64(3))
}

// Guards against a second start of a task that an earlier leader has started: the entry that
// leads next may have read less of the jobs than that leader.
func TestAJobReadLateKeepsItsRuns(t *testing.T) {
	e := synced()
	late := job("j")
	begun := ledger.NewProgress(*late.Job).WithRoundsBegun(*late.Job, 0).WithState(ledger.Running)
	begun = begun.WithTask(ledger.TaskID{Job: "j"}, ledger.Task{}.WithRun(1, "w"))
	e.runs(keeper.RunChange{ID: "j", Progress: &begun})
	e.claims(time.Second)
	e.apply(keeper.Claimed{Epoch: 9})
	submit := func(event leader.Event) []keeper.Effect {
		return e.apply(keeper.LeaderEvent{Epoch: 9, Event: event})
	}
	submit(leader.Listed{Listing: leader.Listing{ID: "other", Address: "other", Capacity: ledger.Resources{CPU: 1}}})
	effects := submit(leader.Reported{Worker: "other", Report: leader.Report{Incarnation: 1, Clock: 1}, Sent: e.now, Silence: leader.FirstSilence(0)})
	batch := int64(0)
	for _, effect := range effects {
		if l, ok := effect.(keeper.LeaderEffect); ok {
			if r, ok := l.Effect.(leader.RecordLeases); ok {
				batch = r.Batch
			}
		}
	}
	e.apply(keeper.Written{Batch: batch})
	for _, effect := range e.apply(keeper.JobsRead{Changes: []keeper.JobChange{late}, Next: 1}) {
		if l, ok := effect.(keeper.LeaderEffect); ok {
			d, _ := l.Effect.(leader.Decision)
			assert.Assert(t, d.What != "place", "%+v", d)
		}
	}
}

// Guards against a second run of a task that is done: a leader that had not read the task's job yet
// let the worker forget the end, and found the task started when it read the job.
func TestNoEndOfAJobThatIsReadLateIsForgotten(t *testing.T) {
	e := synced()
	late := job("j")
	begun := ledger.NewProgress(*late.Job).WithRoundsBegun(*late.Job, 0).WithState(ledger.Running)
	begun = begun.WithTask(ledger.TaskID{Job: "j"}, ledger.Task{}.WithRun(1, "w"))
	e.runs(keeper.RunChange{ID: "j", Progress: &begun})
	ended := leader.Report{Incarnation: 1, Clock: 1, Ended: []leader.RunEnd{{Number: 1, Task: "j.0.0.0", Run: 1, Kind: leader.EndDone}}}
	// lead has the entry claim and hear of the end, and returns the last record of the job
	// that was in the log before the end was acknowledged, and whether it was.
	lead := func(epoch int64) (*ledger.Progress, bool) {
		e.claims(time.Second)
		e.apply(keeper.Claimed{Epoch: epoch, Jobs: 1})
		effects := e.apply(keeper.LeaderEvent{Epoch: epoch, Event: leader.Listed{Listing: leader.Listing{ID: "w", Address: "w", Capacity: ledger.Resources{CPU: 1}}}})
		effects = append(effects, e.apply(keeper.LeaderEvent{Epoch: epoch, Event: leader.Reported{Worker: "w", Report: ended, Sent: e.now, Silence: leader.FirstSilence(0)}})...)
		for batch := range int64(5) {
			effects = append(effects, e.apply(keeper.Written{Batch: batch + 1})...)
		}
		var recorded *ledger.Progress
		for _, effect := range effects {
			if l, ok := effect.(keeper.LeaderEffect); ok {
				switch f := l.Effect.(type) {
				case leader.Record:
					if f.Job == "j" {
						recorded = &f.Progress
					}
				case leader.Acknowledge:
					return recorded, true
				}
			}
		}
		return recorded, false
	}
	_, acknowledged := lead(9)
	assert.Assert(t, !acknowledged)
	e.apply(keeper.JobsRead{Changes: []keeper.JobChange{late}, Next: 1})
	recorded, acknowledged := lead(11)
	assert.Assert(t, acknowledged)
	assert.Assert(t, recorded != nil, "the end is acknowledged and not in the log")
	assert.Equal(t, recorded.State, ledger.Complete)
}

// Guards against a leader that doesn't know all that an earlier one has recorded.
func TestNoClaimSucceedsBeforeTheStreamsWereReadToTheirEnds(t *testing.T) {
	for name, behind := range map[string]struct{ jobs, runs int64 }{"jobs": {jobs: 1}, "runs": {runs: 1}, "neither": {}} {
		t.Run(name, func(t *testing.T) {
			e := synced()
			e.claims(time.Second)
			e.apply(keeper.Claimed{Epoch: 9, Jobs: behind.jobs, Runs: e.next + behind.runs})
			assert.Equal(t, e.state.Role() == keeper.Leading, behind.jobs+behind.runs == 0)
		})
	}
}

// Guards against a second run of a task that is done, where an entry can't decode the record of its
// job: it reads on, leads without the job, and lets the worker forget the end.
func TestNoEndOfAJobThatCannotBeDecodedIsForgotten(t *testing.T) {
	e := synced()
	begun := ledger.NewProgress(*job("j").Job).WithRoundsBegun(*job("j").Job, 0).WithState(ledger.Running)
	begun = begun.WithTask(ledger.TaskID{Job: "j"}, ledger.Task{}.WithRun(1, "w"))
	e.runs(keeper.RunChange{ID: "j", Progress: &begun})
	e.apply(keeper.JobsRead{Next: 1})
	e.claims(time.Second)
	e.apply(keeper.Claimed{Epoch: 9, Jobs: 1})
	ended := leader.Report{Incarnation: 1, Clock: 1, Ended: []leader.RunEnd{{Number: 1, Task: "j.0.0.0", Run: 1, Kind: leader.EndDone}}}
	effects := e.apply(keeper.LeaderEvent{Epoch: 9, Event: leader.Listed{Listing: leader.Listing{ID: "w", Address: "w", Capacity: ledger.Resources{CPU: 1}}}})
	effects = append(effects, e.apply(keeper.LeaderEvent{Epoch: 9, Event: leader.Reported{Worker: "w", Report: ended, Sent: e.now, Silence: leader.FirstSilence(0)}})...)
	for batch := range int64(5) {
		effects = append(effects, e.apply(keeper.Written{Batch: batch + 1})...)
	}
	for _, effect := range effects {
		if l, ok := effect.(keeper.LeaderEffect); ok {
			_, acknowledges := l.Effect.(leader.Acknowledge)
			assert.Assert(t, !acknowledges, "%+v", l.Effect)
		}
	}
}
