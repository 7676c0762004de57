package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	heartbeat = 1500 * time.Millisecond
	holdMax   = 10 * time.Second
	stopTime  = 100 * time.Millisecond
	paceTime  = 100 * time.Millisecond
)

// runner is one life of a runner of the platform.
type runner struct {
	id      string
	kind    string
	rack    string
	cpu     int
	service string
	zone    string
	address string
	born    int64
	start   time.Time
	store   *store
	record  *record
	server  *http.Server
	group   errgroup.Group

	mu          sync.Mutex
	fence       int64
	deadline    int64 // end of the leases on its clock, milliseconds
	running     map[string]*run
	highest     map[string]int // highest run that was stopped or has ended, by task
	ends        []end
	ended       int64
	acked       int64
	changed     chan struct{}
	dark        bool // no call gets an answer, and none is carried out
	gone        chan struct{}
	onHold      func() // called when a poll arrives, outside of the lock
	seq         int
	cutFrom     time.Time              // when the last cut began
	cutUntil    time.Time              // no call passes before; what runs goes on
	retransmits bool                   // calls that were sent during a cut on open connections arrive after it
	answers     time.Duration          // how long an answer takes
	grey        func(path string) bool // whether a call is refused with 503; called with the lock
}

type run struct {
	task    string
	number  int
	from    time.Time
	took    time.Duration // 0: it lasts
	fails   bool
	stopped bool
	timer   *time.Timer
	serves  bool
	fills   bool
	pace    int
}

type end struct {
	number int64
	task   string
	run    int
	how    string
}

func newRunner(s *store, rec *record, id, service, zone, kind, rack string, cpu int) (*runner, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &runner{
		id: id, kind: kind, rack: rack, cpu: cpu, service: service, zone: zone, address: l.Addr().String(), born: time.Now().UnixMilli(), start: time.Now(),
		store: s, record: rec, running: map[string]*run{}, highest: map[string]int{}, changed: make(chan struct{}), gone: make(chan struct{}),
	}
	w.server = &http.Server{Handler: w, ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, acceptedAt{}, time.Now())
	}}
	w.group.Go(func() error { return w.server.Serve(l) })
	w.group.Go(w.beat)
	w.group.Go(w.expire)
	return w, nil
}

func (w *runner) clock() int64 { return time.Since(w.start).Milliseconds() }

// beat registers the runner, again and again.
func (w *runner) beat() error {
	for {
		w.seq++
		w.store.put("keyed.servers", w.id, map[string]any{
			"service": w.service, "addr": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
			"room":   map[string]int{"cpu": w.cpu, "mem_mb": 262144, "gpu": 0},
			"labels": []string{w.kind, w.rack}, "clock_ms": w.clock(), "seq": w.seq, "born": w.born,
		})
		select {
		case <-w.gone:
			time.Sleep(3 * heartbeat) // the entry is removed after three intervals of silence
			w.store.remove("keyed.servers", w.id)
			return nil
		case <-time.After(heartbeat):
		}
	}
}

// expire kills everything when the leases end.
func (w *runner) expire() error {
	for {
		select {
		case <-w.gone:
			return nil
		case <-time.After(5 * time.Millisecond):
		}
		w.mu.Lock()
		if w.deadline <= w.clock() {
			for _, r := range w.running {
				w.end(r, "lapsed")
			}
			for _, e := range w.ends {
				w.record.lapsed(w.id, e.task, e.run)
			}
		}
		w.mu.Unlock()
	}
}

// lose has the runner crash for good: it runs nothing more and answers nothing.
func (w *runner) lose() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dark {
		return
	}
	w.dark = true
	close(w.gone)
	for _, r := range w.running {
		if r.timer != nil {
			r.timer.Stop()
		}
	}
	w.running = map[string]*run{}
	w.record.add("runner %s is lost", w.id)
}

