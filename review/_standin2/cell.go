package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	host    = "queue.example"
	prefix  = "/quotes/"
	service = "preisblatt"
)

// cell is a small deployment: a store, runners and entries.
type cell struct {
	dir      string
	keep     time.Duration
	store    *store
	record   *record
	runners  []*runner
	attempts int
	entries  []*entry
	client   *http.Client
	given    map[string]bool // addresses that entries have been given
	group    errgroup.Group
	mu       sync.Mutex
	started  []*entry // entries that a process was started of
	closed   bool     // no process is started any more
}

// entry is one process of the system.
type entry struct {
	cell    *cell
	name    string
	zone    string
	front   string
	config  string
	log     *os.File
	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	group   errgroup.Group
}

// newCell starts the store and publishes a configuration with one queue.
func newCell(keep time.Duration, attempts int) (*cell, error) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	c := &cell{dir: dir, keep: keep, store: s, record: newRecord(), client: &http.Client{Timeout: 4 * time.Second}, given: map[string]bool{}}
	c.attempts = attempts
	c.endInTime()
	c.configure(7, []string{prefix})
	return c, nil
}

// configure publishes a configuration with a queue for each prefix.
func (c *cell) configure(version int, prefixes []string) {
	var routes []any
	for _, p := range prefixes {
		routes = append(routes, map[string]any{
			"name": "r-" + strings.Trim(p, "/"), "host": host, "prefix": p, "kind": "mutating", "timeout_ms": 3000, "slo_ms": 250, "priority": 0,
			"service": service, "attempts": c.attempts, "stretch": 1.5,
		})
	}
	c.store.put("keyed.op", "config", map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{"name": service, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "admission_check": false, "spare": false}},
		"limits":   map[string]any{"max_body_bytes": 262144},
	})
}

// addRunner starts a runner.
func (c *cell) addRunner(id, zone, kind, rack string, cpu int) error {
	w, err := newRunner(c.store, c.record, id, service, zone, kind, rack, cpu)
	if err == nil {
		c.runners = append(c.runners, w)
	}
	return err
}

// freeAddresses returns loopback addresses that nobody listens on and that no entry has been
// given: those of one that is being started aren't listened on yet. Each process of the
// stand-ins has a host of its own, so that cases that run at the same time don't collide.
func (c *cell) freeAddresses(n int) ([]string, error) {
	pid := os.Getpid()
	host := fmt.Sprintf("127.%d.%d.%d:0", 1+pid>>15&0x7f, pid>>7&0xff, 1+pid&0x7f)
	var addresses []string
	for len(addresses) < n {
		l, err := net.Listen("tcp", host)
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		if a := l.Addr().String(); !c.given[a] {
			c.given[a] = true
			addresses = append(addresses, a)
		}
	}
	return addresses, nil
}

// addEntry writes the settings of an entry, as the template of the deploy file gives them,
// and starts it.
func (c *cell) addEntry(name, zone string) error {
	addresses, err := c.freeAddresses(4)
	if err != nil {
		return err
	}
	e := &entry{cell: c, name: name, zone: zone, front: addresses[0], config: filepath.Join(c.dir, name+".yaml")}
	settings := fmt.Sprintf("name: %q\nzone: %q\nlisten:\n  callers: %q\n  ready: %q\n  peers: %q\n  metrics: %q\nplatform: %q\nadvice: \"\"\nlease: %dms\ngrace: 6s\nkeep: %dms\nshare: 0.4\nmemory: 284\n",
		name, zone, addresses[0], addresses[1], addresses[2], addresses[3], c.store.address, holdMax.Milliseconds(), c.keep.Milliseconds())
	if err := os.WriteFile(e.config, []byte(settings), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(c.dir, name+".log"))
	if err != nil {
		return err
	}
	e.log = log
	if err := e.start(); err != nil {
		return err
	}
	c.entries = append(c.entries, e)
	return nil
}

// start starts the process of an entry with the command of the deploy file.
func (e *entry) start() error {
	e.cell.mu.Lock()
	defer e.cell.mu.Unlock()
	if e.cell.closed {
		return errors.New("the case is over")
	}
	p := exec.Command("target/endivelock", "schedule", "--config", e.config)
	p.Env = append(os.Environ(), "ENDIVELOCK_SETTINGS="+e.config)
	p.Stdout, p.Stderr = e.log, e.log
	if err := p.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	e.mu.Lock()
	if e.process == nil {
		e.cell.started = append(e.cell.started, e)
	}
	e.process, e.ended = p, ended
	e.mu.Unlock()
	e.group.Go(func() error {
		_ = p.Wait()
		close(ended)
		return nil
	})
	return nil
}

