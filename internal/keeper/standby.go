package keeper

import (
	"cmp"
	"slices"
	"time"
)

// replica is what an entry knows about whether it should replicate the streams of
// jobs and runs. Reading them costs every reader the whole volume of the log, so
// only the leader's standbys do, and entries that have no leader.
type replica struct {
	active      bool      // both streams are followed
	activeSince time.Time // when they were last needed
	linked      bool      // there is a link to the leader
	unlinkedAt  time.Time // when the link was lost, or when the entry first ticked
	standby     bool      // the leader or, without a link, the log has the entry among those that are to be able to take over
	delay       time.Duration
}

// withoutLink returns the replica state after the link was lost at a time.
func (r replica) withoutLink(at time.Time) replica {
	if r.linked || r.unlinkedAt.IsZero() {
		r.linked, r.unlinkedAt, r.delay = false, at, 0
	}
	return r
}

// Linked reports whether there is a link to the leader.
func (s State) Linked() bool { return s.replica.linked }

// Replicating reports whether the entry follows the streams of jobs and runs.
func (s State) Replicating() bool { return s.replica.active }

func (e LeadsRead) apply(t *transition) {
	t.lastLeads = t.now
	if e.Lead != nil && e.Lead.Epoch >= t.State.lead.Epoch && !t.replica.linked {
		t.replica.standby = e.Lead.Name == t.Self.Name || slices.Contains(e.Lead.Standbys, t.Self.Name)
	}
	switch {
	case e.Lead == nil:
	case e.Lead.Name != "":
		LeaderLearned{Lead: *e.Lead, From: "the log"}.apply(t)
	default:
		LinkLost{Epoch: e.Lead.Epoch, SteppedDown: true}.apply(t)
	}
}

func (e StandbysLearned) apply(t *transition) {
	if e.Epoch == t.State.lead.Epoch {
		t.replica.standby = e.Standby
	}
}

// updateReplica starts to replicate the streams if the entry is a standby or has
// been without a leader for too long, and stops once neither holds.
func (t *transition) updateReplica(jitter time.Duration) {
	if t.replica.unlinkedAt.IsZero() {
		t.replica = t.replica.withoutLink(t.now)
	}
	if t.needsReplica(jitter) {
		t.replica.activeSince = t.now
		if !t.replica.active {
			t.forgetReplica()
			t.replica.active = true
			t.emit(StartReplicating{})
		}
		return
	}
	if t.replica.active && t.now.Sub(t.replica.activeSince) >= t.policy.MinReplicaTime {
		t.replica.active = false
		t.forgetReplica()
		t.emit(StopReplicating{})
	}
}

// needsReplica reports whether the entry may have to lead soon.
func (t *transition) needsReplica(jitter time.Duration) bool {
	if t.replica.linked || t.replica.standby {
		return t.replica.standby
	}
	if t.replica.delay == 0 {
		small := 1 - min(t.Self.CPUShare, 1)
		t.replica.delay = t.policy.ReplicaDelay + time.Duration(small*float64(t.policy.SmallShareDelay)) + jitter
	}
	if t.State.lead.Epoch == 0 && !t.lastLeads.IsZero() {
		return true // the log has never had a leader
	}
	return t.now.Sub(t.replica.unlinkedAt) >= t.replica.delay
}

// forgetReplica forgets what was read of both streams.
func (t *transition) forgetReplica() {
	empty := State{}
	t.jobs, t.progress, t.cancels, t.endedAt, t.offsets = empty.jobs, empty.progress, empty.cancels, empty.endedAt, empty.offsets
	t.copies, t.discards = empty.copies, empty.discards
	t.lastRead, t.lastJobsRead, t.leases = time.Time{}, time.Time{}, leases{}
}

// Candidate is an entry that could be a standby.
type Candidate struct {
	Name     string
	Zone     string
	CPUShare float64
	ReadsLog bool // the log has answered it lately
}

// ChooseStandbys chooses the candidates that are to be able to take over from a leader:
// those that reach the log, then those in zones that have none yet, then the strongest.
// Current standbys are kept among equals, since others have to read everything anew.
// Beyond the number least, only candidates that reach the log and are not much weaker
// than the leader are taken, up to the number most.
func ChooseStandbys(leader Identity, candidates []Candidate, current []string, least, most int) []string {
	strong := func(c Candidate) bool { return c.CPUShare >= weakRatio*leader.CPUShare }
	inZone := map[string]int{leader.Zone: 1}
	left := slices.Clone(candidates)
	var chosen []string
	for len(chosen) < most && len(left) > 0 {
		best := slices.MinFunc(left, func(a, b Candidate) int {
			return cmp.Or(
				preferTrue(a.ReadsLog, b.ReadsLog),
				preferTrue(strong(a), strong(b)),
				cmp.Compare(inZone[a.Zone], inZone[b.Zone]),
				cmp.Compare(b.CPUShare, a.CPUShare),
				preferTrue(slices.Contains(current, a.Name), slices.Contains(current, b.Name)),
				cmp.Compare(a.Name, b.Name),
			)
		})
		if len(chosen) >= least && !(best.ReadsLog && strong(best)) {
			break
		}
		chosen = append(chosen, best.Name)
		inZone[best.Zone]++
		left = slices.DeleteFunc(left, func(c Candidate) bool { return c.Name == best.Name })
	}
	return chosen
}

// preferTrue orders true before false.
func preferTrue(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}
