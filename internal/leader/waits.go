package leader

import (
	"cmp"
	"slices"
	"time"

	"github.com/endivelock/endivelock/internal/ledger"
)

// Wait describes a step with idle tasks that has waited for some time.
type Wait struct {
	Job       ledger.ID
	Step      string // key of the step
	Queue     string
	Since     time.Time
	Beyond    bool // beyond the share of its workspace
	Ahead     int  // waiting steps that rank before it, 0 while its cap holds it back
	Idle      int  // tasks that wait
	Places    int  // tasks that fit at the usable workers of its service, without those known to be denied
	Asking    bool // an advice call is in progress
	Permitted int  // workers known to be permitted
	Denied    int  // workers known to be denied
	Tickets   int  // valid tickets
	Workspace string
	Cap       string // the use and the cap that it waits for, empty if it doesn't
}

// Waits returns the steps that have waited for at least a time, the longest first, up
// to a limit.
func (s State) Waits(now time.Time, least time.Duration, limit int) []Wait {
	var found []Wait
	for key, since := range s.readySince.All() {
		if now.Sub(since) >= least && (s.waiting.Has(key) || s.isParked(key)) {
			found = append(found, Wait{Step: key, Since: since})
		}
	}
	slices.SortFunc(found, func(a, b Wait) int {
		return cmp.Or(a.Since.Compare(b.Since), cmp.Compare(a.Step, b.Step))
	})
	found = found[:min(len(found), limit)]
	if len(found) == 0 {
		return nil
	}
	ranks := map[string]int{}
	for key := range s.waiting.From(minScore) {
		ranks[key] = len(ranks)
	}
	t := &transition{State: s, now: now}
	t.fleet.table, t.active.table = &t.workers, &t.jobs
	pass := &placementPass{transition: t}
	for i := range found {
		found[i].Ahead = ranks[found[i].Step]
		pass.describe(&found[i])
	}
	return found
}

// describe fills in why a step waits.
func (p *placementPass) describe(w *Wait) {
	r, ok := p.resolveStep(w.Step)
	if !ok {
		return
	}
	w.Job, w.Queue, w.Idle, w.Workspace = r.job.Job.ID, r.job.Job.Queue.Name, p.countIdle(r), r.job.Job.Workspace
	w.Beyond = r.job.Standing.Beyond
	if !p.fitsCap(r) {
		w.Cap = p.capReason(w.Workspace)
	}
	have, _ := p.permits.Get(w.Step)
	w.Asking = have.calling
	for _, permitted := range have.known {
		if permitted {
			w.Permitted++
		} else {
			w.Denied++
		}
	}
	for _, t := range have.tickets {
		if p.now.Before(t.expiry) {
			w.Tickets++
		}
	}
	counts := p.runsByWorker(r)
	for _, worker := range p.workers.All() {
		p.slots = append(p.slots[:0], newSlot(worker))
		if permitted, known := have.known[worker.ID]; known && !permitted || !p.slots[0].usable(p.now) || !p.matches(r, 0) {
			continue
		}
		w.Places += p.fitsAt(r, worker.Free(), r.spec().Reservation(), counts[worker.ID], w.Idle)
	}
}
