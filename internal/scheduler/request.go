package scheduler

import "time"

// RequestPhase says where a request stands in the books of this entry.
type RequestPhase int

// Phases of a request.
const (
	PhaseQueued    RequestPhase = iota // waits for a slot
	PhaseForwarded                     // sent to another entry, holds no slot here
	PhaseRunning                       // holds a slot, this entry has the exchange
	PhaseCarried                       // holds a slot, an earlier owner has the exchange
	PhaseLost                          // holds a slot, its exchange broke off
	PhaseCharged                       // counts against its plan, the slot is another entry's matter
)

// String returns the name used in queries.
func (p RequestPhase) String() string {
	return [...]string{"queued", "forwarded", "running", "carried", "lost", "owed"}[p]
}

// Request is one request/response work item in the books of this entry. No
// body is kept: traffic goroutines hold it.
type Request struct {
	ID         string
	Plan       string
	Deadline   time.Time // the caller does not wait longer
	Repeatable bool      // may be tried again after an unknown outcome
	Standing   bool      // a stream without end: its exchange is not bounded in time
	Hops       int       // forwards so far
	Tried      []string  // entries that refused it
	Arrived    time.Time
	Phase      RequestPhase
	Server     string
	Until      time.Time // when a slot held in PhaseCarried or PhaseLost is free again
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
// slot counts as free even without an answer.
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

// WithWait returns the request bounded to wait in the queue until a time.
func (r Request) WithWait(until time.Time) Request {
	r.WaitUntil = until
	return r
}

// WithTried returns the request after another entry refused it.
func (r Request) WithTried(entry string) Request {
	r.Tried = append(r.Tried[:len(r.Tried):len(r.Tried)], entry)
	return r
}
