package keeper

import (
	"time"

	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
)

// turn is one application of an event.
type turn struct {
	State
	now     time.Time
	effects []Effect
}

// Apply returns the state after an event and what is to be done.
func (s State) Apply(e Event, now time.Time) (State, []Effect) {
	t := &turn{State: s, now: now}
	e.apply(t)
	return t.State, t.effects
}

func (t *turn) emit(e Effect) { t.effects = append(t.effects, e) }

// command applies an event to the leader's state.
func (t *turn) command(e leader.Event) {
	next, effects := t.leader.Apply(e, t.now)
	t.leader = next
	for _, effect := range effects {
		t.emit(Order{t.State.lead.Epoch, effect})
	}
}

func (e JobsRead) apply(t *turn) {
	known := t.Offset(Jobs)
	for _, c := range e.Changes {
		if !e.Whole && c.Offset < known {
			continue
		}
		t.changeJob(c)
	}
	if e.Next > known {
		t.offsets = t.offsets.With(Jobs, e.Next)
	}
}

// changeJob takes up one change. The first record of a job holds; a later one
// is a repeat.
func (t *turn) changeJob(c JobChange) {
	id := string(c.ID)
	p, begun := t.progress.Get(id)
	if c.Spared && !c.Gone {
		t.spared = t.spared.With(id, true)
	}
	switch {
	case c.Gone && c.Cancel:
		t.cancels = t.cancels.Without(id)
	case c.Gone:
		t.jobs = t.jobs.Without(id)
		t.cancels = t.cancels.Without(id)
	case c.Cancel:
		t.cancels = t.cancels.With(id, true)
		if t.role == Leading {
			t.command(leader.CancelAccepted{Job: c.ID})
		}
	case c.Job == nil || t.jobs.Has(id):
	case begun && p.Over():
		if t.role == Leading {
			t.discard(c.ID)
		}
	default:
		t.jobs = t.jobs.With(id, *c.Job)
		if t.role == Leading {
			t.command(leader.Accepted{Job: *c.Job})
			if t.cancels.Has(id) {
				t.command(leader.CancelAccepted{Job: c.ID})
			}
		}
	}
}

// discard drops an ended job wherever it was written.
func (t *turn) discard(id ledger.ID) {
	t.emit(Discard{Job: id, Spared: t.spared.Has(string(id))})
	t.jobs = t.jobs.Without(string(id))
	t.cancels = t.cancels.Without(string(id))
	t.spared = t.spared.Without(string(id))
}

func (e RunsRead) apply(t *turn) {
	t.lastRead = t.now
	known := t.Offset(Runs)
	if t.role == Leading {
		t.overtaken(e.Changes)
		return // the leader knows what it wrote
	}
	if known < 0 {
		t.pulse = t.now
	}
	for _, c := range e.Changes {
		if e.Whole || c.Offset >= known {
			t.changeRun(c, known < 0)
		}
	}
	if e.Next > known {
		t.offsets = t.offsets.With(Runs, e.Next)
	}
}

// overtaken gives up the lead if a later leader has written.
func (t *turn) overtaken(changes []RunChange) {
	for _, c := range changes {
		if c.Lead != nil && c.Lead.Epoch > t.State.lead.Epoch {
			Deposed{Why: "a later leader has written"}.apply(t)
			return
		}
	}
}

// changeRun takes up one change of the runs. What was written before this
// entry started is no sign of life.
func (t *turn) changeRun(c RunChange, old bool) {
	if c.Claim {
		if !old {
			t.claimed = t.now
		}
		return
	}
	if c.Job != nil {
		t.changeJob(*c.Job)
		t.sign(old)
		return
	}
	if c.Lead == nil {
		t.setProgress(c)
		t.sign(old)
		return
	}
	if c.Lead.Epoch < t.State.lead.Epoch {
		return
	}
	if c.Lead.Epoch != t.State.lead.Epoch || c.Lead.Name != t.State.lead.Name {
		t.emit(Note{What: "leader", Lead: *c.Lead, Why: "read from the log"})
		t.linkLost, t.leaderGone, t.leaderOver = false, false, false
	}
	t.State.lead = *c.Lead
	t.sign(old)
}

// sign takes note of a sign of life.
func (t *turn) sign(old bool) {
	if !old {
		t.pulse, t.delay = t.now, 0
	}
}

// setProgress takes up the progress of a job as it is in the log.
func (t *turn) setProgress(c RunChange) {
	id := string(c.ID)
	if c.Progress == nil {
		t.progress = t.progress.Without(id)
		t.ended = t.ended.Without(id)
		return
	}
	t.progress = t.progress.With(id, *c.Progress)
	if _, known := t.ended.Score(id); !known && c.Progress.State.Final() {
		t.ended = t.ended.With(id, t.now.UnixMilli())
	}
}

func (ReadFailed) apply(t *turn) { t.lastRead = time.Time{} }

func (e LinkLost) apply(t *turn) {
	news := !t.linkLost || e.Gone && !t.leaderGone || e.Over && !t.leaderOver
	if t.role != Following || e.Epoch != t.State.lead.Epoch || !news {
		return
	}
	t.linkLost, t.leaderGone, t.leaderOver = true, t.leaderGone || e.Gone, t.leaderOver || e.Over
	why := "the link to the leader broke"
	switch {
	case e.Over:
		why = "the entry does not lead any more"
	case e.Gone:
		why = "no process answers at its address"
	}
	t.emit(Note{What: "suspect", Lead: t.State.lead, Why: why})
}

func (e LinkMade) apply(t *turn) {
	if e.Epoch == t.State.lead.Epoch {
		t.linkLost, t.leaderGone, t.leaderOver = false, false, false
	}
}

