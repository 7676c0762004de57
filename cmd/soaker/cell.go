package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// program and template are the program of the deploy file and the template of its settings.
const (
	program  = "target/endivelock"
	template = "deploy/settings.tmpl"
)

// Ports of an entry. Each entry has an address of its own.
const (
	frontPort = 8161
	readyPort = 8167
	peersPort = 7720
)

// cell is a small deployment: a store, runners, and entries in three zones.
type cell struct {
	record *record
	board  *board
	advice *adviceService
	// policies has the advice of queues, by name.
	policies map[string]*advice
	store    *store
	runners  []*runner
	// ordersLost is on while runners lose orders.
	ordersLost losses
	fronts     []string // addresses for clients
	client     *http.Client

	net     string // first three parts of all addresses
	folder  string
	group   errgroup.Group
	cancel  context.CancelFunc
	ctx     context.Context
	entries []*process
	mu      sync.Mutex
	host    int // last part of the last address
	version int // of the configuration
}

func newCell(r *record) (*cell, error) {
	folder, err := os.MkdirTemp("", "soak")
	if err != nil {
		return nil, err
	}
	c := &cell{record: r, store: newStore(), folder: folder, client: &http.Client{}}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.net = fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250))
	return c, nil
}

// address returns a loopback address that nothing else of the cell has.
func (c *cell) address() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.host++
	return fmt.Sprintf("%s.%d", c.net, c.host)
}

// listen opens a free port of an address.
func (c *cell) listen() (net.Listener, error) { return net.Listen("tcp", c.address()+":0") }

// startStore serves the store and returns its address.
func (c *cell) startStore() (string, error) { return c.startServer(c.store.handler()) }

// startServer serves an outside system and returns its address.
func (c *cell) startServer(h http.Handler) (string, error) {
	l, err := c.listen()
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headTimeout}
	context.AfterFunc(c.ctx, func() { _ = server.Close() })
	c.group.Go(func() error {
		_ = server.Serve(l)
		return nil
	})
	return l.Addr().String(), nil
}

// addRunner adds a runner that has been up for some time.
func (c *cell) addRunner(index int, kind string, size room, uptime time.Duration) (*runner, error) {
	l, err := c.listen()
	if err != nil {
		return nil, err
	}
	w := &runner{
		id: fmt.Sprintf("i-%010x", rand.Int64N(1<<40)), address: l.Addr().String(), zone: zones()[index%len(zones())],
		rack: fmt.Sprintf("r1-%d", index/6), room: size, store: c.store, record: c.record, board: c.board, advice: c.advice, losses: &c.ordersLost,
	}
	c.board.mu.Lock()
	c.board.runners[w.id] = w
	c.board.mu.Unlock()
	w.begin(kind, uptime)
	c.group.Go(func() error { return w.serve(c.ctx, l) })
	c.group.Go(func() error { return w.work(c.ctx) })
	w.beat()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runners = append(c.runners, w)
	return w, nil
}

// allRunners returns the runners that have been added so far.
func (c *cell) allRunners() []*runner {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.runners)
}

func zones() []string { return []string{"zone-a", "zone-b", "zone-c"} }

// queue is a route of the configuration.
type queue struct {
	name              string
	priority, attempt int
}

func (q queue) prefix() string { return "/" + q.name + "/" }

// clientHost is the host of all queues.
const clientHost = "desk.example"

// configure writes the configuration.
func (c *cell) configure(queues ...queue) {
	var routes []map[string]any
	c.version += 7
	for _, q := range queues {
		route := map[string]any{
			"name": q.name, "host": clientHost, "prefix": q.prefix(), "kind": "mutating", "timeout_ms": 3000, "slo_ms": 1200,
			"priority": q.priority, "service": service, "attempts": q.attempt, "stretch": 2.2,
		}
		if policy := c.policies[q.name]; policy != nil {
			route["advice"] = policy
		}
		routes = append(routes, route)
	}
	c.store.put("keyed.op", "config", map[string]any{
		"version": c.version, "routes": routes,
		"services": []map[string]any{{"name": service, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "admission_check": false, "spare": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// startEntries starts entries and waits until all are ready.
func (c *cell) startEntries(ctx context.Context, count int, platform string) error {
	text, err := os.ReadFile(template)
	if err != nil {
		return err
	}
	for i := range count {
		if err := c.startEntry(i, string(text), platform); err != nil {
			return err
		}
	}
	for _, front := range c.fronts {
		ready := strings.TrimSuffix(front, fmt.Sprint(frontPort)) + fmt.Sprint(readyPort)
		for !c.isReady(ready) {
			if err := pause(ctx, readyInterval); err != nil {
				return errors.Join(errors.New("an entry is not ready"), err)
			}
		}
	}
	c.record.add("%d entries are ready", count)
	return nil
}

// startEntry starts an entry with the settings of a small deployment.
func (c *cell) startEntry(index int, text, platform string) error {
	ip := c.address()
	adviser, err := c.startServer(c.advice.handlerFor())
	if err != nil {
		return err
	}
	values := map[string]any{
		"node": entryName(index), "zone": zones()[index%len(zones())], "listen.front": fmt.Sprintf("%s:%d", ip, frontPort),
		"listen.ready": fmt.Sprintf("%s:%d", ip, readyPort), "ip": ip, "port_range.0": peersPort, "platform.addr": platform, "advice": adviser,
		"bounds.hold_max_ms": holdMax.Milliseconds(), "bounds.grace_s": 6, "bounds.status_s": 120, "limits.cpu_share": 0.4, "limits.memory_mb": 284,
	}
	settings := regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`).ReplaceAllStringFunc(text, func(place string) string {
		name, encoded := strings.CutSuffix(strings.Trim(place, "{}"), "|json")
		if !encoded {
			return fmt.Sprint(values[name])
		}
		data, _ := json.Marshal(values[name])
		return string(data)
	})
	path := c.settingsPath(index)
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	p := &process{path: path}
	c.entries = append(c.entries, p)
	c.fronts = append(c.fronts, fmt.Sprintf("%s:%d", ip, frontPort))
	return p.start()
}

func entryName(index int) string { return fmt.Sprintf("front-%d", index+1) }

func (c *cell) settingsPath(index int) string {
	return filepath.Join(c.folder, fmt.Sprintf("node-%d.toml", index+1))
}

// spawn starts an entry with a settings file. It adds to the log of the one before.
func spawn(path string) (*exec.Cmd, error) {
	log, err := os.OpenFile(path+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(program, "schedule", "--config", path)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return command, command.Start()
}

func (c *cell) isReady(address string) bool {
	response, err := c.client.Get("http://" + address + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// stop ends all that the cell has started. The logs of the entries stay if KEEP is set.
func (c *cell) stop() {
	for _, e := range c.entries {
		e.kill()
	}
	c.cancel()
	_ = c.group.Wait()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.folder)
	}
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

const (
	// callTimeout is how long a client waits for an answer.
	callTimeout = 3 * time.Second
	// headTimeout bounds the heads of requests to outside systems.
	headTimeout = 3 * time.Second
	// readyInterval is the time between two looks at an entry that starts.
	readyInterval = 50 * time.Millisecond
)
