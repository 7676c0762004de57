package keeper

import (
	"cmp"
	"slices"
	"time"

	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
)

// transition is the application of one event: the state so far and the effects
// that it has emitted.
type transition struct {
	State
	now     time.Time
	effects []Effect
}

// Apply returns the state after an event and the effects to perform, in order.
func (s State) Apply(e Event, now time.Time) (State, []Effect) {
	t := &transition{State: s, now: now}
	e.apply(t)
	return t.State, t.effects
}

func (t *transition) emit(e Effect) { t.effects = append(t.effects, e) }

// applyToLeader applies an event to the leader's state.
func (t *transition) applyToLeader(e leader.Event) {
	next, effects := t.leader.Apply(e, t.now)
	t.leader = next
	for _, effect := range effects {
		t.emit(LeaderEffect{t.State.lead.Epoch, effect})
	}
}

func (e JobsRead) apply(t *transition) {
	known := t.Offset(Jobs)
	if known < 0 && !e.Snapshot {
		return // without the values before it, a change says little
	}
	if e.Next >= 0 {
		t.lastJobsRead = t.now
	}
	if e.Snapshot && t.role != Leading {
		t.forgetMissing(e.Changes, false, e.Next)
	}
	for _, c := range e.Changes {
		if !e.Snapshot && !c.InRuns && c.Offset < known {
			continue
		}
		t.applyJobChange(c)
	}
	if e.Next > known {
		t.offsets = t.offsets.With(Jobs, e.Next)
	}
}

// applyJobChange applies one change of the stream of jobs. The first record of a
// job counts; later ones are duplicates.
func (t *transition) applyJobChange(c JobChange) {
	id := string(c.ID)
	if c.Dropped {
		t.dropCopy(c)
		return
	}
	known, _ := t.copies.Get(id)
	isNew := known.With(c) != known
	if isNew {
		t.setCopies(id, known.With(c))
	}
	p, begun := t.progress.Get(id)
	switch {
	case begun && p.Terminated():
		if t.role == Leading && isNew {
			t.discardJob(c.ID)
		}
	case c.Cancel:
		t.cancels = t.cancels.With(id, true)
		if t.role == Leading {
			t.applyToLeader(leader.CancelAccepted{Job: c.ID})
		}
	case c.Job == nil || t.jobs.Has(id):
	default:
		t.jobs, t.weight = t.jobs.With(id, *c.Job), t.weight+c.Job.Weight()
		if t.role == Leading {
			t.accept(*c.Job) // an earlier leader may have read it before and begun it
		}
	}
}

func (e RunsRead) apply(t *transition) {
	known := t.Offset(Runs)
	if t.role == Leading {
		t.lastRead = t.now
		t.resignIfSuperseded(e.Changes)
		return // Written events bring the leader's own records
	}
	if known < 0 && !e.Snapshot {
		return // without the values before it, a change says little
	}
	t.lastRead = t.now
	if known < 0 {
		t.lastHeartbeat = t.now
	}
	if e.Snapshot {
		t.forgetMissing(e.jobChanges(), true, e.Next)
	}
	for _, c := range e.Changes {
		if e.Snapshot || c.Offset >= known {
			t.applyRunChange(c, known < 0)
		}
	}
	if e.Next > known {
		t.offsets = t.offsets.With(Runs, e.Next)
	}
}

// resignIfSuperseded stops leading if the runs have a record of a higher epoch.
func (t *transition) resignIfSuperseded(changes []RunChange) {
	for _, c := range changes {
		if c.Lead != nil && c.Lead.Epoch > t.State.lead.Epoch {
			Deposed{Why: "a record of a later leader was read"}.apply(t)
			return
		}
	}
}

