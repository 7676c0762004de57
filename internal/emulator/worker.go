package emulator

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/endivelock/endivelock/internal/scheduler"
)

// endedRetention is how long a worker reports a task that has ended.
const endedRetention = 10 * time.Minute

// Worker emulates a worker that runs tasks under leases. A task only takes time.
type Worker struct {
	Capacity scheduler.Size
	History  *History
	Lag      time.Duration // age of the resource usage that is reported

	mu           sync.Mutex
	tasks        map[string]*taskRun
	used         scheduler.Size
	usageHistory []usageSample
}

// usageSample is the resource usage since a point in time.
type usageSample struct {
	at   time.Time
	used scheduler.Size
}

// taskRun is a task with the state of its execution.
type taskRun struct {
	task        scheduler.Task
	leaseExpiry time.Time
	finishAt    time.Time // zero for a service
	end         scheduler.End
	endedAt     time.Time
	checkpoint  time.Duration // run time at the last checkpoint
	startedAt   time.Time
	throttled   bool // the remaining run time was doubled
}

// member identifies a task within its item, independent of the attempt.
func (t *taskRun) member() string {
	parts := strings.Split(t.task.ID, ".")
	return t.task.Item + "/" + parts[len(parts)-1]
}

// Handler serves the worker's protocol.
func (w *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /tasks", w.start)
	mux.HandleFunc("POST /leases", w.renew)
	mux.HandleFunc("POST /halt", w.halt)
	mux.HandleFunc("POST /report", w.report)
	mux.HandleFunc("POST /checkpoint", w.checkpoint)
	mux.HandleFunc("POST /throttle", w.throttle)
	mux.HandleFunc("GET /usage", w.serveUsage)
	return mux
}

// message is the body of every POST request to a worker.
type message struct {
	Tasks  []scheduler.Task `json:"tasks"`
	Names  []string         `json:"names"`
	Expiry time.Time        `json:"expiry"`
}

// decodeAndLock decodes a request and advances the worker to the present. If it
// returns true, it has locked w.mu, and the caller unlocks it.
func (w *Worker) decodeAndLock(rw http.ResponseWriter, r *http.Request) (message, bool) {
	var m message
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return m, false
	}
	w.mu.Lock()
	w.advance(time.Now())
	return m, true
}

// advance ends tasks that have finished or whose lease has expired by now, and
// forgets tasks that ended long ago. The caller holds w.mu.
func (w *Worker) advance(now time.Time) {
	for id, t := range w.tasks {
		switch {
		case t.end != "" && now.Sub(t.endedAt) > endedRetention:
			delete(w.tasks, id)
		case t.end != "":
		case !t.finishAt.IsZero() && !now.Before(t.finishAt) && !t.leaseExpiry.Before(t.finishAt):
			w.endTask(t, scheduler.EndSucceeded, now)
		case !now.Before(t.leaseExpiry):
			w.endTask(t, scheduler.EndHalted, now)
		}
	}
}

func (w *Worker) endTask(t *taskRun, end scheduler.End, now time.Time) {
	t.end, t.endedAt = end, now
	w.setUsed(w.used.Minus(t.task.Size), now)
	w.History.endTask(t.task.Item, t.member(), end == scheduler.EndSucceeded)
}

func (w *Worker) start(rw http.ResponseWriter, r *http.Request) {
	m, ok := w.decodeAndLock(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	now := time.Now()
	if !now.Before(m.Expiry) {
		http.Error(rw, "the lease has lapsed", http.StatusGone)
		return
	}
	for _, task := range m.Tasks {
		w.startTask(task, m.Expiry, now)
	}
}

func (w *Worker) startTask(task scheduler.Task, expiry, now time.Time) {
	if w.tasks == nil {
		w.tasks = map[string]*taskRun{}
	}
	if w.tasks[task.ID] != nil {
		return
	}
	t := &taskRun{task: task, leaseExpiry: expiry, startedAt: now}
	if task.Run > 0 {
		t.finishAt = now.Add(task.Run)
	}
	w.tasks[task.ID] = t
	w.scheduleAdvance(t)
	w.setUsed(w.used.Plus(task.Size), now)
	if !w.used.Fits(w.Capacity) {
		w.History.overcommit()
	}
	w.History.startTask(t.member())
}

// scheduleAdvance sets a timer that advances the worker when a task finishes or
// its lease expires.
func (w *Worker) scheduleAdvance(t *taskRun) {
	at := t.leaseExpiry
	if !t.finishAt.IsZero() && t.finishAt.Before(at) {
		at = t.finishAt
	}
	time.AfterFunc(time.Until(at)+time.Millisecond, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.advance(time.Now())
	})
}

func (w *Worker) renew(rw http.ResponseWriter, r *http.Request) {
	m, ok := w.decodeAndLock(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	for _, id := range m.Names {
		if t := w.tasks[id]; t != nil && t.end == "" && m.Expiry.After(t.leaseExpiry) {
			t.leaseExpiry = m.Expiry
			w.scheduleAdvance(t)
		}
	}
}

func (w *Worker) halt(rw http.ResponseWriter, r *http.Request) {
	m, ok := w.decodeAndLock(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	for _, id := range m.Names {
		if t := w.tasks[id]; t != nil && t.end == "" {
			w.endTask(t, scheduler.EndHalted, time.Now())
		}
	}
}

func (w *Worker) report(rw http.ResponseWriter, r *http.Request) {
	_, ok := w.decodeAndLock(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	running, ended := []string{}, []scheduler.TaskEnd{}
	for id, t := range w.tasks {
		if t.end == "" {
			running = append(running, id)
			continue
		}
		ended = append(ended, scheduler.TaskEnd{Task: id, End: t.end})
	}
	writeJSON(rw, map[string]any{"running": running, "ended": ended})
}

// setUsed sets the resources in use and drops samples that the lag has passed.
func (w *Worker) setUsed(used scheduler.Size, now time.Time) {
	w.used = used
	w.usageHistory = append(w.usageHistory, usageSample{now, used})
	for len(w.usageHistory) > 1 && now.Sub(w.usageHistory[1].at) > w.Lag {
		w.usageHistory = w.usageHistory[1:]
	}
}

// serveUsage responds with the resource usage that was current before the lag.
func (w *Worker) serveUsage(rw http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var used scheduler.Size
	for _, u := range w.usageHistory {
		if time.Since(u.at) >= w.Lag {
			used = u.used
		}
	}
	writeJSON(rw, used)
}

// checkpoint saves the run time of tasks and responds with it.
func (w *Worker) checkpoint(rw http.ResponseWriter, r *http.Request) {
	m, ok := w.decodeAndLock(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	saved := map[string]time.Duration{}
	for _, id := range m.Names {
		if t := w.tasks[id]; t != nil && t.end == "" {
			t.checkpoint = time.Since(t.startedAt)
			saved[id] = t.checkpoint
		}
	}
	writeJSON(rw, saved)
}

// throttle doubles the remaining run time of tasks.
func (w *Worker) throttle(rw http.ResponseWriter, r *http.Request) {
	m, ok := w.decodeAndLock(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	now := time.Now()
	for _, id := range m.Names {
		t := w.tasks[id]
		if t == nil || t.end != "" || t.throttled || t.finishAt.IsZero() {
			continue
		}
		t.throttled = true
		t.finishAt = now.Add(2 * t.finishAt.Sub(now))
		w.scheduleAdvance(t)
	}
}
