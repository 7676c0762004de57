package main

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Behavior of runners, as the settings of a deployment name it.
const (
	heartbeat   = 1500 * time.Millisecond
	holdMax     = 6 * time.Second
	stopTime    = 300 * time.Millisecond // at most 900
	maxEnds     = 500
	maxPollWait = 2 * time.Second
	idleTimeout = 15 * time.Second
)

// service is the name of the pool of all runners.
const service = "finder"

// room is what a runner has, or what a task requests.
type room struct {
	CPU    int `json:"cpu"`
	Memory int `json:"mem_mb"`
	GPU    int `json:"gpu"`
}

// task is a run of a task at a runner.
type task struct {
	name     string
	run      int
	began    time.Time
	takes    time.Duration // 0: until it is stopped
	stopping bool
	behavior behavior
	size     room
}

// lostEnd is how a run ends that is lost with its runner.
const lostEnd = "lost with its runner"

// end is the end of a run.
type end struct {
	number int64
	task   string
	run    int
	how    string
}

// runner serves one address under one id. It may crash and start again.
type runner struct {
	id, address, zone, rack string
	room                    room
	store                   *store
	record                  *record
	line                    *line
	board                   *board
	advice                  *adviceService
	losses                  *losses

	mu       sync.Mutex
	up       bool
	kind     string
	born     time.Time
	fence    int64
	deadline int64
	running  map[string]*task
	ends     []end
	lastEnd  int64
	barred   map[string]int // highest run of a task that was stopped or has ended
	changed  chan struct{}
	seq      int
	starts   []start // all that it has begun, over all its lives
	life     int
}

// start is a task that a runner has begun.
type start struct {
	task  string
	run   int
	at    time.Time
	until time.Time // zero while it runs
	how   string
	life  int
}

type holdBody struct {
	Deadline int64 `json:"deadline_ms"`
	Fence    int64 `json:"fence"`
	Acked    int64 `json:"acked_upto"`
	Wait     int64 `json:"poll_wait_ms"`
}

type orderBody struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Fence    int64  `json:"fence"`
	Ticket   string `json:"ticket"`
}

// begin begins a life of the runner, with a steady clock that shows uptime.
func (w *runner) begin(kind string, uptime time.Duration) {
	w.mu.Lock()
	w.up, w.kind, w.born = true, kind, time.Now().Add(-uptime)
	w.fence, w.deadline, w.running, w.ends, w.lastEnd, w.seq = 0, 0, map[string]*task{}, nil, 0, 0
	w.barred, w.changed = map[string]int{}, make(chan struct{})
	w.life++
	w.mu.Unlock()
	w.record.add("runner %s (kind %s) begins life %d", w.id, kind, w.life)
}

// crash ends all that runs, and what the runner knows.
func (w *runner) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record.add("runner %s crashes", w.id)
	w.up = false
	for _, t := range w.running {
		w.closeStart(t, lostEnd)
	}
	w.running = map[string]*task{}
}

func (w *runner) closeStart(t *task, how string) {
	for i := range w.starts {
		s := &w.starts[i]
		if s.task == t.name && s.run == t.run && s.life == w.life && s.until.IsZero() {
			s.until, s.how = time.Now(), how
		}
	}
	w.board.ended(t.name, t.run, how)
	w.record.add("run     %s run %d at %s ends: %s", t.name, t.run, w.id, how)
}

// clock returns the steady clock of this life. The caller holds the lock.
func (w *runner) clock() int64 { return time.Since(w.born).Milliseconds() }

// beat writes the runner's entry.
func (w *runner) beat() {
	w.mu.Lock()
	if !w.up {
		w.mu.Unlock()
		return
	}
	w.seq++
	entry := map[string]any{
		"service": service, "addr": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"room": w.room, "labels": []string{w.kind, w.rack}, "clock_ms": w.clock(), "seq": w.seq, "born": w.born.UnixMilli(),
	}
	id := w.id
	w.mu.Unlock()
	w.store.put("keyed.servers", id, entry)
}