func (e LeadHeard) apply(t *turn) {
	if e.Lead.Epoch <= t.State.lead.Epoch || e.Lead.Name == "" {
		return
	}
	why := "told by " + e.From
	if t.role == Leading {
		Deposed{Why: why}.apply(t)
	}
	t.State.lead = e.Lead
	t.linkLost, t.leaderGone, t.leaderOver = false, false, false
	t.emit(Note{What: "leader", Lead: e.Lead, Why: why})
}

func (e PeersSeen) apply(t *turn) { t.strongest = e.Strongest }

// handoverPause is the least time between two handovers of a weak leader: the
// strong entry may be unable to claim, and each handover costs a takeover.
const handoverPause = 30 * time.Second

func (e Ticked) apply(t *turn) {
	switch t.role {
	case Leading:
		if t.Weak() && t.now.Sub(t.led) >= t.policy.Settle && t.now.Sub(t.handed) >= handoverPause {
			t.handed = t.now
			t.emit(Note{What: "hand over", Lead: t.State.lead, Why: "a much stronger entry is linked"})
			t.resign(true)
			return
		}
		t.expire()
		t.command(leader.Ticked{})
	case Following:
		t.consider(e.Delay)
	}
}

// consider claims the lead if the leader is silent although the log is read.
func (t *turn) consider(delay time.Duration) {
	if t.lastRead.IsZero() || t.now.Sub(t.lastRead) > readAge {
		t.pulse = t.now // silence counts from when the log is read again
		return
	}
	if t.stopping || !t.Synced() {
		return
	}
	patience := t.patience()
	if t.delay == 0 {
		t.delay = delay
	}
	if t.now.Sub(t.claimed) < t.policy.Suspect {
		return // another entry is about to lead
	}
	quiet := t.now.Sub(t.pulse)
	if t.Weak() {
		patience += t.policy.Deference
	}
	if quiet < patience+t.delay {
		return
	}
	t.role, t.delay = Claiming, 0
	t.emit(Note{What: "claim", Lead: t.State.lead, Why: "the leader is silent", Quiet: quiet})
	t.emit(Claim{At: t.Offset(Runs)})
}

// patience returns how long the leader may be silent.
func (t *turn) patience() time.Duration {
	switch {
	case t.over():
		return 0
	case t.leaderGone:
		return t.policy.Gone
	case t.linkLost:
		return t.policy.Suspect
	}
	return t.policy.Patience
}

// over reports whether the last leader is known not to act any more: it has
// resigned or says so, or was an earlier life of this entry.
func (t *turn) over() bool {
	return t.leaderOver || t.State.lead.Name == "" || t.State.lead.Name == t.Self.Name
}

// expire drops the state of jobs that ended long ago.
func (t *turn) expire() {
	for id, at := range t.ended.From(0) {
		if t.now.Sub(time.UnixMilli(at)) < t.policy.Keep {
			return
		}
		t.ended = t.ended.Without(id)
		t.emit(Expire{ledger.ID(id)})
	}
}

func (e ClaimFailed) apply(t *turn) {
	if t.role != Claiming {
		return
	}
	t.role, t.pulse = Following, t.now
	t.emit(Note{What: "claim failed", Lead: t.State.lead, Why: e.Why})
}

func (e Claimed) apply(t *turn) {
	if t.role != Claiming || t.stopping {
		t.emit(Resign{Epoch: e.Epoch, Graceful: true})
		return
	}
	policy := t.policy.Leader
	if t.over() {
		policy.Inherited = 0 // it renews no leases either
	}
	t.role, t.led = Leading, t.now
	t.strongest = t.Self.Strength // the entries that link tell theirs
	t.State.lead = Lead{Epoch: e.Epoch, Name: t.Self.Name, Address: t.Self.Address}
	t.leader = leader.New(policy, t.now)
	t.emit(Note{What: "lead", Lead: t.State.lead, Why: "the claim holds"})
	t.emit(Command(e))
	for id, job := range t.jobs.All() {
		accepted := leader.Accepted{Job: job}
		if p, ok := t.progress.Get(id); ok {
			if p.Over() {
				t.discard(job.ID)
				continue
			}
			accepted.Progress = &p
		}
		t.command(accepted)
		if t.cancels.Has(id) {
			t.command(leader.CancelAccepted{Job: job.ID})
		}
	}
}

func (e Deposed) apply(t *turn) {
	if t.role != Leading {
		return
	}
	t.emit(Note{What: "deposed", Lead: t.State.lead, Why: e.Why})
	t.resign(false)
}

// resign returns the entry to following. It reads the runs anew, since it does
// not know which of its last records are in the log.
func (t *turn) resign(graceful bool) {
	t.emit(Resign{Epoch: t.State.lead.Epoch, Graceful: graceful})
	t.role, t.pulse, t.leader = Following, t.now, leader.State{}
	t.offsets = t.offsets.Without(Runs)
	t.lastRead = time.Time{}
	t.State.lead.Name = deposedName
}

// deposedName stands for the leader until its name is read from the log.
const deposedName = "?"

func (Stopping) apply(t *turn) {
	t.stopping = true
	if t.role == Leading {
		t.resign(true)
	}
}

func (e Written) apply(t *turn) {
	if t.role != Leading {
		return
	}
	for _, c := range e.Changes {
		t.setProgress(c)
		if c.Progress != nil && c.Progress.Over() && t.jobs.Has(string(c.ID)) {
			t.discard(c.ID)
		}
	}
	t.lastRead = t.now
	t.command(leader.Committed{Batch: e.Batch})
}

func (e Led) apply(t *turn) {
	if t.role == Leading && e.Epoch == t.State.lead.Epoch {
		t.command(e.Event)
	}
}
