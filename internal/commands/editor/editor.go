// Package editor handles operators' changes of the configuration: the lists of
// plans and allowances, and the marks of instances. A change is appended as a
// record to the platform's log and reported as accepted only once this entry has
// read it back. The order of the log decides between concurrent edits.
package editor

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/endivelock/endivelock/internal/commands/committer"
	"github.com/endivelock/endivelock/internal/commands/responder"
	"github.com/endivelock/endivelock/internal/scheduler"
)

// maxBodyBytes bounds the size of a request body.
const maxBodyBytes = 2 << 20

// Editor handles the requests that change the configuration.
type Editor struct {
	Committer committer.Committer
	Logger    logrus.FieldLogger
}

// Routes registers the handlers of the operators' listener.
func (e *Editor) Routes(mux *http.ServeMux) {
	mux.HandleFunc("PUT /plans", e.putPlans)
	mux.HandleFunc("PUT /allowances", e.putAllowances)
	mux.HandleFunc("POST /marks", e.postMark)
}

func (e *Editor) putPlans(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Version int64                `json:"version"` // sent back as it was read; If-Match decides
		Plans   rows[scheduler.Plan] `json:"plans"`
	}
	if !responder.DecodeBody(w, r, maxBodyBytes, &body) {
		return
	}
	if err := checkPlans(body.Plans); err != nil {
		responder.Fail(w, http.StatusUnprocessableEntity, scheduler.NotRun, "list-invalid", err.Error())
		return
	}
	e.commitList(w, r, scheduler.ListRecord{List: scheduler.ListPlans, Plans: body.Plans})
}

func (e *Editor) putAllowances(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Version    int64                     `json:"version"` // sent back as it was read; If-Match decides
		Allowances rows[scheduler.Allowance] `json:"allowances"`
	}
	if !responder.DecodeBody(w, r, maxBodyBytes, &body) {
		return
	}
	if err := checkAllowances(body.Allowances); err != nil {
		responder.Fail(w, http.StatusUnprocessableEntity, scheduler.NotRun, "list-invalid", err.Error())
		return
	}
	e.commitList(w, r, scheduler.ListRecord{List: scheduler.ListAllowances, Allowances: body.Allowances})
}

// commitList commits a list that replaces the version that If-Match names.
func (e *Editor) commitList(w http.ResponseWriter, r *http.Request, record scheduler.ListRecord) {
	basis, err := strconv.ParseInt(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	if err != nil {
		responder.Fail(w, http.StatusPreconditionRequired, scheduler.NotRun, "version-missing",
			`header If-Match must name the version that the list was edited from, "0" for none`)
		return
	}
	record.Basis = basis
	record.Nonce = nonceOf(r)
	record.By = r.RemoteAddr
	e.commit(w, r, record.Nonce, record)
}

func (e *Editor) postMark(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Instance string         `json:"instance"`
		Mark     scheduler.Mark `json:"mark"`
	}
	if !responder.DecodeBody(w, r, maxBodyBytes, &body) {
		return
	}
	if err := checkMark(body.Instance, body.Mark); err != nil {
		responder.Fail(w, http.StatusUnprocessableEntity, scheduler.NotRun, "mark-invalid", err.Error())
		return
	}
	nonce := nonceOf(r)
	e.commit(w, r, nonce, scheduler.MarkRecord{Instance: body.Instance, Mark: body.Mark, Nonce: nonce, By: r.RemoteAddr})
}

// nonceOf returns the identifier of an edit, so that a client that retries after a
// lost response does not apply the edit twice.
func nonceOf(r *http.Request) string {
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		return key
	}
	return uuid.NewString()
}

// commit appends a record, waits until this entry has read it back and responds
// with the result.
func (e *Editor) commit(w http.ResponseWriter, r *http.Request, nonce string, record scheduler.Record) {
	s, err := e.Committer.Commit(r.Context(), scheduler.ConfigStream, record, func(s scheduler.State) bool {
		_, decided := s.Config.Edit(nonce)
		return decided
	})
	if err != nil {
		responder.FailUncommitted(w, err, "repeat it with Idempotency-Key "+nonce)
		return
	}
	e.respond(w, r, s, nonce)
}

func (e *Editor) respond(w http.ResponseWriter, r *http.Request, s scheduler.State, nonce string) {
	edit, _ := s.Config.Edit(nonce)
	fields := logrus.Fields{"nonce": nonce, "offset": edit.Offset, "by": r.RemoteAddr, "path": r.URL.Path, "accepted": edit.Accepted}
	e.Logger.WithFields(fields).Info("configuration edit decided")
	if !edit.Accepted {
		responder.Fail(w, http.StatusPreconditionFailed, scheduler.NotRun, "version-stale",
			"the list was changed since the version that If-Match names")
		return
	}
	version := strconv.FormatInt(edit.Offset, 10)
	w.Header().Set("ETag", `"`+version+`"`)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]int64{"version": edit.Offset})
}
