package leader

import (
	"slices"
	"strconv"
	"time"

	"github.com/endivelock/endivelock/internal/container"
	"github.com/endivelock/endivelock/internal/ledger"
)

// turn is one application of an event: the state as it changes and the effects
// so far.
type turn struct {
	State
	now     time.Time
	effects []Effect
	changed container.Table[bool] // jobs whose progress needs a record
	order   []ledger.ID           // the same, in the order of change
	queued  bool                  // pending is this turn's own copy
}

// Apply returns the state after an event and what is to be done.
func (s State) Apply(e Event, now time.Time) (State, []Effect) {
	t := &turn{State: s, now: now}
	e.apply(t)
	t.placeWhenDue()
	t.record()
	return t.State, t.effects
}

// stepPause is by how much each waiting step lengthens the pause between two
// passes. A pass visits every waiting step; this bounds the share of the
// processor that passes take while a backlog grows.
const stepPause = 20 * time.Microsecond

// placeWhenDue places what waits if anything has changed since the last pass.
// Changes that come during the pause after a pass wait for the next one, so
// that the cost of placement does not grow with the number of events.
func (t *turn) placeWhenDue() {
	if !t.place {
		return
	}
	pause := t.policy.Pause
	if pause > 0 {
		pause += time.Duration(t.waiting.Len()) * stepPause
	}
	if wait := pause - t.now.Sub(t.passed); wait > 0 && pause > 0 {
		if !t.waking {
			t.waking = true
			t.emit(Wake{After: wait})
		}
		return
	}
	t.place, t.passed = false, t.now
	t.placeAll()
}

func (Woken) apply(t *turn) { t.waking = false }

// Counts sums up the state of a cell.
type Counts struct {
	Jobs     int // that have not ended
	Waiting  int // steps with tasks that wait
	Listed   int // workers
	Heard    int // listed workers whose last look was answered
	Excluded int // workers that take no new tasks for a time
	Asks     int // calls for advice under way
	Used     ledger.Size
	Room     ledger.Size // of the workers that are heard
}

// Counts sums up the state.
func (s State) Counts(now time.Time) Counts {
	c := Counts{Jobs: s.works.Len(), Waiting: s.waiting.Len(), Asks: s.asks.Len()}
	for _, w := range s.workers.All() {
		c.Used = c.Used.Plus(w.Used)
		if !w.Listed {
			continue
		}
		c.Listed++
		if w.Contact == Heard {
			c.Heard++
			c.Room = c.Room.Plus(w.Room)
		}
		if now.Before(w.Excluded) {
			c.Excluded++
		}
	}
	return c
}

func (t *turn) emit(e Effect) { t.effects = append(t.effects, e) }

// next returns the number of the batch that this turn's records will have.
func (t *turn) next() int64 { return t.batch + 1 }

// touch marks a job for a record.
func (t *turn) touch(id ledger.ID) {
	if t.changed.Has(string(id)) {
		return
	}
	t.changed = t.changed.With(string(id), true)
	t.order = append(t.order, id)
}

// record puts the changed jobs into the log and lets go of those whose last
// run is gone.
func (t *turn) record() {
	awaited := len(t.pending) > 0 && t.pending[len(t.pending)-1].batch == t.next()
	if len(t.order) == 0 && !awaited {
		return
	}
	t.batch++
	if len(t.order) == 0 {
		t.emit(Record{Batch: t.batch})
	}
	for _, id := range t.order {
		w, ok := t.works.Get(string(id))
		if !ok {
			continue
		}
		r := Record{Batch: t.batch, Job: id, Progress: w.Progress}
		if w.Progress.State.Final() && w.Runs == 0 {
			r.Progress = w.Progress.WithoutTasks()
			t.letGo(w)
		}
		t.emit(r)
	}
}

// letGo forgets a job and what was kept for its steps.
func (t *turn) letGo(w Work) {
	id := w.Job.ID
	t.works = t.works.Without(string(id))
	t.agenda = t.agenda.Without(string(id))
	for round := range w.Progress.Rounds {
		for step := range w.Job.Steps {
			key := stepKey(id, round, step)
			t.permits = t.permits.Without(key)
			t.meters = t.meters.Without(key)
			t.unrank(key)
			t.ahead = t.ahead.Without(key)
		}
	}
}

// setWork stores a work whose progress has changed.
func (t *turn) setWork(w Work) {
	t.works = t.works.With(string(w.Job.ID), w)
	t.touch(w.Job.ID)
}

// setWorker stores a worker.
func (t *turn) setWorker(w Worker) { t.workers = t.workers.With(w.ID, w) }

// stepKey names a step of a round.
func stepKey(id ledger.ID, round, step int) string {
	return string(id) + "." + strconv.Itoa(round) + "." + strconv.Itoa(step)
}