// applyRunChange applies one change of the stream of runs. Records that are old,
// which means written before this entry started, do not count as heartbeats.
func (t *transition) applyRunChange(c RunChange, old bool) {
	t.leases = t.leases.withChange(c, t.now)
	if c.Leases != nil {
		t.recordHeartbeat(old)
		return
	}
	if c.Claim {
		if !old {
			t.lastClaim, t.claimOffset = t.now, c.Offset
		}
		return
	}
	if c.Job != nil {
		t.applyJobChange(*c.Job)
		t.recordHeartbeat(old)
		return
	}
	if c.Lead == nil {
		t.setProgress(c)
		t.recordHeartbeat(old)
		return
	}
	if c.Lead.Epoch < t.State.lead.Epoch {
		return
	}
	if c.Lead.Epoch != t.State.lead.Epoch || c.Lead.Name != t.State.lead.Name {
		t.emit(LogLeadership{What: "leader", Lead: *c.Lead, Why: "read from the log"})
		t.linkLost, t.leaderUnreachable, t.leaderSteppedDown = false, false, false
		t.replica = t.replica.withoutLink(t.now)
	}
	t.State.lead = *c.Lead
	if c.Lead.Epoch > t.claimOffset {
		t.lastClaim = time.Time{} // the claim is decided: an epoch is the offset after its claim
	}
	t.recordHeartbeat(old)
}

// recordHeartbeat restarts the leader timeout, unless the record is old.
func (t *transition) recordHeartbeat(old bool) {
	if !old {
		t.lastHeartbeat, t.jitter = t.now, 0
	}
}

// setProgress stores the progress of a job as the log has it.
func (t *transition) setProgress(c RunChange) {
	id := string(c.ID)
	if c.Progress == nil {
		t.progress = t.progress.Without(id)
		t.endedAt = t.endedAt.Without(id)
		return
	}
	t.progress = t.progress.With(id, *c.Progress)
	if _, known := t.endedAt.Score(id); !known && c.Progress.State.Final() {
		t.endedAt = t.endedAt.With(id, t.now.UnixMilli())
	}
}

func (e ConfigRead) apply(t *transition) {
	t.config = e
	if t.role == Leading {
		t.applyToLeader(leader.WorkspacesChanged(e))
	}
}

func (ReadFailed) apply(t *transition) { t.lastRead = time.Time{} }

func (e LinkLost) apply(t *transition) {
	if e.Epoch == t.State.lead.Epoch {
		t.replica = t.replica.withoutLink(t.now)
	}
	changed := !t.linkLost || e.Unreachable && !t.leaderUnreachable || e.SteppedDown && !t.leaderSteppedDown
	if t.role != Following || e.Epoch != t.State.lead.Epoch || !changed {
		return
	}
	t.linkLost, t.leaderUnreachable, t.leaderSteppedDown = true, t.leaderUnreachable || e.Unreachable, t.leaderSteppedDown || e.SteppedDown
	why := "the link to the leader broke"
	switch {
	case e.SteppedDown:
		why = "the entry does not lead any more"
	case e.Unreachable:
		why = "no process answers at its address"
	}
	t.emit(LogLeadership{What: "suspect", Lead: t.State.lead, Why: why})
}

func (e LinkEstablished) apply(t *transition) {
	if e.Epoch == t.State.lead.Epoch {
		t.linkLost, t.leaderUnreachable, t.leaderSteppedDown = false, false, false
		t.replica.linked = true
	}
}

func (e LeaderLearned) apply(t *transition) {
	if e.Lead.Epoch <= t.State.lead.Epoch || e.Lead.Name == "" {
		return
	}
	why := "told by " + e.From
	if t.role == Leading {
		Deposed{Why: why}.apply(t)
	}
	t.State.lead = e.Lead
	t.linkLost, t.leaderUnreachable, t.leaderSteppedDown = false, false, false
	t.replica = t.replica.withoutLink(t.now)
	t.emit(LogLeadership{What: "leader", Lead: e.Lead, Why: why})
}

func (e PeersSeen) apply(t *transition) { t.maxPeerShare = e.MaxCPUShare }

