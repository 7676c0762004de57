package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	host    = "nony24.example"
	prefix  = "/lohu930/"
	service = "huvo11a"
	// finish is finish_s of the pages.
	finish = 14 * time.Second
)

// cell is a small deployment: entries as processes, and stand-ins of the rest.
type cell struct {
	*recorder
	program string
	folder  string // temporary
	store   *store
	addr    string // of the store
	runners []*runner
	entries []*entry
	client  http.Client
	ports   map[int]bool // that freeAddress has returned
}

type entry struct {
	name, zone                      string
	callers, ready, peers, exporter string
	log                             *os.File
	process                         *exec.Cmd
	exited                          chan struct{}
}

// freeAddress returns an address of the loopback interface with a free port. The port is below
// those that the system gives to connections, so it stays free until its process listens.
func (c *cell) freeAddress() string {
	for {
		port := 10000 + rand.IntN(20000)
		if c.ports[port] {
			continue
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		_ = l.Close()
		c.ports[port] = true
		return l.Addr().String()
	}
}

// newCell starts the stand-ins of a deployment with a number of entries and runners.
func newCell(out *recorder, program string, entries, runners int) *cell {
	folder, err := os.MkdirTemp("", "standin3-")
	if err != nil {
		out.cannot(err)
	}
	c := &cell{recorder: out, program: program, folder: folder, store: newStore(out), ports: map[int]bool{}, client: http.Client{
		Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true},
	}}
	out.end = c.end
	c.addr = c.serve(c.store)
	config := map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-wrr6x73", "host": host, "prefix": prefix, "kind": "mutating", "timeout_ms": 3000, "slo_ms": 1200, "priority": 2,
			"service": service, "attempts": 3, "stretch": 2.2,
		}},
		"services": []any{map[string]any{"name": service, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "admission_check": false, "spare": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 5000, "idle_timeout_ms": 60000},
	}
	data, _ := json.Marshal(config)
	c.store.put("keyed.op", "config", data)
	zones := []string{"muc-nord", "muc-sued", "nue-hafen", "ros-alpen"}
	for i := range runners {
		c.runners = append(c.runners, newRunner(out, i, service, zones[i%len(zones)], fmt.Sprintf("r1-%d", i/6)))
	}
	c.group.Go(c.heartbeats)
	for i := range entries {
		e := &entry{name: fmt.Sprintf("front-%d", i+1), zone: zones[i%len(zones)], callers: c.freeAddress(), ready: c.freeAddress(), peers: c.freeAddress(), exporter: c.freeAddress()}
		c.entries = append(c.entries, e)
		c.settings(e)
	}
	return c
}

// heartbeats writes what runners say of themselves to the store, one life of each every 1.5 s.
func (c *cell) heartbeats() error {
	for ; ; time.Sleep(1500 * time.Millisecond) {
		for _, r := range c.runners {
			c.store.put("keyed.servers", r.id, r.record())
		}
	}
}

func (c *cell) settings(e *entry) {
	text := fmt.Sprintf(`name: %q
zone: %q
listen:
  callers: %q
  ready: %q
  peers: %q
  metrics: %q
platform: %q
advice: ""
lease: 10000ms
grace: 6s
keep: 120s
strict: null
revoke: null
apply: 2000
far: 3
share: 0.4
memory: 284
descriptors: 4100
`, e.name, e.zone, e.callers, e.ready, e.peers, e.exporter, c.addr)
	if err := os.WriteFile(c.file(e, "yaml"), []byte(text), 0o600); err != nil {
		c.cannot(err)
	}
}

func (c *cell) file(e *entry, kind string) string { return filepath.Join(c.folder, e.name+"."+kind) }

