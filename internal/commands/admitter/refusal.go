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

// refuse answers a request that was not run.
func (v *visit) refuse(d scheduler.Refuse) {
	v.count("refused." + string(d.Reason))
	v.observe(time.Since(v.arrived), false)
	v.write(*v.refusal(d.Reason), d.After)
}

func (v *visit) refusal(reason scheduler.Reason) *messenger.Problem {
	p := v.problem(statusOf(reason), string(reason), "the work was not run")
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

// problem returns a problem document. A request that was not yet decided about
// was not run; any other failure leaves that open.
func (v *visit) problem(status int, reason, detail string) *messenger.Problem {
	outcome := scheduler.Unknown
	if v.decided == nil {
		outcome = scheduler.NotRun
	}
	return &messenger.Problem{
		Type:    "about:blank",
		Title:   http.StatusText(status),
		Status:  status,
		Detail:  detail,
		Outcome: outcome.String(),
		Reason:  reason,
		Work:    v.request.ID,
	}
}

// write answers with a problem document.
func (v *visit) write(p messenger.Problem, after time.Duration) {
	header := v.w.Header()
	header.Set("Content-Type", messenger.ProblemType)
	header.Set(messenger.HeaderOutcome, p.Outcome)
	header.Set(messenger.HeaderWork, p.Work)
	if after > 0 {
		seconds := int64((after + time.Second - 1) / time.Second)
		header.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	v.w.WriteHeader(p.Status)
	_ = json.NewEncoder(v.w).Encode(p)
}

// target returns the caller's URL at another address.
func (v *visit) target(address string) *url.URL {
	target := *v.r.URL
	target.Scheme = "http"
	target.Host = address
	return &target
}
