// Package messenger defines the messages of an entry's HTTP interfaces: problem
// documents, lists, work items and status. Clients import it; the packages that
// make the scheduling decisions do not.
package messenger

// Headers of the interface for callers.
const (
	HeaderPlan    = "Endivelock-Plan"    // plan that the request belongs to
	HeaderWork    = "Endivelock-Work"    // identifier of the request
	HeaderOutcome = "Endivelock-Outcome" // ran, not-run or unknown
	HeaderKind    = "Endivelock-Kind"    // "standing" for a response that is an endless stream
	HeaderOnce    = "Endivelock-Once"    // "true" if the request must not be retried
)

// ProblemType is the media type of a Problem.
const ProblemType = "application/problem+json"

// Problem is a problem document (RFC 9457) for a refusal or a failure. Outcome
// tells whether the work ran: "ran", "not-run" or "unknown".
type Problem struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail,omitempty"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Work    string `json:"work,omitempty"`
}

// Error returns the title and the detail.
func (p Problem) Error() string {
	if p.Detail == "" {
		return p.Title
	}
	return p.Title + ": " + p.Detail
}

var _ error = Problem{}