// end ends a run. The caller holds the lock.
func (w *runner) end(r *run, how string) {
	if w.running[r.task] != r {
		return
	}
	if r.timer != nil {
		r.timer.Stop()
	}
	delete(w.running, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.ended++
	w.ends = append(w.ends, end{w.ended, r.task, r.number, how})
	w.record.ended(w.id, r.task, r.number, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

type call struct {
	Task     string  `json:"task"`
	Run      int     `json:"run"`
	Spec     string  `json:"spec"`
	Deadline float64 `json:"deadline_ms"`
	Fence    int64   `json:"fence"`
	Acked    int64   `json:"acked_upto"`
	Wait     int     `json:"poll_wait_ms"`
	Percent  int     `json:"percent"`
}

func (w *runner) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	cut, dark := time.Until(w.cutUntil), w.dark
	w.mu.Unlock()
	if cut > 0 && !w.retransmits {
		// What is sent during a cut doesn't arrive, also after it, as its sender has given up.
		<-r.Context().Done()
		return
	}
	var c call
	err := json.NewDecoder(r.Body).Decode(&c)
	if cut > 0 {
		w.holdUp(r, c, cut)
		return
	}
	time.Sleep(w.answers)
	if dark {
		<-r.Context().Done()
		return
	}
	if r.URL.Path == "/hold" && w.onHold != nil {
		w.onHold()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dark {
		return
	}
	w.carryOut(rw, r, c, err)
}

// acceptedAt is the key of the time at which the connection of a call was opened.
type acceptedAt struct{}

// holdUp carries a call out that was sent during a cut on a connection that was open before:
// when its sender's system sends it again for the first time after the cut. That is after
// 0.2, 0.6, 1.4, 3.0 or 6.2 s.
func (w *runner) holdUp(r *http.Request, c call, cut time.Duration) {
	opened, _ := r.Context().Value(acceptedAt{}).(time.Time)
	w.mu.Lock()
	before := opened.Before(w.cutFrom)
	w.mu.Unlock()
	if !before {
		<-r.Context().Done()
		return
	}
	wait, next := time.Duration(0), 200*time.Millisecond
	for wait < cut {
		wait, next = wait+next, 2*next
	}
	w.record.add("%s: %s %s is held up for %v", w.id, r.URL.Path, key(c.Task, c.Run), wait)
	time.AfterFunc(wait, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.record.add("%s: %s %s arrives", w.id, r.URL.Path, key(c.Task, c.Run))
		c.Wait = 0
		w.carryOut(nobody{http.Header{}}, r, c, nil)
	})
	<-r.Context().Done()
}

// nobody is the client of a call whose answer arrives nowhere.
type nobody struct{ header http.Header }

func (n nobody) Header() http.Header         { return n.header }
func (n nobody) Write(b []byte) (int, error) { return len(b), nil }
func (n nobody) WriteHeader(int)             {}

// cut cuts the runner off for a time.
func (w *runner) cut(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cutFrom, w.cutUntil = time.Now(), time.Now().Add(d)
	w.record.add("%s is cut off for %v", w.id, d)
}

// carryOut carries out a call. The caller holds the lock.
func (w *runner) carryOut(rw http.ResponseWriter, r *http.Request, c call, err error) {
	refuse := func(status int, reason string) {
		if status != http.StatusOK {
			w.record.add("%s refuses %s %s: %d %s", w.id, r.URL.Path, key(c.Task, c.Run), status, reason)
		}
		reply(rw, status, map[string]any{"clock_ms": w.clock(), "reason": reason, "born": w.born})
	}
	switch expected := r.Header.Get("X-Expect-Instance"); {
	case err != nil:
		refuse(http.StatusBadRequest, "body")
		return
	case expected != "" && expected != w.id:
		refuse(http.StatusMisdirectedRequest, "instance")
		return
	case c.Fence < w.fence:
		refuse(http.StatusConflict, "fence")
		return
	}
	if w.grey != nil && w.grey(r.URL.Path) {
		w.record.add("%s answers %s with 503", w.id, r.URL.Path)
		refuse(http.StatusServiceUnavailable, "")
		return
	}
	w.fence = c.Fence
	w.deadline = max(w.deadline, min(int64(c.Deadline), w.clock()+holdMax.Milliseconds()))
	switch r.URL.Path {
	case "/run-start":
		w.serveStart(rw, c, refuse)
	case "/run-stop":
		w.highest[c.Task] = max(w.highest[c.Task], c.Run)
		if t, ok := w.running[c.Task]; ok && t.number <= c.Run && !t.stopped {
			t.stopped = true
			time.AfterFunc(stopTime, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				w.end(t, "stopped")
			})
		}
		refuse(http.StatusOK, "")
	case "/pace":
		if t, ok := w.running[c.Task]; ok && t.number == c.Run {
			time.AfterFunc(paceTime, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				t.pace = c.Percent
			})
		}
		w.record.add("%s is told pace %d for %s", w.id, c.Percent, key(c.Task, c.Run))
		refuse(http.StatusOK, "")
	case "/hold":
		w.serveHold(rw, r, c)
	default:
		refuse(http.StatusNotFound, "")
	}
}

