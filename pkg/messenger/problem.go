// Package messenger holds the values that cross the public interfaces of an
// entry: problem documents, lists, work and status. It is what clients import;
// the decisions of the system do not depend on it.
package messenger

// Names of headers of the callers' interface.
const (
	HeaderPlan    = "Endivelock-Plan"    // plan that a request belongs to
	HeaderWork    = "Endivelock-Work"    // identifier of a request
	HeaderOutcome = "Endivelock-Outcome" // ran, not-run or unknown
	HeaderKind    = "Endivelock-Kind"    // "standing" for a stream without end
	HeaderOnce    = "Endivelock-Once"    // "true" if a request must not be repeated
)

// ProblemType is the media type of a Problem.
const ProblemType = "application/problem+json"

// Problem is a refusal or failure in the form of RFC 9457. Outcome says
// whether the work ran: "ran", "not-run" or "unknown".
type Problem struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail,omitempty"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Work    string `json:"work,omitempty"`
}

// Error describes the problem.
func (p Problem) Error() string {
	if p.Detail == "" {
		return p.Title
	}
	return p.Title + ": " + p.Detail
}

var _ error = Problem{}