// put adds or replaces a placement at a worker.
func (t *turn) put(w Worker, p Placement) Worker {
	if !w.Placed.Has(p.key()) {
		t.count(p.Task.Job, 1)
	}
	w = w.WithPlacement(p)
	t.setWorker(w)
	return w
}

// drop removes a placement from a worker: the run is known not to go on.
func (t *turn) drop(w Worker, p Placement) Worker {
	if w.Placed.Has(p.key()) {
		t.count(p.Task.Job, -1)
	}
	w = w.WithoutPlacement(p.key())
	t.setWorker(w)
	t.place = true
	return w
}

// count changes the number of runs of a job. The last run of a job that has
// ended gets it its last record.
func (t *turn) count(id ledger.ID, n int) {
	w, ok := t.works.Get(string(id))
	if !ok {
		return
	}
	w = w.WithRuns(n)
	t.works = t.works.With(string(id), w)
	if w.Runs == 0 && w.Progress.State.Final() {
		t.touch(id)
	}
}

// await notes what depends on a batch being in the log: the start of a
// placement or, without a key, the acknowledgement of ends.
func (t *turn) await(batch int64, worker, key string) {
	if !t.queued {
		t.pending, t.queued = slices.Clone(t.pending), true
	}
	t.pending = append(t.pending, dependent{batch, worker, key})
}

func (e Committed) apply(t *turn) {
	for len(t.pending) > 0 && t.pending[0].batch <= e.Batch {
		d := t.pending[0]
		t.pending = t.pending[1:]
		w, ok := t.workers.Get(d.worker)
		if !ok {
			continue
		}
		if d.key == "" {
			t.acknowledge(w, e.Batch)
			t.forget(w)
			continue
		}
		p, ok := w.Placed.Get(d.key)
		switch {
		case ok && p.Stage == Recording:
			t.start(w, p)
		case ok && p.Stage == Dropped:
			t.drop(w, p)
			t.idle(p, "")
		}
	}
}

// start orders a start whose record is in the log.
func (t *turn) start(w Worker, p Placement) {
	work, ok := t.works.Get(string(p.Task.Job))
	if !ok || work.Progress.State.Final() {
		t.drop(w, p)
		return
	}
	why := t.unfit(w, p)
	if why == "" && work.Job.Steps[p.Task.Step].Gang {
		why = t.incomplete(work, p)
	}
	if why != "" {
		t.drop(w, p)
		t.idle(p, "")
		t.emit(Note{What: "withhold", Job: p.Task.Job, Task: p.Task.String(), Run: p.Run, Worker: w.ID, Why: why})
		return
	}
	t.put(w, p.WithStage(Ordered).WithSent(t.now))
	t.emit(Order{
		Worker: w.ID, Address: w.Address, Kind: OrderStart, Task: p.Task, Run: p.Run,
		Spec: work.Job.Spec, Saved: work.Progress.Task(p.Task.Round, p.Task.Step, p.Task.Index).Saved, Ticket: p.Ticket,
	})
}

// unfit says why a start whose record took its time is not to be ordered any
// more, or nothing.
func (t *turn) unfit(w Worker, p Placement) string {
	switch {
	case !w.Listed || w.Draining || w.Contact != Heard:
		return "the worker left or fell silent"
	case !p.Valid.IsZero() && t.now.After(p.Valid):
		return "the ticket has run out"
	}
	return ""
}

// stop orders the end of a run, or forgets one that was not ordered yet.
func (t *turn) stop(w Worker, p Placement, why string) Worker {
	switch p.Stage {
	case Recording:
		return t.put(w, p.WithStage(Dropped))
	case Dropped, Stopping:
		return w
	}
	w = t.put(w, p.WithStage(Stopping).WithSent(t.now))
	t.emit(Order{Worker: w.ID, Address: w.Address, Kind: OrderStop, Task: p.Task, Run: p.Run})
	t.emit(Note{What: "stop", Job: p.Task.Job, Task: p.Task.String(), Run: p.Run, Worker: w.ID, Why: why})
	return w
}

// idle makes the task of a run that is over wait for another one.
func (t *turn) idle(p Placement, saved string) {
	w, ok := t.works.Get(string(p.Task.Job))
	if !ok || !w.Progress.Holds(p.Task) {
		return
	}
	task := w.Progress.Task(p.Task.Round, p.Task.Step, p.Task.Index)
	if task.Run != p.Run || task.Phase != ledger.Started {
		return
	}
	task = task.WithPhase(ledger.Idle).WithSaved(p.Saved).WithSaved(saved)
	t.setWork(w.WithProgress(w.Progress.WithTask(p.Task, task)))
	t.rank(w.Job.ID)
}
