package scheduler

import "time"

// Effect is something that the control thread asks traffic goroutines to do.
// An effect is a self-contained value that refers to no state.
type Effect interface {
	effect()
}

// Place sends the waiting request to a server of this entry.
type Place struct {
	Request string
	Server  string
	Address string
	Until   time.Time // latest end of the exchange
}

// Forward sends the waiting request to another entry.
type Forward struct {
	Request string
	Entry   Entry
}

// Refuse ends the waiting request with the outcome NotRun.
type Refuse struct {
	Request    string
	Reason     Reason
	RetryAfter time.Duration // when to try again, 0 for no advice
}

// Append writes records to a stream of the log. Its response is not used: the
// result is learned by reading the stream.
type Append struct {
	Stream  string
	Records []Record
}

// Probe asks an entry for its digest.
type Probe struct {
	Entry Entry
}

// SendHandover hands a resource over to another entry together with the requests in
// progress on it.
type SendHandover struct {
	To       Entry
	From     Entry
	Resource string
	Claim    Claim
	Running  []CarriedRequest
	Broken   bool // an earlier receiver died and may have left work behind
}

// CarriedRequest is a request in progress on a server whose owner changes. From is the
// entry that has the exchange; a lost request has none.
type CarriedRequest struct {
	Request string    `json:"request"`
	Until   time.Time `json:"until"`
	From    EntryID   `json:"from"`
	Lost    bool      `json:"lost,omitempty"`
}

// ReleaseSlot tells the owner of a server that a carried request ended.
type ReleaseSlot struct {
	To      Entry
	Server  string
	Request string
}

// PollServer asks a server how many of its slots are busy.
type PollServer struct {
	Server  string
	Address string
	Lost    []string // lost requests that the answer may prove to have ended, ordered by expiry
}

// Launch starts tasks on a worker under a lease.
type Launch struct {
	Worker  string
	Address string
	Tasks   []Task
	Expiry  time.Time // end of the lease
}

// Task is one member of an item as sent to a worker.
type Task struct {
	ID    string        `json:"id"`
	Item  string        `json:"item"`
	Fence int64         `json:"fence"`
	Size  Size          `json:"size"`
	Run   time.Duration `json:"run"` // run time, 0 for a service
}

// PollWorker asks a worker which tasks it runs and which have ended.
type PollWorker struct {
	Worker  string
	Address string
}

// Renew extends the leases of tasks on a worker.
type Renew struct {
	Worker  string
	Address string
	Tasks   []string
	Expiry  time.Time
}

// Halt ends a task on a worker.
type Halt struct {
	Worker  string
	Address string
	Task    string
}

func (Place) effect()        {}
func (Forward) effect()      {}
func (Refuse) effect()       {}
func (Append) effect()       {}
func (Probe) effect()        {}
func (SendHandover) effect() {}
func (ReleaseSlot) effect()  {}
func (PollServer) effect()   {}
func (Launch) effect()       {}
func (PollWorker) effect()   {}
func (Renew) effect()        {}
func (Halt) effect()         {}

var (
	_ Effect = Place{}
	_ Effect = Forward{}
	_ Effect = Refuse{}
	_ Effect = Append{}
	_ Effect = Probe{}
	_ Effect = SendHandover{}
	_ Effect = ReleaseSlot{}
	_ Effect = PollServer{}
	_ Effect = Launch{}
	_ Effect = PollWorker{}
	_ Effect = Renew{}
	_ Effect = Halt{}
)
