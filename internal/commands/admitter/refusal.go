package admitter

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/endivelock/endivelock/internal/scheduler"
	"github.com/endivelock/endivelock/pkg/messenger"
)

// refuse responds that the request was refused and not run.
func (f *inflight) refuse(d scheduler.Refuse) {
	f.count("refused." + string(d.Reason))
	f.observeRefused(statusOf(d.Reason))
	f.writeProblem(*f.refusal(d.Reason), d.RetryAfter)
}

func (f *inflight) refusal(reason scheduler.Reason) *messenger.Problem {
	p := f.problem(statusOf(reason), string(reason), "the work was not run")
	p.Outcome = scheduler.NotRun.String()
	return p
}

// statusOf returns the HTTP status for a reason of refusal.
func statusOf(reason scheduler.Reason) int {
	switch reason {
	case scheduler.ReasonNoPlan:
		return http.StatusForbidden
	case scheduler.ReasonAllowance:
		return http.StatusTooManyRequests
	case scheduler.ReasonDeadline:
		return http.StatusGatewayTimeout
	default:
		return http.StatusServiceUnavailable
	}
}

// problem returns a problem document. Before the request waits for a decision the
// outcome is not-run, from then on it is unknown.
func (f *inflight) problem(status int, reason, detail string) *messenger.Problem {
	outcome := scheduler.Unknown
	if f.decisions == nil {
		outcome = scheduler.NotRun
	}
	return &messenger.Problem{
		Type:    "about:blank",
		Title:   http.StatusText(status),
		Status:  status,
		Detail:  detail,
		Outcome: outcome.String(),
		Reason:  reason,
		Work:    f.request.ID,
	}
}

// writeProblem responds with a problem document, and with Retry-After if after is
// positive.
func (f *inflight) writeProblem(p messenger.Problem, after time.Duration) {
	header := f.w.Header()
	header.Set("Content-Type", messenger.ProblemType)
	header.Set(messenger.HeaderOutcome, p.Outcome)
	header.Set(messenger.HeaderWork, p.Work)
	if after > 0 {
		seconds := int64((after + time.Second - 1) / time.Second)
		header.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	f.w.WriteHeader(p.Status)
	_ = json.NewEncoder(f.w).Encode(p)
}

// target returns the URL of the request with another address.
func (f *inflight) target(address string) *url.URL {
	target := *f.r.URL
	target.Scheme = "http"
	target.Host = address
	return &target
}
