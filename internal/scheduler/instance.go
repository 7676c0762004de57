package scheduler

// InstanceKind is the role of an instance on the platform's list.
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
	MarkLeave Mark = "leave" // takes no new work, finishes the work it has
	MarkStop  Mark = "stop"  // as leave; tasks on it end with their leases
)

// Server is what this entry knows of one backend server.
type Server struct {
	Instance Instance
	Busy     int  // slots in use, including carried and lost requests
	Lost     int  // slots whose request may still run although its exchange ended
	Gone     bool // no longer on the platform's list
	Failures int  // consecutive failures to connect
}

// WithInstance returns the server with another row of the platform's list.
func (v Server) WithInstance(i Instance) Server {
	v.Instance = i
	v.Gone = false
	return v
}

// WithBusy returns the server with delta more slots in use.
func (v Server) WithBusy(delta int) Server {
	v.Busy += delta
	return v
}

// WithLost returns the server with delta more lost slots.
func (v Server) WithLost(delta int) Server {
	v.Lost += delta
	return v
}

// WithGone returns the server as no longer on the platform's list.
func (v Server) WithGone() Server {
	v.Gone = true
	return v
}

// WithFailures returns the server with another count of failures to connect.
func (v Server) WithFailures(n int) Server {
	v.Failures = n
	return v
}

// Free returns the number of free slots.
func (v Server) Free() int {
	return max(0, v.Instance.Slots-v.Busy)
}

// Worker is what this entry knows of one worker.
type Worker struct {
	Instance Instance
	Used     Size // reserved and running
	Gone     bool // no longer on the platform's list
}

// WithInstance returns the worker with another row of the platform's list.
func (w Worker) WithInstance(i Instance) Worker {
	w.Instance = i
	w.Gone = false
	return w
}

// WithUsed returns the worker with size more in use.
func (w Worker) WithUsed(size Size) Worker {
	w.Used = w.Used.Plus(size)
	return w
}

// WithGone returns the worker as no longer on the platform's list.
func (w Worker) WithGone() Worker {
	w.Gone = true
	return w
}

// Free returns the size that is neither reserved nor running.
func (w Worker) Free() Size {
	return w.Instance.Size.Minus(w.Used)
}
