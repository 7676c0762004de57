package keeper_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/keeper"
	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
)

// withRun returns an entry that has read a lasting run at worker w.
func withRun(changes ...keeper.RunChange) *entry {
	e := synced(changes...)
	e.state = keeper.New(keeper.Identity{Name: "me", Address: "me:1"}, keeper.Policy{
		LeaderTimeout: time.Second, Leader: leader.Policy{Lease: 6 * time.Second, MaxStaleRenewal: 5 * time.Second}, MaxGrant: 2 * time.Second,
	})
	e.apply(keeper.Ticked{})
	j := ledger.Job{ID: "j", Steps: []ledger.Step{{Count: 1}}}
	p := ledger.NewProgress(j).WithRoundsBegun(j, 0).WithTask(ledger.TaskID{Job: "j"}, ledger.Task{}.WithRun(1, "w"))
	e.apply(keeper.JobsRead{Changes: []keeper.JobChange{{ID: "j", Job: &j, Offset: 100}}, Next: 101, Snapshot: true})
	e.runs(append(changes, keeper.RunChange{ID: "j", Progress: &p})...)
	return e
}

// takeOver has the entry claim and lead, and returns the leases that it inherits.
func (e *entry) takeOver(t *testing.T, claim keeper.RunChange) leader.Leases {
	t.Helper()
	assert.Assert(t, e.claims(5*time.Second) > 0)
	e.runs(claim)
	e.apply(keeper.Claimed{Epoch: e.next})
	assert.Equal(t, e.state.Role(), keeper.Leading)
	return e.state.Leader().Leases()
}

func record(epoch, clock int64, name string) keeper.RunChange {
	return keeper.RunChange{Lead: &keeper.LeaderRecord{Epoch: epoch, Name: name, Clock: clock}}
}

// Guards against leases that are given up too early: what the log says of them doesn't hold
// if an entry has claimed since that may have renewed leases before a record of it is in the log.
func TestLeasesInTheLogHoldUnlessAnotherLeaderMayHaveRenewedThem(t *testing.T) {
	named := keeper.RunChange{Leases: &keeper.LeaseRecord{Epoch: 5, Until: map[string]int64{"w": 1500}}}
	claim, awaits := keeper.RunChange{Claim: true}, keeper.RunChange{Claim: true, Awaits: true}
	for name, c := range map[string]struct {
		before, between []keeper.RunChange
		givenUp         bool
	}{
		"next leader":                   {nil, nil, true},
		"an earlier claim":              {[]keeper.RunChange{claim, claim}, nil, true},
		"a claim between":               {nil, []keeper.RunChange{claim}, false},
		"claims around":                 {[]keeper.RunChange{claim}, []keeper.RunChange{claim}, false},
		"a claim that awaits a record":  {nil, []keeper.RunChange{awaits}, true},
		"a leader without a clock":      {nil, []keeper.RunChange{lead(5, "other")}, false},
		"a leader without lease record": {nil, []keeper.RunChange{record(6, 1001, "")}, false},
	} {
		t.Run(name, func(t *testing.T) {
			e := withRun(lead(5, "other"))
			e.runs(c.before...)
			e.runs(named, record(5, 1000, ""))
			e.runs(c.between...)
			e.takeOver(t, awaits)
			lost := lostAt(e, time.Second)
			assert.Equal(t, lost != 0, c.givenUp)
			assert.Assert(t, !c.givenUp || lost > 300*time.Millisecond && lost < 600*time.Millisecond, "given up after %v", lost)
		})
	}
}

// Guards against leases that are given up too early: an append that has nothing but a record
// of leases confirms its leader as any other does.
func TestARecordOfLeasesCountsAsOneOfItsLeader(t *testing.T) {
	e := withRun(lead(5, "other"))
	e.runs(keeper.RunChange{Leases: &keeper.LeaseRecord{Epoch: 5}}, record(5, 1000, "other"))
	e.now = e.now.Add(190 * time.Millisecond)
	e.runs(keeper.RunChange{Leases: &keeper.LeaseRecord{Epoch: 5}})
	policy := leader.Policy{Lease: 6 * time.Second}
	renewed := policy.LeaseEnd(e.now.Add(5 * time.Second))
	l := e.takeOver(t, keeper.RunChange{Claim: true, Awaits: true})
	assert.Assert(t, !l.Others.Before(renewed), "%v too early", renewed.Sub(l.Others))
}

// Guards against leases that are given up too early: that the last leader has resigned says
// nothing of one before it, which may still renew leases that the last one did not.
func TestAResignationBoundsOnlyLeasesOfItsLeader(t *testing.T) {
	const reading, sooner = 1000, 200 * time.Millisecond
	policy := leader.Policy{Lease: 6 * time.Second}
	for name, partial := range map[string]bool{"named": false, "not named for want of space": true} {
		t.Run(name, func(t *testing.T) {
			e := withRun(lead(5, "first"))
			e.runs(keeper.RunChange{Leases: &keeper.LeaseRecord{Epoch: 5}}, record(5, reading, "first"))
			until := policy.LeaseEnd(e.now.Add(5 * time.Second))
			second := keeper.LeaseRecord{Until: map[string]int64{"w": reading + until.Sub(e.now).Milliseconds()}}
			if partial {
				second = keeper.LeaseRecord{Partial: true}
			}
			e.now = e.now.Add(time.Second)
			e.runs(keeper.RunChange{Claim: true, Awaits: true})
			second.Epoch = e.next
			e.runs(keeper.RunChange{Leases: &second}, record(second.Epoch, reading+1000, "second"))
			e.now = e.now.Add(sooner)
			e.runs(keeper.RunChange{Leases: &second}, record(second.Epoch, reading+1200, ""))
			e.takeOver(t, keeper.RunChange{Claim: true, Awaits: true})
			lost := lostAt(e, time.Minute)
			assert.Assert(t, lost > 0 && !e.now.Before(until.Add(-time.Millisecond)), "given up %v early", until.Sub(e.now))
		})
	}
}

