package emulator

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/endivelock/endivelock/internal/scheduler"
)

// keepEnded is how long a worker remembers a task that has ended.
const keepEnded = 10 * time.Minute

// Worker runs tasks under leases. A task is a timer.
type Worker struct {
	Size scheduler.Size
	Book *Book
	Lag  time.Duration // age of the usage that it reports

	mu    sync.Mutex
	tasks map[string]*job
	used  scheduler.Size
	usage []usage
}

// usage is what was in use at a time.
type usage struct {
	at   time.Time
	used scheduler.Size
}

// job is one task.
type job struct {
	task   scheduler.Task
	expiry time.Time
	done   time.Time // zero for a service
	ended  scheduler.End
	at     time.Time
	saved  time.Duration // run time that a checkpoint keeps
	begun  time.Time
	slow   bool // throttled: takes twice the time that is left
}

// member names a task's place in its item, whatever the attempt.
func (j *job) member() string {
	parts := strings.Split(j.task.ID, ".")
	return j.task.Item + "/" + parts[len(parts)-1]
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

// message is any message to a worker.
type message struct {
	Tasks  []scheduler.Task `json:"tasks"`
	Names  []string         `json:"names"`
	Expiry time.Time        `json:"expiry"`
}

// take decodes a message and brings the worker up to the present.
func (w *Worker) take(rw http.ResponseWriter, r *http.Request) (message, bool) {
	var m message
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return m, false
	}
	w.mu.Lock()
	w.advance(time.Now())
	return m, true
}

// advance ends what has ended by now. The caller holds the lock.
func (w *Worker) advance(now time.Time) {
	for id, j := range w.tasks {
		switch {
		case j.ended != "" && now.Sub(j.at) > keepEnded:
			delete(w.tasks, id)
		case j.ended != "":
		case !j.done.IsZero() && !now.Before(j.done) && !j.expiry.Before(j.done):
			w.end(j, scheduler.EndWell, now)
		case !now.Before(j.expiry):
			w.end(j, scheduler.EndHalted, now)
		}
	}
}

func (w *Worker) end(j *job, end scheduler.End, now time.Time) {
	j.ended, j.at = end, now
	w.use(w.used.Minus(j.task.Size), now)
	w.Book.end(j.task.Item, j.member(), end == scheduler.EndWell)
}

func (w *Worker) start(rw http.ResponseWriter, r *http.Request) {
	m, ok := w.take(rw, r)
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
		w.begin(task, m.Expiry, now)
	}
}

func (w *Worker) begin(task scheduler.Task, expiry, now time.Time) {
	if w.tasks == nil {
		w.tasks = map[string]*job{}
	}
	if w.tasks[task.ID] != nil {
		return
	}
	j := &job{task: task, expiry: expiry, begun: now}
	if task.Run > 0 {
		j.done = now.Add(task.Run)
	}
	w.tasks[task.ID] = j
	w.arm(j)
	w.use(w.used.Plus(task.Size), now)
	if !w.used.Fits(w.Size) {
		w.Book.exceed()
	}
	w.Book.begin(j.member())
}

// arm makes the worker look at its tasks when one of them is to end.
func (w *Worker) arm(j *job) {
	at := j.expiry
	if !j.done.IsZero() && j.done.Before(at) {
		at = j.done
	}
	time.AfterFunc(time.Until(at)+time.Millisecond, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.advance(time.Now())
	})
}

func (w *Worker) renew(rw http.ResponseWriter, r *http.Request) {
	m, ok := w.take(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	for _, id := range m.Names {
		if j := w.tasks[id]; j != nil && j.ended == "" && m.Expiry.After(j.expiry) {
			j.expiry = m.Expiry
			w.arm(j)
		}
	}
}

func (w *Worker) halt(rw http.ResponseWriter, r *http.Request) {
	m, ok := w.take(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	for _, id := range m.Names {
		if j := w.tasks[id]; j != nil && j.ended == "" {
			w.end(j, scheduler.EndHalted, time.Now())
		}
	}
}

func (w *Worker) report(rw http.ResponseWriter, r *http.Request) {
	_, ok := w.take(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	running, ended := []string{}, []scheduler.TaskEnd{}
	for id, j := range w.tasks {
		if j.ended == "" {
			running = append(running, id)
			continue
		}
		ended = append(ended, scheduler.TaskEnd{Task: id, End: j.ended})
	}
	answer(rw, map[string]any{"running": running, "ended": ended})
}

// use changes what is in use and keeps its history as long as it matters.
func (w *Worker) use(used scheduler.Size, now time.Time) {
	w.used = used
	w.usage = append(w.usage, usage{now, used})
	for len(w.usage) > 1 && now.Sub(w.usage[1].at) > w.Lag {
		w.usage = w.usage[1:]
	}
}

// serveUsage answers what was in use a lag ago.
func (w *Worker) serveUsage(rw http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var used scheduler.Size
	for _, u := range w.usage {
		if time.Since(u.at) >= w.Lag {
			used = u.used
		}
	}
	answer(rw, used)
}

// checkpoint keeps how far tasks have run.
func (w *Worker) checkpoint(rw http.ResponseWriter, r *http.Request) {
	m, ok := w.take(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	saved := map[string]time.Duration{}
	for _, id := range m.Names {
		if j := w.tasks[id]; j != nil && j.ended == "" {
			j.saved = time.Since(j.begun)
			saved[id] = j.saved
		}
	}
	answer(rw, saved)
}

// throttle makes tasks take twice the time that is left to them.
func (w *Worker) throttle(rw http.ResponseWriter, r *http.Request) {
	m, ok := w.take(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	now := time.Now()
	for _, id := range m.Names {
		j := w.tasks[id]
		if j == nil || j.ended != "" || j.slow || j.done.IsZero() {
			continue
		}
		j.slow = true
		j.done = now.Add(2 * j.done.Sub(now))
		w.arm(j)
	}
}
