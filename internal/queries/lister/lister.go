// Package lister serves the operators' queries from published snapshots of the
// control state. It is read-only and never calls the control thread.
package lister

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/endivelock/endivelock/internal/scheduler"
	"github.com/endivelock/endivelock/pkg/messenger"
)

// Viewer returns the published control state.
type Viewer interface {
	// Snapshot returns the last published state.
	Snapshot() scheduler.State
}

// Lister holds the HTTP handlers of the operators' queries.
type Lister struct {
	Viewer Viewer
	Now    func() time.Time
}

// Routes registers the handlers.
func (l *Lister) Routes(mux *http.ServeMux) {
	mux.HandleFunc("GET /plans", l.plans)
	mux.HandleFunc("GET /allowances", l.allowances)
	mux.HandleFunc("GET /marks", l.marks)
	mux.HandleFunc("GET /work", l.workItems)
	mux.HandleFunc("GET /work/{id}", l.workItem)
	mux.HandleFunc("GET /servers", l.servers)
	mux.HandleFunc("GET /workers", l.workers)
	mux.HandleFunc("GET /entries", l.entries)
	mux.HandleFunc("GET /status", l.status)
}

func (l *Lister) plans(w http.ResponseWriter, _ *http.Request) {
	c := l.Viewer.Snapshot().Config
	setVersion(w, c.PlansVersion)
	writeJSON(w, map[string]any{"version": c.PlansVersion, "plans": nonNil(c.Plans)})
}

func (l *Lister) allowances(w http.ResponseWriter, _ *http.Request) {
	c := l.Viewer.Snapshot().Config
	setVersion(w, c.AllowanceVersion)
	writeJSON(w, map[string]any{"version": c.AllowanceVersion, "allowances": nonNil(c.Allowances)})
}

func (l *Lister) marks(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, map[string]any{"marks": l.Viewer.Snapshot().Config.Marks})
}

func (l *Lister) workItems(w http.ResponseWriter, _ *http.Request) {
	items := []messenger.WorkStatus{}
	for _, i := range l.Viewer.Snapshot().Items.All() {
		items = append(items, statusOf(i))
	}
	slices.SortFunc(items, func(a, b messenger.WorkStatus) int { return cmp.Compare(a.ID, b.ID) })
	writeJSON(w, map[string]any{"work": items})
}

func (l *Lister) workItem(w http.ResponseWriter, r *http.Request) {
	i, ok := l.Viewer.Snapshot().Items.Get(r.PathValue("id"))
	if !ok {
		w.Header().Set("Content-Type", messenger.ProblemType)
		w.WriteHeader(http.StatusNotFound)
		_ = json.NewEncoder(w).Encode(messenger.Problem{
			Type: "about:blank", Title: "Not Found", Status: http.StatusNotFound, Reason: "work-unknown",
			Detail: "work " + r.PathValue("id") + " is not known in this zone", Outcome: scheduler.Unknown.String(),
		})
		return
	}
	writeJSON(w, statusOf(i))
}

func statusOf(i scheduler.Item) messenger.WorkStatus {
	status := messenger.WorkStatus{
		ID: i.Work.ID, Kind: string(i.Work.Kind), Plan: i.Work.Plan, Name: i.Work.Name,
		Phase: string(i.Phase), Why: i.Why, Attempt: i.Attempt,
	}
	if !i.Work.Deadline.IsZero() {
		status.Deadline = i.Work.Deadline.Format(time.RFC3339)
	}
	for _, p := range i.Placed {
		if !p.Ended {
			status.Workers = append(status.Workers, p.Worker)
		}
	}
	return status
}

func (l *Lister) servers(w http.ResponseWriter, _ *http.Request) {
	s := l.Viewer.Snapshot()
	servers := []messenger.ServerStatus{}
	for name, v := range s.Servers.All() {
		c, _ := s.Claim(scheduler.ServerResource(name))
		servers = append(servers, messenger.ServerStatus{
			Name: name, Kind: string(scheduler.KindServer), Owner: ownerOf(c), Epoch: c.Epoch,
			State: stateOf(s, v.Instance, v.Gone), Slots: v.Instance.Slots, Busy: v.Busy, Lost: v.Lost,
		})
	}
	sortServers(servers)
	writeJSON(w, map[string]any{"servers": servers})
}

func (l *Lister) workers(w http.ResponseWriter, _ *http.Request) {
	s := l.Viewer.Snapshot()
	workers := []messenger.ServerStatus{}
	for name, v := range s.Workers.All() {
		c, _ := s.Claim(scheduler.WorkerResource(name))
		workers = append(workers, messenger.ServerStatus{
			Name: name, Kind: string(scheduler.KindWorker), Owner: ownerOf(c), Epoch: c.Epoch,
			State: stateOf(s, v.Instance, v.Gone), CPU: v.Instance.Size.CPU, Used: v.Used.CPU,
		})
	}
	sortServers(workers)
	writeJSON(w, map[string]any{"workers": workers})
}

func sortServers(servers []messenger.ServerStatus) {
	slices.SortFunc(servers, func(a, b messenger.ServerStatus) int { return cmp.Compare(a.Name, b.Name) })
}

func ownerOf(c scheduler.Claim) string {
	if c.Owner.Name == "" {
		return ""
	}
	return c.Owner.String()
}

func stateOf(s scheduler.State, i scheduler.Instance, gone bool) string {
	switch {
	case gone:
		return "gone"
	case s.Mark(i.Name) != scheduler.MarkNone:
		return "marked-" + string(s.Mark(i.Name))
	case i.Leaving:
		return "leaving"
	default:
		return "live"
	}
}

func (l *Lister) entries(w http.ResponseWriter, _ *http.Request) {
	entries := []messenger.EntryStatus{}
	for _, m := range l.Viewer.Snapshot().Members.All() {
		d := m.Digest
		entries = append(entries, messenger.EntryStatus{
			ID: d.Entry.ID.String(), Zone: string(d.Entry.Zone), State: memberState(m),
			Config: d.Config, Free: d.Free, Queue: d.Queue, Age: l.age(m),
		})
	}
	slices.SortFunc(entries, func(a, b messenger.EntryStatus) int { return cmp.Compare(a.ID, b.ID) })
	writeJSON(w, map[string]any{"entries": entries})
}

// age returns the seconds since a member's last heartbeat, -1 if there was none.
func (l *Lister) age(m scheduler.Member) float64 {
	if m.Heard.IsZero() {
		return -1
	}
	return l.Now().Sub(m.Heard).Seconds()
}

func memberState(m scheduler.Member) string {
	switch {
	case m.Dead:
		return "dead"
	case m.Digest.Draining:
		return "draining"
	case !m.Digest.Ready:
		return "starting"
	default:
		return "ready"
	}
}

func (l *Lister) status(w http.ResponseWriter, _ *http.Request) {
	s := l.Viewer.Snapshot()
	writeJSON(w, messenger.Status{
		ID: s.Self.ID.String(), Zone: string(s.Self.Zone), Ready: s.Ready(), Draining: s.Draining,
		Config: s.Config.Offset, Ledger: s.Applied, Held: s.Holds.Len(), Free: s.FreeSlots(), Queue: s.Queue.Len(),
	})
}

func nonNil[T any](rows []T) []T {
	if rows == nil {
		return []T{}
	}
	return rows
}

func setVersion(w http.ResponseWriter, v int64) {
	w.Header().Set("ETag", `"`+strconv.FormatInt(v, 10)+`"`)
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
