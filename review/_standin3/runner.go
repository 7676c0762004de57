package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	holdMax   = 10 * time.Second
	stopTime  = 50 * time.Millisecond // at most stop_ms, 900 ms
	saveTime  = 500 * time.Millisecond
	maxListed = 500
)

// runner stands in for a runner. It does what PROTOCOL.md says under "Running tasks".
type runner struct {
	out                  *recorder
	id, addr, zone, rack string
	kind                 string
	cpu, memory          int64
	began                time.Time
	saved                func(t *execution, worked time.Duration) string // checkpoint of a run; nil for none
	fails                func(task string, run int) bool                 // whether a run ends failed; nil for no
	late                 func(order, task string) time.Duration          // an order that is carried out after this time and not answered; nil for none

	mu       sync.Mutex
	changed  chan struct{} // closed when a run has ended
	fence    int64
	deadline int64
	running  map[string]*execution
	barred   map[string]int // highest run stopped or ended, by task
	ended    []end
	lastEnd  int64
	seq      int
	service  string
}

type execution struct {
	task  string
	run   int
	spec  string
	saved string
	began time.Time
	lasts time.Duration // 0 until it is stopped
	stop  bool
}

type end struct {
	number int64
	task   string
	run    int
	how    string
	saved  string
}

func newRunner(out *recorder, i int, service, zone, rack string) *runner {
	kind := "a" // or b, as of every third runner of the site
	if i%3 == 2 {
		kind = "b"
	}
	r := &runner{
		out: out, id: fmt.Sprintf("i-%08x", 0x7f3a9000+i), zone: zone, rack: rack, kind: kind, service: service, cpu: 64000, memory: 262144, began: time.Now(),
		changed: make(chan struct{}), running: map[string]*execution{}, barred: map[string]int{},
	}
	r.addr = out.serve(r)
	out.group.Go(r.expire)
	return r
}

func (r *runner) clock() int64 { return time.Since(r.began).Milliseconds() + 1000 }

// record returns what the runner writes about itself to the store.
func (r *runner) record() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	m := map[string]any{
		"service": r.service, "addr": r.addr, "zone": r.zone, "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"room": map[string]int64{"cpu": r.cpu, "mem_mb": r.memory, "gpu": 0}, "labels": []string{r.kind, r.rack}, "clock_ms": r.clock(),
		"seq": r.seq, "born": r.began.UnixMilli(),
	}
	data, _ := json.Marshal(m)
	return data
}

func (r *runner) expire() error {
	for range time.Tick(20 * time.Millisecond) {
		r.mu.Lock()
		lapsed := r.clock() >= r.deadline
		for task, e := range r.running {
			switch {
			case lapsed:
				r.finish(e, "lapsed")
			case e.lasts > 0 && time.Since(e.began) >= e.lasts:
				how := "done"
				if r.fails != nil && r.fails(task, e.run) {
					how = "failed"
				}
				r.finish(e, how)
			}
		}
		r.mu.Unlock()
	}
	return nil
}

// finish ends a run. The caller holds the lock.
func (r *runner) finish(e *execution, how string) {
	if r.running[e.task] != e {
		return
	}
	delete(r.running, e.task)
	r.barred[e.task] = max(r.barred[e.task], e.run)
	r.lastEnd++
	saved := ""
	if how != "done" && how != "failed" {
		saved = r.checkpoint(e)
	}
	r.ended = append(r.ended, end{r.lastEnd, e.task, e.run, how, saved})
	r.out.note("runner %s ended %s run %d %s", r.id, e.task, e.run, how)
	r.out.watch.ended(r, e, how)
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *runner) checkpoint(e *execution) string {
	if r.saved == nil {
		return ""
	}
	if worked := time.Since(e.began); worked >= saveTime {
		return r.saved(e, worked)
	}
	return e.saved
}

type orderBody struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Fence    int64  `json:"fence"`
	Saved    string `json:"saved"`
	Acked    int64  `json:"acked_upto"`
	Wait     int    `json:"poll_wait_ms"`
}