// serve serves the runner's address and keeps its entry until the context ends.
func (w *runner) serve(ctx context.Context, l net.Listener) error {
	w.line = newLine(l)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /hold", w.serveHold)
	mux.HandleFunc("POST /run-start", w.unlessLost(w.serveStart))
	mux.HandleFunc("POST /run-stop", w.unlessLost(w.serveStop))
	server := &http.Server{Handler: mux, IdleTimeout: idleTimeout, ReadHeaderTimeout: 3 * time.Second}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	_ = server.Serve(w.line)
	return nil
}

// work ends runs that are done or whose lease has lapsed, and writes the entry.
func (w *runner) work(ctx context.Context) error {
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for beat := time.Now(); ctx.Err() == nil; {
		<-tick.C
		w.advance()
		if time.Since(beat) > heartbeat {
			beat = time.Now()
			w.beat()
		}
	}
	return nil
}

func (w *runner) advance() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		return
	}
	lapsed := w.clock() >= w.deadline
	for key, t := range w.running {
		switch {
		case lapsed:
			w.finish(key, t, "lapsed")
		case t.takes > 0 && time.Since(t.began) >= t.takes && !t.stopping && t.behavior.fails && !t.behavior.atOnce:
			w.finish(key, t, "failed")
		case t.takes > 0 && time.Since(t.began) >= t.takes && !t.stopping && t.behavior.gang == 0:
			w.finish(key, t, "done")
		}
	}
}

// goDark takes the power from the runner.
func (w *runner) goDark() {
	w.record.add("runner %s loses power", w.id)
	w.line.setCut(true)
	w.crash()
	w.line.crash()
}

// comeBack begins another life of the runner under its id.
func (w *runner) comeBack() {
	w.begin(w.kind, 0)
	w.line.setCut(false)
	w.beat()
}

// finish ends a run. The caller holds the lock.
func (w *runner) finish(key string, t *task, how string) {
	delete(w.running, key)
	w.lastEnd++
	w.ends = append(w.ends, end{w.lastEnd, t.name, t.run, how})
	w.barred[t.name] = max(w.barred[t.name], t.run)
	w.closeStart(t, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// admit checks the incarnation and the fence of a call and returns with the lock held.
func (w *runner) admit(rw http.ResponseWriter, r *http.Request, body any, fence *int64) bool {
	if json.NewDecoder(r.Body).Decode(body) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return false
	}
	w.mu.Lock()
	if !w.up {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		w.mu.Unlock()
		writeJSON(rw, http.StatusMisdirectedRequest, map[string]any{})
		return false
	}
	if *fence < w.fence {
		w.reply(rw, http.StatusConflict, "fence")
		return false
	}
	w.fence = *fence
	return true
}

// reply responds and releases the lock.
func (w *runner) reply(rw http.ResponseWriter, status int, reason string) {
	body := map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli()}
	if reason != "" {
		body["reason"] = reason
	}
	w.mu.Unlock()
	writeJSON(rw, status, body)
}

// extend extends the lease of all that runs here. The caller holds the lock.
func (w *runner) extend(deadline int64) {
	w.deadline = max(w.deadline, min(deadline, w.clock()+holdMax.Milliseconds()))
}

func (w *runner) serveHold(rw http.ResponseWriter, r *http.Request) {
	var b holdBody
	if !w.admit(rw, r, &b, &b.Fence) {
		return
	}
	w.extend(b.Deadline)
	if w.life > 1 && time.Since(w.born) < 2*time.Second {
		w.record.add("runner %s life %d: hold with acked_upto %d and deadline_ms %d at clock_ms %d", w.id, w.life, b.Acked, b.Deadline, w.clock())
	}
	w.forget(b.Acked)
	changed, pending, life := w.changed, len(w.ends), w.life
	w.mu.Unlock()
	if pending == 0 && b.Wait > 0 {
		until := time.NewTimer(min(time.Duration(b.Wait)*time.Millisecond, maxPollWait))
		select {
		case <-changed:
		case <-until.C:
		case <-r.Context().Done():
		}
		until.Stop()
	}
	w.mu.Lock()
	if !w.up || w.life != life {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	answer := map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli(), "running": w.listRunning(), "ended": w.listEnded()}
	w.mu.Unlock()
	writeJSON(rw, http.StatusOK, answer)
}