// minHandoverInterval is the minimum time between two handovers by a weak leader.
// The stronger entry may be unable to claim, and each handover costs a takeover.
const minHandoverInterval = 30 * time.Second

func (e Ticked) apply(t *transition) {
	switch t.role {
	case Leading:
		if t.Weak() && t.now.Sub(t.leadingSince) >= t.policy.MinLeadTime && t.now.Sub(t.lastHandover) >= minHandoverInterval {
			t.lastHandover = t.now
			t.emit(LogLeadership{What: "hand over", Lead: t.State.lead, Why: "a much stronger entry is linked"})
			t.resign(true)
			return
		}
		t.retryDiscards()
		t.expireJobs()
		t.applyToLeader(leader.Ticked{Sent: e.Sent})
	case Following:
		t.updateReplica(e.Jitter)
		t.claimIfSilent(e.Jitter)
	}
}

// claimIfSilent claims leadership if the leader has been silent for too long while
// the log could be read.
func (t *transition) claimIfSilent(jitter time.Duration) {
	if t.lastRead.IsZero() || t.now.Sub(t.lastRead) > maxReadAge {
		t.lastHeartbeat = t.now // the timeout starts anew once the log is readable
		return
	}
	if t.stopping || !t.Synced() {
		return
	}
	timeout := t.leaderTimeout()
	if t.jitter == 0 {
		t.jitter = jitter
	}
	if t.now.Sub(t.lastClaim) < t.policy.LinkLostTimeout {
		return // another entry has a claim in progress
	}
	silence := t.now.Sub(t.lastHeartbeat)
	if t.Weak() {
		timeout += t.policy.WeakDelay
	}
	if silence < timeout+t.jitter {
		return
	}
	t.role, t.jitter = Claiming, 0
	t.emit(LogLeadership{What: "claim", Lead: t.State.lead, Why: "the leader is silent", Silence: silence})
	t.emit(Claim{Expected: t.Offset(Runs)})
}

// leaderTimeout returns how long the leader may be silent, without jitter.
func (t *transition) leaderTimeout() time.Duration {
	switch {
	case t.leaderInactive():
		return 0
	case t.leaderUnreachable:
		return t.policy.UnreachableTimeout
	case t.linkLost:
		return t.policy.LinkLostTimeout
	}
	return t.policy.LeaderTimeout
}

// leaderInactive reports whether the last leader is known not to act any more: it
// has resigned, has said that it does not lead, or was an earlier process of this
// entry.
func (t *transition) leaderInactive() bool {
	return t.leaderSteppedDown || t.State.lead.Name == "" || t.State.lead.Name == t.Self.Name
}

// expireJobs drops the state of jobs that ended longer ago than the retention and that no
// stream has any more: a leader that read such a job without its state would run it again.
func (t *transition) expireJobs() {
	for id, at := range t.endedAt.From(0) {
		if t.now.Sub(time.UnixMilli(at)) < t.policy.Retention {
			return
		}
		if t.copies.Has(id) {
			continue
		}
		t.endedAt = t.endedAt.Without(id)
		t.emit(Expire{ledger.ID(id)})
	}
}

func (e ClaimFailed) apply(t *transition) {
	if t.role != Claiming {
		return
	}
	t.role, t.lastHeartbeat = Following, t.now
	t.emit(LogLeadership{What: "claim failed", Lead: t.State.lead, Why: e.Why})
}