// Guards against runs that wait for renewals of a leader that is known to have ended, as when
// a worker was lost right before it was killed. What it says of itself bounds only the leases
// that it has renewed.
func TestRenewalsEndOnceTheLastLeaderFollows(t *testing.T) {
	policy := leader.Policy{Lease: 6 * time.Second}
	const back, staleRenewal, grant = time.Second, 5 * time.Second, 2 * time.Second
	renewing, named := keeper.LeaseRecord{Epoch: 5}, keeper.LeaseRecord{Epoch: 5, Until: map[string]int64{"w": 12000}}
	for name, c := range map[string]struct {
		record keeper.LeaseRecord
		who    string
		epoch  int64 // that it takes this entry to lead with, less the real one
		sooner bool
	}{
		"it follows":                {renewing, "first", 0, true},
		"another entry follows":     {renewing, "second", 0, false},
		"it follows an earlier one": {renewing, "first", -1, false},
		"it did not renew them":     {named, "first", 0, false},
		"others are not named":      {keeper.LeaseRecord{Epoch: 5, Partial: true}, "first", 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			e := withRun(lead(5, "first"))
			e.runs(keeper.RunChange{Leases: &c.record}, record(5, 1000, "first"))
			written := e.now
			e.takeOver(t, keeper.RunChange{Claim: true, Awaits: true})
			e.now = e.now.Add(back)
			followed := e.now
			e.apply(keeper.EntryFollows{Name: c.who, Epoch: e.next + c.epoch})
			assert.Assert(t, lostAt(e, time.Minute) > 0)
			if c.sooner {
				bound := policy.LeaseEnd(followed.Add(grant))
				assert.Assert(t, !e.now.Before(bound) && e.now.Before(bound.Add(100*time.Millisecond)), "%v after the bound", e.now.Sub(bound))
				return
			}
			bound := policy.LeaseEnd(written.Add(staleRenewal))
			if c.record.Until != nil {
				bound = written.Add(11 * time.Second)
			}
			assert.Assert(t, !e.now.Before(bound), "%v before the bound", bound.Sub(e.now))
		})
	}
}

// Guards against runs that start twice during a rolling update: leaders of earlier versions
// renew leases without the log for longer, and their records don't say for how long.
func TestRenewalsOfEarlierVersionsAreCountedAsTheyWere(t *testing.T) {
	const renewal, earlierRenewal = 2500 * time.Millisecond, 5 * time.Second
	policy := leader.Policy{Lease: 6 * time.Second}
	for name, c := range map[string]struct {
		record keeper.LeaseRecord
		want   time.Duration
	}{
		"this version":    {keeper.LeaseRecord{Epoch: 5}.WithRenewals(renewal, renewal/2), renewal},
		"earlier version": {keeper.LeaseRecord{Epoch: 5}, earlierRenewal},
	} {
		t.Run(name, func(t *testing.T) {
			e := withRun(lead(5, "first"))
			e.runs(keeper.RunChange{Leases: &c.record}, record(5, 1000, "first"))
			bound := policy.LeaseEnd(e.now.Add(c.want))
			e.takeOver(t, keeper.RunChange{Claim: true, Awaits: true})
			assert.Assert(t, lostAt(e, time.Minute) > 0)
			assert.Assert(t, !e.now.Before(bound) && e.now.Before(bound.Add(200*time.Millisecond)), "%v after the bound", e.now.Sub(bound))
		})
	}
}

// Guards against workers that refuse the leader: an entry whose claim took longer than the
// next one's led for a moment, with fences above those of the later leader, whose records it
// had read.
func TestAClaimThatAnotherOneFollowsFails(t *testing.T) {
	claim := keeper.RunChange{Claim: true, Awaits: true}
	for name, since := range map[string][]keeper.RunChange{
		"a claim":  {claim},
		"a leader": {claim, record(100, 1000, "other")},
	} {
		t.Run(name, func(t *testing.T) {
			e := withRun(lead(5, "other"))
			assert.Assert(t, e.claims(5*time.Second) > 0)
			e.runs(claim)
			epoch := e.next
			e.runs(since...)
			for _, effect := range e.apply(keeper.Claimed{Epoch: epoch}) {
				_, starts := effect.(keeper.StartLeading)
				assert.Assert(t, !starts)
			}
			assert.Equal(t, e.state.Role(), keeper.Following)
		})
	}
}

// lostAt advances time by steps and returns after how long the run at the silent worker is
// given up, or 0.
func lostAt(e *entry, limit time.Duration) time.Duration {
	const step = 50 * time.Millisecond
	for d := step; d <= limit; d += step {
		e.now = e.now.Add(step)
		for _, effect := range e.apply(keeper.Ticked{}) {
			if f, ok := effect.(keeper.LeaderEffect); ok {
				if n, ok := f.Effect.(leader.Decision); ok && n.What == "lost" {
					return d
				}
			}
		}
	}
	return 0
}