// forget drops the ends up to a number. The caller holds the lock.
func (w *runner) forget(acked int64) {
	for len(w.ends) > 0 && w.ends[0].number <= acked {
		if w.ends[0].how == "done" {
			w.board.note(w.ends[0].task)
		}
		w.ends = w.ends[1:]
	}
}

func (w *runner) listRunning() [][]any {
	rows := [][]any{}
	for _, t := range w.running {
		percent := 100
		if t.takes > 0 {
			percent = int(min(99, 100*time.Since(t.began)/t.takes))
		}
		rows = append(rows, []any{t.name, t.run, "", percent, 10})
	}
	return rows
}

func (w *runner) listEnded() [][]any {
	rows := [][]any{}
	for _, e := range w.ends[:min(len(w.ends), maxEnds)] {
		rows = append(rows, []any{e.number, e.task, e.run, e.how, ""})
	}
	return rows
}

// takes returns how long a task works, from its specification "STEP=MS,...". A step that
// isn't named works until it is stopped.
func takes(spec, name string) time.Duration {
	step := strings.Split(name, ".")[2]
	for part := range strings.SplitSeq(spec, ",") {
		if key, value, _ := strings.Cut(part, "="); key == step {
			ms, _ := strconv.Atoi(value)
			return time.Duration(ms) * time.Millisecond
		}
	}
	return 0
}

// unlessLost passes orders on to a handler, except those that are lost: they get no answer.
func (w *runner) unlessLost(serve http.HandlerFunc) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		if !w.losses.lose() {
			serve(rw, r)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body) // without this the context doesn't end with the connection
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
}

func (w *runner) serveStart(rw http.ResponseWriter, r *http.Request) {
	var b orderBody
	if !w.admit(rw, r, &b, &b.Fence) {
		return
	}
	key := b.Task + "#" + strconv.Itoa(b.Run)
	switch {
	case w.running[key] != nil:
		w.extend(b.Deadline)
		w.reply(rw, http.StatusOK, "")
		return
	case b.Run <= w.barred[b.Task]:
		w.extend(b.Deadline)
		w.reply(rw, http.StatusConflict, "old")
		return
	case b.Deadline <= w.clock():
		w.reply(rw, http.StatusConflict, "late")
		return
	}
	if !w.advice.valid(b.Ticket, b.Task, w.id, w.life) {
		w.reply(rw, http.StatusConflict, "ticket")
		return
	}
	w.extend(b.Deadline)
	t := &task{name: b.Task, run: b.Run, began: time.Now(), takes: takes(b.Spec, b.Task)}
	w.running[key] = t
	t.behavior, t.size = w.board.behavior(b.Task, b.Run), w.board.size(b.Task)
	w.board.began(b.Task, b.Run)
	w.starts = append(w.starts, start{task: b.Task, run: b.Run, at: time.Now(), life: w.life})
	w.record.add("run     %s run %d begins at %s (kind %s, life %d)", b.Task, b.Run, w.id, w.kind, w.life)
	w.reply(rw, http.StatusOK, "")
}

func (w *runner) serveStop(rw http.ResponseWriter, r *http.Request) {
	var b orderBody
	if !w.admit(rw, r, &b, &b.Fence) {
		return
	}
	key := b.Task + "#" + strconv.Itoa(b.Run)
	w.barred[b.Task] = max(w.barred[b.Task], b.Run)
	if t := w.running[key]; t != nil && !t.stopping {
		t.stopping = true
		life := w.life
		time.AfterFunc(stopTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.life == life && w.running[key] == t {
				w.finish(key, t, "stopped")
			}
		})
	}
	w.reply(rw, http.StatusOK, "")
}