func (e Claimed) apply(t *transition) {
	if t.role != Claiming || t.stopping {
		t.emit(Resign{Epoch: e.Epoch, Graceful: true})
		return
	}
	if t.claimOffset >= e.Epoch || t.leases.epoch > e.Epoch {
		// What was read since then belongs to a later leader, and so do fences above it.
		ClaimFailed{Why: "another entry has claimed since"}.apply(t)
		return
	}
	if t.Offset(Jobs) < e.Jobs || t.Offset(Runs) < e.Runs {
		// A leader takes a job that it doesn't know for one that has ended.
		ClaimFailed{Why: "the streams have not been read to their ends"}.apply(t)
		return
	}
	inherited := t.leases.inherited(t.policy, t.now, e.Epoch-1, t.leaderInactive() && t.State.lead.Epoch == t.leases.epoch)
	clock := t.leases.clock.from(t.now)
	t.renewer = t.leases.renewer(e.Epoch - 1)
	t.role, t.leadingSince = Leading, t.now
	t.maxPeerShare = t.Self.CPUShare // peers report theirs when they link
	t.State.lead = LeaderRecord{Epoch: e.Epoch, Name: t.Self.Name, Address: t.Self.Address}
	t.leader = leader.New(t.policy.Leader, t.now).WithInheritedLeases(inherited)
	t.emit(LogLeadership{What: "lead", Lead: t.State.lead, Why: "the claim succeeded"})
	t.emit(StartLeading{Epoch: e.Epoch, Clock: clock, Leases: inherited})
	t.applyToLeader(leader.WorkspacesChanged(t.config))
	t.acceptAll()
	t.discardEnded()
}

// acceptAll hands all jobs to the new leader. Those of workspaces come in the order in which
// they were accepted, ended ones included: each leader thus counts them against the same
// shares.
func (t *transition) acceptAll() {
	var shared []ledger.Job
	for _, job := range t.jobs.All() {
		if job.Workspace != "" {
			shared = append(shared, job)
			continue
		}
		t.accept(job)
	}
	slices.SortFunc(shared, func(a, b ledger.Job) int {
		return cmp.Or(a.Accepted.Compare(b.Accepted), cmp.Compare(a.ID, b.ID))
	})
	for _, job := range shared {
		t.accept(job)
	}
}

// accept hands a job to the leader, with the progress that an earlier one has recorded.
func (t *transition) accept(job ledger.Job) {
	id := string(job.ID)
	accepted := leader.Accepted{Job: job}
	if p, ok := t.progress.Get(id); ok {
		if p.Terminated() {
			if job.Workspace != "" {
				t.applyToLeader(leader.Settled{Job: job})
			}
			return
		}
		accepted.Progress = &p
	}
	t.applyToLeader(accepted)
	if t.cancels.Has(id) {
		t.applyToLeader(leader.CancelAccepted{Job: job.ID})
	}
}

func (e Deposed) apply(t *transition) {
	if t.role != Leading {
		return
	}
	t.emit(LogLeadership{What: "deposed", Lead: t.State.lead, Why: e.Why})
	t.resign(false)
}

// resign makes the entry a follower. The runs are read again from the start,
// since the entry does not know which of its last records are in the log.
func (t *transition) resign(graceful bool) {
	resigned := Resign{Epoch: t.State.lead.Epoch, Graceful: graceful}
	if graceful {
		resigned.Leases = t.leader.Leases()
	}
	t.emit(resigned)
	t.role, t.lastHeartbeat, t.leader = Following, t.now, leader.State{}
	t.offsets, t.leases = t.offsets.Without(Runs), leases{}
	t.lastRead = time.Time{}
	t.State.lead.Name = unknownLeader
	t.replica = t.replica.withoutLink(t.now)
	t.replica.active, t.replica.activeSince = true, t.now
}

// unknownLeader is the name of the leader until the real one is read from the log.
const unknownLeader = "?"

func (Stopping) apply(t *transition) {
	t.stopping = true
	if t.role == Leading {
		t.resign(true)
	}
}

func (e Written) apply(t *transition) {
	if t.role != Leading {
		return
	}
	for _, c := range e.Changes {
		t.setProgress(c)
		if c.Progress != nil && c.Progress.Terminated() {
			t.discardJob(c.ID)
		}
	}
	t.lastRead = t.now
	t.applyToLeader(leader.Committed{Batch: e.Batch})
}

func (e LeaderEvent) apply(t *transition) {
	if t.role == Leading && e.Epoch == t.State.lead.Epoch {
		t.applyToLeader(e.Event)
	}
}
