package leader

import (
	"time"

	"github.com/endivelock/endivelock/internal/ledger"
)

const (
	// fullReport is how many ends a report lists at most. A longer list comes in
	// parts, and what is missing in one part may be in the next. It is the
	// platform's bound.
	fullReport = 500
	// repeatOrder is how long a stop waits for its effect before it is repeated.
	repeatOrder = 500 * time.Millisecond
)

func (e Listed) apply(t *turn) {
	w, known := t.workers.Get(e.Listing.ID)
	watched := known && w.Listed
	moved := watched && w.Address != e.Listing.Address
	drained := e.Listing.Draining && !w.Draining
	if known && w.Life != 0 && e.Listing.Life > w.Life && w.Contact == Heard {
		// The worker was born again: nothing starts there before it reports.
		w = w.WithContact(Silent)
		t.emit(Look{Worker: w.ID})
	}
	w = w.WithListing(e.Listing, t.now)
	t.setWorker(w)
	if !watched || moved {
		t.emit(Watch{Worker: w.ID, Address: w.Address})
		t.emit(Note{What: "list", Worker: w.ID, Why: w.Service + " at " + w.Address})
	}
	if drained {
		t.emit(Note{What: "drain", Worker: w.ID, Why: "listed as draining for " + e.Listing.Leaving.String()})
		t.evacuate(w)
	}
}

func (e Unlisted) apply(t *turn) {
	w, ok := t.workers.Get(e.ID)
	if !ok || !w.Listed {
		return
	}
	w.Listed = false
	t.setWorker(w)
	t.emit(Note{What: "unlist", Worker: w.ID})
	t.forget(w)
}

// forget lets go of a worker that is not listed and has nothing placed.
func (t *turn) forget(w Worker) {
	if w.Listed || w.Placed.Len() > 0 || len(w.Unacked) > 0 {
		return
	}
	t.workers = t.workers.Without(w.ID)
	t.emit(Unwatch{Worker: w.ID})
}

func (e Missed) apply(t *turn) {
	w, ok := t.workers.Get(e.Worker)
	if !ok {
		return
	}
	if w.Contact == Heard {
		t.emit(Note{What: "silent", Worker: w.ID, Why: "no report"})
	}
	w = w.WithContact(Silent)
	w.Deadline = max(w.Deadline, e.Deadline)
	t.setWorker(w)
	t.lapseAt(w)
}

// lapseAt lets go of what was placed at a silent worker once its leases have
// lapsed.
func (t *turn) lapseAt(w Worker) {
	if w.Contact == Heard || t.now.Before(w.lapse(t.State)) {
		return
	}
	for _, p := range w.Placed.All() {
		if p.Stage == Recording || p.Stage == Dropped {
			continue
		}
		w = t.lost(w, p, "leases of a silent worker have lapsed")
	}
	t.forget(w)
}

// lost lets go of a run that is over without an end that the worker told.
func (t *turn) lost(w Worker, p Placement, why string) Worker {
	t.emit(Note{What: "lost", Job: p.Task.Job, Task: p.Task.String(), Run: p.Run, Worker: w.ID, Why: why})
	w = t.drop(w, p)
	t.idle(p, "")
	return w
}

func (e Reported) apply(t *turn) {
	w, ok := t.workers.Get(e.Worker)
	if !ok {
		return
	}
	if e.Report.Life < w.Life {
		return // an answer that was overtaken by one of a later life
	}
	reborn := w.Life != 0 && w.Life != e.Report.Life
	overtaken := !reborn && e.Report.Clock < w.Clock
	if w.Contact != Heard || reborn {
		t.emit(Note{What: "heard", Worker: w.ID, Why: "report of life " + time.UnixMilli(e.Report.Life).UTC().Format(time.RFC3339)})
		t.place = true
	}
	w = w.WithReport(e.Report, e.Deadline, t.policy.Lease, t.now)
	t.setWorker(w)
	t.ends(w, e.Report)
	if !overtaken {
		t.absent(w.ID, e, t.running(w.ID, e), reborn)
	}
	w, _ = t.workers.Get(w.ID)
	t.pace(w)
	t.forget(w)
}

// ends takes up the ends that were not taken up before. The worker may forget
// them once this turn's records are in the log. An end that changes no job goes
// with the next batch, so that none is forgotten out of turn.
func (t *turn) ends(w Worker, r Report) {
	last := w.Ends
	for _, end := range r.Ended {
		if end.Number <= last {
			continue
		}
		t.end(w, end)
		w, _ = t.workers.Get(w.ID)
		w = w.WithEnd(end.Number, t.next())
		t.setWorker(w)
	}
	if w.Ends > last {
		t.await(t.next(), w.ID, "")
	}
}

