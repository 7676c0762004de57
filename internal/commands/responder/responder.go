// Package responder decodes the request bodies of commands and writes error
// responses.
package responder

import (
	"bytes"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/endivelock/endivelock/internal/commands/committer"
	"github.com/endivelock/endivelock/internal/limiter"
	"github.com/endivelock/endivelock/internal/scheduler"
	"github.com/endivelock/endivelock/pkg/messenger"
)

// DecodeBody decodes a JSON body of at most limit bytes and reports whether it is
// valid. If not, it has responded with a problem document.
func DecodeBody(w http.ResponseWriter, r *http.Request, limit int64, body any) bool {
	data, err := limiter.ReadAll(http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	if err == nil {
		d := json.NewDecoder(bytes.NewReader(data))
		d.DisallowUnknownFields()
		err = d.Decode(body)
	}
	switch {
	case err == nil:
		return true
	case errors.Is(err, limiter.ErrCrowded):
		Fail(w, http.StatusServiceUnavailable, scheduler.NotRun, "crowded", err.Error())
	case errors.Is(err, limiter.ErrSlow):
		Fail(w, http.StatusRequestTimeout, scheduler.NotRun, "body-slow", err.Error())
	default:
		Fail(w, http.StatusBadRequest, scheduler.NotRun, "body-invalid", err.Error())
	}
	return false
}

// Fail responds with a problem document.
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

// FailUncommitted responds to a command whose record was not seen to take effect.
// The advice is added to the detail if the record may still take effect.
func FailUncommitted(w http.ResponseWriter, err error, advice string) {
	var fault *committer.CommitError
	if errors.As(err, &fault) && fault.Outcome == scheduler.NotRun {
		Fail(w, http.StatusServiceUnavailable, scheduler.NotRun, string(scheduler.ReasonLedger), err.Error())
		return
	}
	Fail(w, http.StatusGatewayTimeout, scheduler.Unknown, "ledger-timeout", err.Error()+"; "+advice)
}
