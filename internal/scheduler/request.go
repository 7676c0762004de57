package scheduler

import "time"

// RequestPhase is the phase of a request at this entry.
type RequestPhase int

// Phases of a request.
const (
	PhaseQueued    RequestPhase = iota // waits for a slot
	PhaseForwarded                     // sent to another entry, holds no slot here
	PhaseRunning                       // holds a slot, this entry has the exchange
	PhaseCarried                       // carried over: holds a slot, an earlier owner of the server has the exchange
	PhaseLost                          // holds a slot, its exchange broke off
	PhaseCharged                       // counts against its plan, its slot is tracked by another entry
)

// String returns the name used in queries.
func (p RequestPhase) String() string {
	return [...]string{"queued", "forwarded", "running", "carried", "lost", "owed"}[p]
}

// Request is one request/response work item at this entry. It has no body:
// traffic goroutines hold that.
type Request struct {
	ID         string
	Plan       string
	Deadline   time.Time // the caller waits no longer
	Repeatable bool      // may be retried after an unknown outcome
	Standing   bool      // an endless stream: RequestLimit does not apply
	Hops       int       // forwards so far
	Tried      []string  // entries that refused it
	Arrived    time.Time
	Phase      RequestPhase
	Server     string
	Until      time.Time // latest end of the exchange in PhaseRunning, later the time at which the slot is free
	Origin     EntryID   // entry that has the exchange in PhaseCarried
	LostAt     time.Time // when the slot was lost in PhaseLost
	WaitUntil  time.Time // when waiting in the queue ends
}

// WithPhase returns the request in another phase.
func (r Request) WithPhase(p RequestPhase) Request {
	r.Phase = p
	return r
}

// WithServer returns the request placed on a server until a time at which its
// slot counts as free even without a response.
func (r Request) WithServer(server string, until time.Time) Request {
	r.Server = server
	r.Until = until
	return r
}

// WithLost returns the request whose slot was lost at a time.
func (r Request) WithLost(at time.Time) Request {
	r.Phase = PhaseLost
	r.LostAt = at
	return r
}

// WithWait returns the request with the time at which its wait in the queue ends.
func (r Request) WithWait(until time.Time) Request {
	r.WaitUntil = until
	return r
}

// WithTried returns the request after another entry refused it.
func (r Request) WithTried(entry string) Request {
	r.Tried = append(r.Tried[:len(r.Tried):len(r.Tried)], entry)
	return r
}