func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	var b orderBody
	if err := json.NewDecoder(q.Body).Decode(&b); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{"clock_ms": r.clock()})
		return
	}
	if q.Header.Get("X-Expect-Instance") != r.id {
		reply(w, http.StatusMisdirectedRequest, map[string]any{"clock_ms": r.clock()})
		return
	}
	if q.URL.Path == "/hold" {
		r.hold(w, q, b)
		return
	}
	if r.late != nil {
		if after := r.late(q.URL.Path, b.Task); after > 0 {
			r.out.note("runner %s leaves %s of %s run %d unanswered, to be carried out in %d ms", r.id, q.URL.Path, b.Task, b.Run, after.Milliseconds())
			time.AfterFunc(after, func() { r.order(q.URL.Path, b, true) })
			<-q.Context().Done()
			return
		}
	}
	status, answer := r.order(q.URL.Path, b, false)
	reply(w, status, answer)
}

// order carries out an order.
func (r *runner) order(path string, b orderBody, late bool) (int, any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	refuse := func(reason string) (int, any) {
		r.out.note("runner %s refuses %s of %s run %d: %s", r.id, path, b.Task, b.Run, reason)
		return http.StatusConflict, map[string]any{"clock_ms": r.clock(), "reason": reason}
	}
	if b.Fence < r.fence {
		return refuse("fence")
	}
	r.fence = b.Fence
	switch path {
	case "/run-start":
		r.extend(b.Deadline)
		e, there := r.running[b.Task]
		switch {
		case there && e.run == b.Run:
		case b.Run <= r.barred[b.Task] || there && e.run > b.Run:
			return refuse("old")
		case r.deadline <= r.clock():
			return refuse("late")
		default:
			r.start(b, late)
		}
	case "/run-stop":
		r.barred[b.Task] = max(r.barred[b.Task], b.Run)
		r.out.note("runner %s stops %s run %d", r.id, b.Task, b.Run)
		if e, there := r.running[b.Task]; there && e.run <= b.Run && !e.stop {
			e.stop = true
			time.AfterFunc(stopTime, func() {
				r.mu.Lock()
				defer r.mu.Unlock()
				r.finish(e, "stopped")
			})
		}
	case "/pace":
	default:
		return http.StatusBadRequest, map[string]any{"clock_ms": r.clock()}
	}
	return http.StatusOK, map[string]any{"clock_ms": r.clock()}
}

// start begins a run. The caller holds the lock.
func (r *runner) start(b orderBody, late bool) {
	e := &execution{task: b.Task, run: b.Run, spec: b.Spec, saved: b.Saved, began: time.Now()}
	if _, lasts, ok := strings.Cut(b.Spec, "ms="); ok {
		ms, _ := strconv.Atoi(lasts)
		e.lasts = time.Duration(ms) * time.Millisecond
	}
	r.running[b.Task] = e
	how := ""
	if late {
		how = ", late"
	}
	r.out.note("runner %s starts %s run %d%s", r.id, b.Task, b.Run, how)
	r.out.watch.started(r, e, late)
}

// extend takes the end of the leases. The caller holds the lock.
func (r *runner) extend(deadline int64) {
	r.deadline = max(r.deadline, min(deadline, r.clock()+holdMax.Milliseconds()))
}

func (r *runner) hold(w http.ResponseWriter, q *http.Request, b orderBody) {
	r.mu.Lock()
	if b.Fence < r.fence {
		r.mu.Unlock()
		reply(w, http.StatusConflict, map[string]any{"clock_ms": r.clock(), "reason": "fence"})
		return
	}
	r.fence = b.Fence
	if b.Deadline > 0 {
		r.extend(b.Deadline)
	}
	for len(r.ended) > 0 && r.ended[0].number <= b.Acked {
		r.ended = r.ended[1:]
	}
	until := time.NewTimer(time.Duration(b.Wait) * time.Millisecond)
	defer until.Stop()
	for waiting := b.Wait > 0; waiting && len(r.ended) == 0; {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-until.C:
			waiting = false
		case <-q.Context().Done():
			return
		}
		r.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for _, e := range r.running {
		percent := 100
		if e.lasts > 0 {
			percent = min(99, int(100*time.Since(e.began)/e.lasts))
		}
		running = append(running, []any{e.task, e.run, r.checkpoint(e), percent, 0})
	}
	for _, e := range r.ended[:min(len(r.ended), maxListed)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, e.saved})
	}
	answer := map[string]any{"clock_ms": r.clock(), "born": r.began.UnixMilli(), "running": running, "ended": ended}
	r.mu.Unlock()
	reply(w, http.StatusOK, answer)
}