// acknowledge lets a worker forget the ends whose records are in the log.
func (t *turn) acknowledge(w Worker, batch int64) {
	w = w.WithAcked(batch)
	t.setWorker(w)
	t.emit(Acknowledge{Worker: w.ID, Life: w.Life, Number: w.Acked})
}

// running takes up the runs that a report lists and returns their keys.
func (t *turn) running(id string, e Reported) map[string]bool {
	listed := make(map[string]bool, len(e.Report.Running))
	for _, r := range e.Report.Running {
		key := runKey(r.Task, r.Number)
		listed[key] = true
		w, _ := t.workers.Get(id)
		p, ok := w.Placed.Get(key)
		if !ok {
			t.unexpected(w, r)
			continue
		}
		p = p.WithReport(r, t.now)
		switch p.Stage {
		case Inherited:
			p = t.adopt(p)
		case Ordered:
			p = p.WithStage(Working).WithAnswer(t.now)
			p.Began = t.now
		}
		w = t.put(w, p)
		if p.Stage != Working {
			continue
		}
		work, known := t.works.Get(string(p.Task.Job))
		if !known || work.Progress.State.Final() {
			t.stop(w, p, "its job has ended")
			continue
		}
		t.overtake(w, p, work.Job.Steps[p.Task.Step])
	}
	return listed
}

// adopt takes over a run that an earlier leader started.
func (t *turn) adopt(p Placement) Placement {
	p = p.WithStage(Working).WithAnswer(t.now)
	p.Began = t.now
	return p
}

// unexpected stops a run that no placement accounts for. It takes room until
// it has ended.
func (t *turn) unexpected(w Worker, r Run) {
	id, err := ledger.ParseTask(r.Task)
	if err != nil {
		t.emit(Note{What: "ignore", Task: r.Task, Worker: w.ID, Why: err.Error()})
		return
	}
	p := Placement{Task: id, Run: r.Number, Stage: Working, Answered: t.now, Began: t.now, Saved: r.Saved}
	if work, ok := t.works.Get(string(id.Job)); ok && id.Step < len(work.Job.Steps) {
		p.Size = work.Job.Steps[id.Step].Room()
	}
	w = t.put(w, p)
	t.stop(w, p, "run is not one of ours")
}

// absent lets go of placements that a report would list if they went on.
func (t *turn) absent(id string, e Reported, listed map[string]bool, reborn bool) {
	if len(e.Report.Ended) >= fullReport {
		return
	}
	w, _ := t.workers.Get(id)
	for key, p := range w.Placed.All() {
		if listed[key] {
			continue
		}
		var over bool
		switch p.Stage {
		case Inherited:
			over = true // a start of an earlier leader can't arrive any more
		case Working, Stopping:
			over = reborn || !p.Answered.IsZero() && e.Sent.After(p.Answered)
		}
		if over {
			w = t.lost(w, p, "worker does not list it")
		}
	}
}

func (e Answered) apply(t *turn) {
	w, ok := t.workers.Get(e.Worker)
	if !ok {
		return
	}
	p, ok := w.Placed.Get(runKey(e.Task.String(), e.Run))
	if !ok {
		return
	}
	switch e.Kind {
	case OrderStart:
		t.started(w, p, e.Outcome)
	case OrderStop:
		if e.Outcome == Obeyed && p.Stage == Stopping {
			t.put(w, p.WithAnswer(t.now))
			t.emit(Look{Worker: w.ID})
		}
	}
}

// started takes up the answer to a start.
func (t *turn) started(w Worker, p Placement, o Outcome) {
	if p.Stage == Stopping && (o == Refused || o == NoTicket || o == NoRoom) {
		t.lost(w, p, "worker refused the start")
		return
	}
	if p.Stage != Ordered {
		return
	}
	switch o {
	case Obeyed:
		p = p.WithStage(Working).WithAnswer(t.now)
		p.Began = t.now
		t.put(w, p)
	case Unknown:
		t.stop(w, p, "start was not answered")
		t.disband(p)
	default:
		t.refused(w, p, o)
	}
}

// refused takes up a start that the worker did not carry out.
func (t *turn) refused(w Worker, p Placement, o Outcome) {
	switch o {
	case NoTicket:
		key := stepKey(p.Task.Job, p.Task.Round, p.Task.Step)
		if have, ok := t.permits.Get(key); ok {
			t.permits = t.permits.With(key, have.without(w.ID))
		}
	case NotNewer, NoRoom:
		t.emit(Look{Worker: w.ID})
	case Refused:
		t.exclude(w, "refused a start")
	}
	t.disband(p)
	w, _ = t.workers.Get(w.ID) // it may have had other members
	t.lost(w, p, "worker refused the start")
}
