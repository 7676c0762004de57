package scheduler

import "time"

// Event is something that happened: work arrived, an exchange ended, a record
// was read, time passed. Each event is a value; a decision depends only on its
// fields, the state and the time.
type Event interface {
	apply(t *step)
}

// Apply returns the state after an event and the effects to carry out. It does
// no I/O, reads no clock and keeps nothing outside the state, so the same state,
// event and time always give the same result.
func (s State) Apply(e Event, now time.Time) (State, []Effect) {
	t := &step{s: s, now: now}
	e.apply(t)
	return t.s, t.effects
}

// step is the working state of one call of Apply.
type step struct {
	s       State
	now     time.Time
	logTime time.Time // when the log took the record being applied
	effects []Effect
}

func (t *step) emit(e Effect) {
	t.effects = append(t.effects, e)
}

// Ticked reports that time has passed.
type Ticked struct{}

func (Ticked) apply(t *step) {
	t.expireQueued()
	t.expireSlots()
	t.checkMembers()
	if t.now.Sub(t.s.OwnershipChecked) >= ownershipInterval {
		t.claimAll()
		t.endQuarantines()
	}
	t.resendHandovers()
	t.handOverAll()
	t.rebalance()
	t.pollLost()
	t.checkWorkers()
	t.placeItems()
	if t.now.Sub(t.s.RefreshChecked) >= t.s.Policy.Retention/refreshChecksPerRetention {
		t.refreshRecords()
	}
	t.dispatchQueue()
}

// PolicyChanged reports that the settings that decisions depend on have changed.
type PolicyChanged struct {
	Policy Policy
}

func (e PolicyChanged) apply(t *step) {
	t.s.Policy = e.Policy.withDefaults()
}

// DrainStarted reports that this entry is to stop: it hands over what it owns
// and takes no new work for itself.
type DrainStarted struct{}

func (DrainStarted) apply(t *step) {
	t.s.Draining = true
	t.handOverAll()
	t.dispatchQueue()
}

var (
	_ Event = Ticked{}
	_ Event = PolicyChanged{}
	_ Event = DrainStarted{}
)