// signal sends a signal to the process of an entry.
func (e *entry) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.process.Process.Signal(s)
}

// kill ends the process and waits until it has ended.
func (e *entry) kill() {
	e.signal(syscall.SIGKILL)
	<-e.ended
}

// restart stops the process with SIGTERM, as the platform does, and starts another one.
func (e *entry) restart(grace time.Duration) error {
	e.signal(syscall.SIGTERM)
	select {
	case <-e.ended:
	case <-time.After(grace):
		e.signal(syscall.SIGKILL)
		<-e.ended
	}
	return e.start()
}

// mostTime is how long a case may take. What it has started is ended then.
const mostTime = 112 * time.Second

// endInTime ends the case, as one that could not run, when it takes too long or is told to
// stop.
func (c *cell) endInTime() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	c.group.Go(func() error {
		select {
		case <-stop:
		case <-time.After(mostTime):
		}
		fmt.Println("could not run: stopped, or out of time")
		c.close()
		os.Exit(failed)
		return nil
	})
}

// close ends all processes and stand-ins.
func (c *cell) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	for _, e := range c.started {
		e.kill()
		_ = e.log.Close()
	}
	for _, w := range c.runners {
		_ = w.server.Close()
	}
	_ = c.store.server.Close()
	if os.Getenv("KEEP_LOGS") != "" {
		fmt.Println("logs are in", c.dir)
		return
	}
	_ = os.RemoveAll(c.dir)
}

// call sends a request of a client to an entry and returns the status, 0 for no answer.
func (c *cell) call(e *entry, method, path string, body any) (int, map[string]any) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	r, err := http.NewRequestWithContext(context.Background(), method, "http://"+e.front+path, bytes.NewReader(data))
	if err != nil {
		panic(err)
	}
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Deadline-Ms", "3000")
	got, err := c.client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = got.Body.Close() }()
	var answer map[string]any
	_ = json.NewDecoder(got.Body).Decode(&answer)
	return got.StatusCode, answer
}

// submit hands a job in until it is accepted, at the entries in turn, for up to ten seconds.
func (c *cell) submit(id string, job map[string]any) (time.Time, bool) {
	for began, n := time.Now(), 0; time.Since(began) < 10*time.Second; n++ {
		e := c.entries[n%len(c.entries)]
		status, _ := c.call(e, http.MethodPost, prefix+id, job)
		c.record.add("POST %s at %s: %d", id, e.name, status)
		if status >= 200 && status < 300 {
			return time.Now(), true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return time.Time{}, false
}

// state returns the state of a job at an entry, or the status if it is not 200.
func (c *cell) state(e *entry, id string) string {
	status, answer := c.call(e, http.MethodGet, prefix+id, nil)
	if status != http.StatusOK {
		return fmt.Sprintf("status %d", status)
	}
	text, _ := answer["state"].(string)
	return text
}

// awaitReady waits until all entries accept a job and all runners can be used.
func (c *cell) awaitReady() bool {
	step := map[string]any{"count": 1, "cpu": 100, "mem_mb": 16, "est_ms": 50}
	for n, e := range c.entries {
		id := fmt.Sprintf("%015x%x", 0xabc, n)
		for began := time.Now(); ; time.Sleep(200 * time.Millisecond) {
			status, _ := c.call(e, http.MethodPost, prefix+id, map[string]any{"spec": "warm-up ms=50", "steps": []any{step}})
			if status == http.StatusOK {
				break
			}
			if time.Since(began) > 15*time.Second {
				return false
			}
		}
		for began := time.Now(); c.state(e, id) != "complete"; time.Sleep(100 * time.Millisecond) {
			if time.Since(began) > 15*time.Second {
				return false
			}
		}
	}
	return true
}

// leads reports whether the log of an entry says that it leads.
func (e *entry) leads() bool {
	data, err := os.ReadFile(e.log.Name())
	if err != nil {
		return false
	}
	text := string(data)
	return strings.LastIndex(text, `"what":"lead"`) > strings.LastIndex(text, `"what":"deposed"`)
}

// recordLogs adds the ends of the entries' logs to the record, and which processes have ended.
func (c *cell) recordLogs() {
	const lines = 8
	for _, e := range c.entries {
		select {
		case <-e.ended:
			c.record.add("the process of %s has ended", e.name)
		default:
		}
		data, _ := os.ReadFile(e.log.Name())
		all := strings.Split(strings.TrimSpace(string(data)), "\n")
		for _, line := range all[max(0, len(all)-lines):] {
			c.record.add("log of %s: %s", e.name, line)
		}
	}
}
