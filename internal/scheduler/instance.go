package scheduler

// InstanceKind says what an instance of the platform's list is.
type InstanceKind string

// Kinds of instances.
const (
	KindEntry  InstanceKind = "entry"
	KindServer InstanceKind = "server"
	KindWorker InstanceKind = "worker"
)

// Instance is one row of the platform's list.
type Instance struct {
	Name    string       `json:"name"`
	Kind    InstanceKind `json:"kind"`
	Zone    Zone         `json:"zone"`
	Rack    string       `json:"rack,omitempty"`
	Address string       `json:"address"`
	Leaving bool         `json:"leaving,omitempty"`
	Slots   int          `json:"slots,omitempty"`
	Size    Size         `json:"size,omitzero"`
}

// Mark is an operator's order for one instance.
type Mark string

// Marks of the operators.
const (
	MarkNone  Mark = ""      // takes work
	MarkLeave Mark = "leave" // takes no new work, finishes what it has
	MarkStop  Mark = "stop"  // as leave; tasks on it are ended at their leases
)

// Server is the book of one backend server.
type Server struct {
	Instance Instance
	Busy     int  // slots in use, including carried and lost requests
	Lost     int  // slots whose request may still run although its exchange ended
	Gone     bool // not in the platform's list any more
	Failures int  // consecutive exchanges that could not connect
}

// WithInstance returns the book with another row of the platform's list.
func (v Server) WithInstance(i Instance) Server {
	v.Instance = i
	v.Gone = false
	return v
}

// WithBusy returns the book with delta more slots in use.
func (v Server) WithBusy(delta int) Server {
	v.Busy += delta
	return v
}

// WithLost returns the book with delta more lost slots.
func (v Server) WithLost(delta int) Server {
	v.Lost += delta
	return v
}

// WithGone returns the book of a server that the platform no longer lists.
func (v Server) WithGone() Server {
	v.Gone = true
	return v
}

// WithFailures returns the book with another count of failed connections.
func (v Server) WithFailures(n int) Server {
	v.Failures = n
	return v
}

// Free returns the number of slots that may be given out.
func (v Server) Free() int {
	return max(0, v.Instance.Slots-v.Busy)
}

// Worker is the book of one worker.
type Worker struct {
	Instance Instance
	Used     Size // reserved and running
	Gone     bool // not in the platform's list any more
}

// WithInstance returns the book with another row of the platform's list.
func (w Worker) WithInstance(i Instance) Worker {
	w.Instance = i
	w.Gone = false
	return w
}

// WithUsed returns the book with size more in use.
func (w Worker) WithUsed(size Size) Worker {
	w.Used = w.Used.Plus(size)
	return w
}

// WithGone returns the book of a worker that the platform no longer lists.
func (w Worker) WithGone() Worker {
	w.Gone = true
	return w
}

// Free returns what may be given out.
func (w Worker) Free() Size {
	return w.Instance.Size.Minus(w.Used)
}
