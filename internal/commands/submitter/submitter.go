// Package submitter handles the submission and cancellation of work items for
// workers. An item is accepted only after its record is in the zone's ledger, so
// that accepted work is never lost.
package submitter

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/endivelock/endivelock/internal/commands/committer"
	"github.com/endivelock/endivelock/internal/commands/responder"
	"github.com/endivelock/endivelock/internal/scheduler"
	"github.com/endivelock/endivelock/pkg/messenger"
)

const (
	// maxBodyBytes bounds the size of a request body.
	maxBodyBytes = 1 << 16
	// maxMembers bounds the number of members of a gang.
	maxMembers = 4096
)

// Submitter handles the requests that submit and cancel work.
type Submitter struct {
	Committer committer.Committer
	Logger    logrus.FieldLogger
}

// Routes registers the handlers of the operators' listener.
func (s *Submitter) Routes(mux *http.ServeMux) {
	mux.HandleFunc("POST /work", s.submit)
	mux.HandleFunc("DELETE /work/{id}", s.cancel)
}

func (s *Submitter) submit(w http.ResponseWriter, r *http.Request) {
	var body messenger.Work
	if !responder.DecodeBody(w, r, maxBodyBytes, &body) {
		return
	}
	work, err := parseWork(body)
	if err != nil {
		responder.Fail(w, http.StatusUnprocessableEntity, scheduler.NotRun, "work-invalid", err.Error())
		return
	}
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		work.ID = key
	}
	state := s.Committer.Controller.Snapshot()
	if !state.Ready() {
		responder.Fail(w, http.StatusServiceUnavailable, scheduler.NotRun, string(scheduler.ReasonNotReady), "the entry is not ready")
		return
	}
	if why := state.Feasible(work); why != "" {
		responder.Fail(w, http.StatusUnprocessableEntity, scheduler.NotRun, string(scheduler.ReasonInfeasible), why)
		return
	}
	s.commit(w, r, work.ID, scheduler.SubmitRecord{Work: work}, func(state scheduler.State) bool {
		return state.Items.Has(work.ID)
	})
}

// parseWork validates a description of work and assigns it a new identifier.
func parseWork(body messenger.Work) (scheduler.Work, error) {
	run, err := time.ParseDuration(orDefault(body.Run, "0s"))
	if err != nil || run < 0 {
		return scheduler.Work{}, fmt.Errorf("run is %q, allowed is a duration such as 90s", body.Run)
	}
	work := scheduler.Work{
		ID:         uuid.NewString(),
		Kind:       scheduler.ItemKind(body.Kind),
		Plan:       body.Plan,
		Name:       body.Name,
		Members:    max(1, body.Members),
		Size:       scheduler.Size{CPU: body.CPU, Memory: body.Memory, Accelerators: body.Accelerators},
		Run:        run,
		Deadline:   body.Deadline,
		AtMostOnce: body.Once,
	}
	switch {
	case work.Kind != scheduler.ItemService && work.Kind != scheduler.ItemDeferred && work.Kind != scheduler.ItemGang:
		return work, fmt.Errorf("kind is %q, allowed are service, deferred and gang", body.Kind)
	case !work.Size.Valid():
		return work, fmt.Errorf("size is empty or negative")
	case body.Members < 0 || work.Members > maxMembers:
		return work, fmt.Errorf("members is %d, allowed are 1 to %d", body.Members, maxMembers)
	case work.Members > 1 && work.Kind != scheduler.ItemGang:
		return work, fmt.Errorf("kind %q has one member, not %d", body.Kind, work.Members)
	case work.Kind != scheduler.ItemService && run == 0:
		return work, fmt.Errorf("kind %q needs a run time", body.Kind)
	}
	return work, nil
}

func orDefault(text, value string) string {
	if text == "" {
		return value
	}
	return text
}

func (s *Submitter) cancel(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	if !s.Committer.Controller.Snapshot().Items.Has(id) {
		responder.Fail(w, http.StatusNotFound, scheduler.NotRun, "work-unknown", "work "+id+" is not known in this zone")
		return
	}
	s.commit(w, r, id, scheduler.CancelRecord{Item: id}, func(state scheduler.State) bool {
		item, _ := state.Items.Get(id)
		return item.Phase.Ended() || item.Phase == scheduler.ItemStopping
	})
}

// commit appends a record and responds once the state satisfies applied.
func (s *Submitter) commit(w http.ResponseWriter, r *http.Request, id string, record scheduler.Record, applied func(scheduler.State) bool) {
	stream := scheduler.ZoneStream(s.Committer.Controller.Snapshot().Self.Zone)
	if _, err := s.Committer.Commit(r.Context(), stream, record, applied); err != nil {
		responder.FailUncommitted(w, err, "ask for work "+id+" or repeat with Idempotency-Key "+id)
		return
	}
	s.Logger.WithFields(logrus.Fields{"work": id, "by": r.RemoteAddr, "operation": r.Method}).Info("work recorded")
	w.Header().Set("Location", "/work/"+id)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusAccepted)
	_ = json.NewEncoder(w).Encode(map[string]string{"id": id})
}