// start starts the process of an entry with the command of the deploy file.
func (c *cell) start(e *entry) {
	log, err := os.OpenFile(c.file(e, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		c.cannot(err)
	}
	p := exec.Command(c.program, "schedule", "--config", c.file(e, "yaml"))
	p.Stdout, p.Stderr = log, log
	p.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.Start(); err != nil {
		c.cannot(err)
	}
	exited := make(chan struct{})
	e.log, e.process, e.exited = log, p, exited
	c.note("entry %s starts", e.name)
	c.group.Go(func() error {
		_ = p.Wait()
		c.note("entry %s has exited", e.name)
		close(exited)
		return nil
	})
}

// signal sends a signal to the process of an entry.
func (c *cell) signal(e *entry, s syscall.Signal) {
	c.note("entry %s gets %v", e.name, s)
	_ = e.process.Process.Signal(s)
	if s == syscall.SIGKILL {
		<-e.exited
	}
}

// end ends all processes that the cell has started and removes its folder.
func (c *cell) end() {
	for _, e := range c.entries {
		if e.process != nil {
			_ = e.process.Process.Kill()
			<-e.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.folder)
	}
}

// begin starts all entries and returns once they are ready and a job of one task has been run.
func (c *cell) begin() {
	for _, e := range c.entries {
		c.start(e)
	}
	for limit := time.Now().Add(15 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, e := range c.entries {
			if response, err := c.client.Get("http://" + e.ready + "/ready"); err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(c.entries) {
			break
		}
		if time.Now().After(limit) {
			c.cannot(errors.New("the entries aren't ready"))
		}
	}
	time.Sleep(2 * time.Second) // so that the entries have linked
	first := "00000000000000ff"
	if status, _ := c.submit(c.entries[0], first, `{"spec":"ms=200","steps":[{"count":1,"cpu":500,"mem_mb":64,"est_ms":200}]}`); status != http.StatusOK {
		c.cannot(fmt.Errorf("the first job is answered with %d", status))
	}
	if !c.until(5*time.Second, func() bool { return c.state(c.entries[0], first) == "complete" }) {
		c.cannot(errors.New("the first job isn't complete"))
	}
}

func (c *cell) until(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}

// call makes a client's call. The status is 0 without an answer.
func (c *cell) call(e *entry, method, id, body string) (int, string) {
	q, err := http.NewRequest(method, "http://"+e.callers+prefix+id, bytes.NewReader([]byte(body)))
	if err != nil {
		c.cannot(err)
	}
	q.Host = host
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("X-Deadline-Ms", "3000")
	sent := time.Now()
	response, err := c.client.Do(q)
	if err != nil {
		c.note("client: %s %s at %s: no answer after %d ms", method, id, e.name, time.Since(sent).Milliseconds())
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	c.note("client: %s %s at %s: %d %s after %d ms", method, id, e.name, response.StatusCode, strings.TrimSpace(string(text)), time.Since(sent).Milliseconds())
	return response.StatusCode, string(text)
}

func (c *cell) submit(e *entry, id, body string) (int, string) {
	return c.call(e, http.MethodPost, id, body)
}

// state returns the state of a job, "gone" after 410, or "" if it isn't told.
func (c *cell) state(e *entry, id string) string {
	status, text := c.call(e, http.MethodGet, id, "")
	var told struct {
		State string `json:"state"`
	}
	switch {
	case status == http.StatusGone:
		return "gone"
	case status == http.StatusOK && json.Unmarshal([]byte(text), &told) == nil:
		return told.State
	}
	return ""
}

// leader returns the entry that wrote last who leads.
func (c *cell) leader() *entry {
	var lead struct {
		Name string `json:"name"`
	}
	_ = json.Unmarshal(c.store.value("keyed.leads", "@lead"), &lead)
	for _, e := range c.entries {
		if e.name == lead.Name {
			return e
		}
	}
	return nil
}

// watcher sees what the runners run.
type watcher struct {
	mu      sync.Mutex
	runs    map[string]int // running, by job
	starts  map[string]int
	done    map[string]map[string]bool // tasks that ended done, by job
	onStart func(r *runner, e *execution, late bool)
}

func newWatcher() *watcher {
	return &watcher{runs: map[string]int{}, starts: map[string]int{}, done: map[string]map[string]bool{}}
}

func jobOf(task string) string { return task[:strings.IndexByte(task, '.')] }

func (w *watcher) started(r *runner, e *execution, late bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[jobOf(e.task)]++
	w.starts[jobOf(e.task)]++
	if w.onStart != nil {
		w.onStart(r, e, late)
	}
}

func (w *watcher) ended(_ *runner, e *execution, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	job := jobOf(e.task)
	w.runs[job]--
	if how == "done" {
		if w.done[job] == nil {
			w.done[job] = map[string]bool{}
		}
		w.done[job][e.task] = true
	}
}

// counts returns how many tasks of a job run, were started and are done.
func (w *watcher) counts(job string) (running, starts, done int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[job], w.starts[job], len(w.done[job])
}

// all returns how many tasks run.
func (w *watcher) all() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, running := range w.runs {
		n += running
	}
	return n
}

func id(n int) string {
	return fmt.Sprintf("%016s", strconv.FormatInt(int64(0x5c0e7a21d94b0000)+int64(n), 16))
}
