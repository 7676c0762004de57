// Package responder reads the bodies of commands and writes their outcomes.
package responder

import (
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/endivelock/endivelock/internal/commands/committer"
	"github.com/endivelock/endivelock/internal/scheduler"
	"github.com/endivelock/endivelock/pkg/messenger"
)

// Read decodes a body of at most limit bytes. It answers a bad one and reports
// whether the command may go on.
func Read(w http.ResponseWriter, r *http.Request, limit int64, body any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit))
	d.DisallowUnknownFields()
	if err := d.Decode(body); err != nil {
		Fail(w, http.StatusBadRequest, scheduler.NotRun, "body-invalid", err.Error())
		return false
	}
	return true
}

// Fail answers with a problem document.
func Fail(w http.ResponseWriter, status int, outcome scheduler.Outcome, reason, detail string) {
	w.Header().Set("Content-Type", messenger.ProblemType)
	w.Header().Set(messenger.HeaderOutcome, outcome.String())
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(messenger.Problem{
		Type:    "about:blank",
		Title:   http.StatusText(status),
		Status:  status,
		Detail:  detail,
		Outcome: outcome.String(),
		Reason:  reason,
	})
}

// Uncommitted answers for a record whose effect was not seen, with advice for
// the case that it may still take effect.
func Uncommitted(w http.ResponseWriter, err error, advice string) {
	var fault *committer.Fault
	if errors.As(err, &fault) && fault.Outcome == scheduler.NotRun {
		Fail(w, http.StatusServiceUnavailable, scheduler.NotRun, string(scheduler.ReasonLedger), err.Error())
		return
	}
	Fail(w, http.StatusGatewayTimeout, scheduler.Unknown, "ledger-timeout", err.Error()+"; "+advice)
}