func (w *runner) serveStart(rw http.ResponseWriter, c call, refuse func(int, string)) {
	if t, ok := w.running[c.Task]; ok && t.number == c.Run {
		refuse(http.StatusOK, "")
		return
	}
	if _, ok := w.running[c.Task]; ok || c.Run <= w.highest[c.Task] {
		refuse(http.StatusConflict, "old")
		return
	}
	if w.deadline <= w.clock() {
		refuse(http.StatusConflict, "late")
		return
	}
	t := &run{task: c.Task, number: c.Run, from: time.Now(), pace: 100, serves: strings.Contains(c.Spec, "serves"), fills: strings.Contains(c.Spec, "fills")}
	w.running[c.Task] = t
	w.record.started(w, c.Task, c.Run)
	if _, text, timed := strings.Cut(c.Spec, "ms="); timed { // as the stand-in client writes it
		n, _ := strconv.Atoi(text)
		t.took = time.Duration(n) * time.Millisecond
		t.timer = time.AfterFunc(t.took, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.end(t, "done")
		})
	}
	refuse(http.StatusOK, "")
}

// serveHold answers a poll. The caller holds the lock, which is released while it waits.
func (w *runner) serveHold(rw http.ResponseWriter, r *http.Request, c call) {
	if c.Acked > w.acked {
		w.acked = c.Acked
		for len(w.ends) > 0 && w.ends[0].number <= c.Acked {
			w.record.acked(w.id, w.ends[0].task, w.ends[0].run, w.ends[0].how)
			w.ends = w.ends[1:]
		}
	}
	deadline := time.After(time.Duration(min(c.Wait, 2000)) * time.Millisecond)
	for waits := true; waits && len(w.ends) == 0 && c.Wait > 0 && !w.dark; {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waits = false
		case <-r.Context().Done():
			waits = false
		}
		w.mu.Lock()
	}
	if w.dark {
		w.mu.Unlock()
		<-r.Context().Done()
		w.mu.Lock()
		return
	}
	if time.Now().Before(w.cutUntil) {
		w.mu.Unlock()
		<-r.Context().Done()
		w.mu.Lock()
		return
	}
	running, ended := [][]any{}, [][]any{}
	for _, t := range w.running {
		percent := 100
		if t.took > 0 {
			percent = min(99, int(100*time.Since(t.from)/t.took))
		}
		figure := 0
		if t.serves {
			figure, _ = w.tail()
		}
		running = append(running, []any{t.task, t.number, "", percent, figure})
	}
	for _, e := range w.ends[:min(500, len(w.ends))] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	reply(rw, http.StatusOK, map[string]any{"clock_ms": w.clock(), "born": w.born, "running": running, "ended": ended})
}

const (
	// tailAlone is the tail of a serving task's response times without tasks that fill
	// beside it, and tailOfFill what one of these at full pace adds, milliseconds.
	tailAlone  = 50
	tailOfFill = 300
)

// tail returns the tail of the response times of the serving tasks, milliseconds, and the
// sum of the paces of the tasks that fill. The caller holds the lock.
func (w *runner) tail() (tail, paces int) {
	for _, t := range w.running {
		if t.fills {
			paces += t.pace
		}
	}
	return tailAlone + tailOfFill*paces/100, paces
}

// runs returns the tasks that run on the runner.
func (w *runner) runs() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var tasks []string
	for task := range w.running {
		tasks = append(tasks, task)
	}
	return tasks
}

// key names a run in records.
func key(task string, run int) string { return fmt.Sprintf("%s run %d", task, run) }
