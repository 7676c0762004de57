package scheduler

// Outcome is what is known of an attempt to run work.
type Outcome int

// The zero Outcome is Unknown, so a value that nobody set never claims more
// than is known.
const (
	Unknown Outcome = iota // the work may have run
	Ran                    // the complete response was received
	NotRun                 // proof exists that the work did not start
)

// String returns the name used in answers and logs.
func (o Outcome) String() string {
	switch o {
	case Ran:
		return "ran"
	case NotRun:
		return "not-run"
	default:
		return "unknown"
	}
}

// Reason is the reason why a request was refused. It is part of the public interface:
// docs/OPERATING.md lists each value with its cause.
type Reason string

// Reasons for a refusal. Each one implies the outcome NotRun.
const (
	ReasonNotReady          Reason = "not-ready"          // no configuration or no ownership yet
	ReasonNoPlan            Reason = "plan-unknown"       // the plan is not in the list of plans
	ReasonAllowance         Reason = "allowance-used"     // the plan has no allowance or uses all of it
	ReasonQueueFull         Reason = "queue-full"         // the queue has reached its length limit
	ReasonNoFreeSlot        Reason = "no-free-slot"       // a forwarded request, and this entry has no free slot
	ReasonQueueTimeout      Reason = "queue-timeout"      // waited in the queue for as long as allowed
	ReasonDeadline          Reason = "deadline-passed"    // the caller's deadline passed before placement
	ReasonInfeasible        Reason = "never-fits"         // no instance can ever hold it
	ReasonDraining          Reason = "draining"           // the entry is stopping
	ReasonLedger            Reason = "ledger-unavailable" // the log cannot record the work now
	ReasonServerUnreachable Reason = "server-unreachable" // no connection to a backend server could be made
	ReasonCallerGone        Reason = "caller-gone"        // the caller left before placement
)
