// Package demonstrator runs a small cluster in one process over TCP on the
// loopback interface: two zones with two entries each, six emulated backend
// servers, four emulated workers and an emulated platform. Demo sends mixed work,
// kills one entry, drains another, and counts violations by the emulators' own
// records. Jobs runs entries that schedule jobs on a cell and partitions their
// leader from the log.
package demonstrator

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/endivelock/endivelock/internal/generator"
	"github.com/endivelock/endivelock/internal/timer"
	"github.com/endivelock/endivelock/pkg/caller"
	"github.com/endivelock/endivelock/pkg/messenger"
)

const (
	readyTimeout     = 20 * time.Second
	settleTimeout    = 30 * time.Second
	editPeriod       = 500 * time.Millisecond
	submitPeriod     = 200 * time.Millisecond
	editPollPeriod   = 2 * time.Millisecond
	requestRate      = 400
	slotsPerPlan     = 40
	quoteServiceTime = 10 * time.Millisecond // of a quote with Once
)

// Result is the result of a Demo.
type Result struct {
	Placed        int     `json:"placed"` // requests that servers started, and accepted items
	Ran           int64   `json:"ran"`
	Refused       int64   `json:"refused"`
	Unknown       int64   `json:"unknown"`
	WaitP50       float64 `json:"wait_p50_ms"`
	WaitP99       float64 `json:"wait_p99_ms"`
	PathP50       float64 `json:"path_p50_ms"`
	DirectP50     float64 `json:"direct_p50_ms"`
	Items         int     `json:"items"` // accepted work items
	Overcommitted int     `json:"overcommitted"`
	Doubled       int     `json:"doubled"`
	Lost          int     `json:"lost"`
	RefusedButRan int     `json:"refused_but_ran"`
	Wrong         int64   `json:"wrong_answers"`
	ConfigSeconds float64 `json:"config_seconds"` // of the slowest edit, from sending it until it is in force at all running entries
}

// Violations returns the sum of the five violation counts. It must be 0.
func (r Result) Violations() int {
	return r.Overcommitted + r.Doubled + r.Lost + r.RefusedButRan + int(r.Wrong)
}

// Demo is a demo of requests and work items on a small cluster.
type Demo struct {
	Duration time.Duration
	Logger   *logrus.Logger
	Progress func(text string) // called at each phase of the run, may be nil
}

// Run runs the demo. It returns ErrNotReady if the entries do not get ready.
func (d Demo) Run(ctx context.Context) (Result, error) {
	c, err := startCluster(ctx, d.Logger)
	if err != nil {
		return Result{}, err
	}
	defer c.stop()
	d.progress("waiting for entries")
	if err := c.prepare(ctx); err != nil {
		return Result{}, err
	}
	r := &run{demo: d, cluster: c}
	return r.measure(ctx)
}

func (d Demo) progress(text string) {
	if d.Progress != nil {
		d.Progress(text)
	}
}

// run is one demo in progress.
type run struct {
	demo        Demo
	cluster     *cluster
	accepted    []item
	slowestEdit time.Duration
}

// item is an accepted work item. All its members must succeed.
type item struct {
	id      string
	members int
}

func (r *run) measure(ctx context.Context) (Result, error) {
	var load *generator.Result
	sending, cancel := context.WithTimeout(ctx, r.demo.Duration)
	defer cancel()
	var group errgroup.Group
	group.Go(func() error {
		load = generator.New(r.load()).Run(ctx)
		return nil
	})
	group.Go(func() error { return r.repeat(sending, editPeriod, r.editAllowances) })
	group.Go(func() error { return r.repeat(sending, submitPeriod, r.submit) })
	group.Go(func() error {
		r.injectFailures(sending)
		return nil
	})
	if err := group.Wait(); err != nil {
		return Result{}, err
	}
	r.demo.progress("waiting for work to end")
	r.waitItems(ctx)
	return r.result(load), nil
}

func (r *run) load() generator.Load {
	return generator.Load{
		Targets: r.cluster.callers(), Direct: r.cluster.direct, Rate: requestRate, Duration: r.demo.Duration, CallerTimeout: 5 * time.Second,
		Mix: []generator.Kind{
			{Plan: "quotes", Weight: 6, ServiceTime: 5 * time.Millisecond, ResponseBytes: 200},
			{Plan: "beds", Weight: 3, ServiceTime: 8 * time.Millisecond, ResponseBytes: 20000, RequestBytes: 500},
			{Plan: "quotes", Weight: 1, ServiceTime: quoteServiceTime, ResponseBytes: 100, RequestBytes: 100, Once: true},
		},
	}
}

// repeat calls act at a period until the context ends.
func (r *run) repeat(ctx context.Context, period time.Duration, act func(ctx context.Context, n int) error) error {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if err := act(ctx, n); err != nil && ctx.Err() == nil {
			return err
		}
	}
}

// injectFailures kills one entry after a third of the duration and drains another
// one after two thirds.
func (r *run) injectFailures(ctx context.Context) {
	timer.Sleep(ctx, r.demo.Duration/3)
	r.demo.progress("killing entry " + r.cluster.nodes[1].name)
	r.cluster.nodes[1].kill()
	timer.Sleep(ctx, r.demo.Duration/3)
	r.demo.progress("draining entry " + r.cluster.nodes[2].name)
	r.cluster.nodes[2].drain()
}

// editAllowances changes the list of allowances at an entry that is neither killed
// nor drained, and measures the time from before the change is sent until it is in
// force at all running entries.
func (r *run) editAllowances(ctx context.Context, n int) error {
	client := &caller.Client{URL: "http://" + r.cluster.nodes[0].settings.Listen.Operators}
	basis, err := client.Get(ctx, "/allowances", &json.RawMessage{})
	if err != nil {
		return err
	}
	body, err := json.Marshal(messenger.Allowances{Allowances: allowances(slotsPerPlan + n%5)})
	if err != nil {
		return err
	}
	sent := time.Now()
	version, err := client.PutList(ctx, "allowances", basis, body)
	if err != nil {
		return err
	}
	for !r.cluster.inForce(version) {
		if ctx.Err() != nil {
			return nil
		}
		timer.Sleep(ctx, editPollPeriod)
	}
	r.slowestEdit = max(r.slowestEdit, time.Since(sent))
	return nil
}

// submit submits a deferred task, a gang or a task that must not be repeated.
func (r *run) submit(ctx context.Context, n int) error {
	node := r.cluster.stableNode(n)
	work := messenger.Work{Kind: "deferred", Plan: "quotes", Name: "recalculation", CPU: 1000, Memory: 512, Run: "300ms"}
	if n%5 == 0 {
		work.Kind, work.Members, work.Plan, work.Name = "gang", 3, "beds", "reconciliation"
	}
	client := &caller.Client{URL: "http://" + node.settings.Listen.Operators}
	id, err := client.Submit(ctx, work, "")
	if err != nil {
		return nil // refused or unknown: not accepted, so the item need not run
	}
	r.accepted = append(r.accepted, item{id, max(1, work.Members)})
	return nil
}

// waitItems waits until all accepted items have succeeded, then for settleTime so
// that servers finish requests that callers have abandoned.
func (r *run) waitItems(ctx context.Context) {
	deadline := time.Now().Add(settleTimeout)
	for r.unfinishedItems() > 0 && time.Now().Before(deadline) && ctx.Err() == nil {
		timer.Sleep(ctx, pollPeriod)
	}
	timer.Sleep(ctx, settleTime)
}

func (r *run) unfinishedItems() int {
	lost := 0
	for _, i := range r.accepted {
		if r.cluster.history.Succeeded(i.id) < i.members {
			lost++
		}
	}
	return lost
}

func (r *run) result(load *generator.Result) Result {
	counts := generator.Compare(load.Requests, r.cluster.history.Requests())
	doubled, over := r.cluster.history.TaskViolations()
	for _, b := range r.cluster.backends {
		_, n := b.Peak()
		over += n
	}
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return Result{
		Placed: len(r.cluster.history.Requests()) + len(r.accepted), Ran: load.Ran, Refused: load.Refused, Unknown: load.Unknown,
		WaitP50: ms(load.Wait.ValueAtQuantile(50)), WaitP99: ms(load.Wait.ValueAtQuantile(99)),
		PathP50: ms(load.Path.ValueAtQuantile(50)), DirectP50: ms(load.Direct.ValueAtQuantile(50)),
		Items: len(r.accepted), Overcommitted: over, Doubled: counts.Doubled + doubled, Lost: counts.Lost + r.unfinishedItems(),
		RefusedButRan: counts.RefusedButRan, Wrong: load.Wrong, ConfigSeconds: r.slowestEdit.Seconds(),
	}
}

func allowances(slots int) []messenger.Allowance {
	size := messenger.Size{CPU: 64000, Memory: 65536}
	return []messenger.Allowance{{Plan: "quotes", Slots: slots, Size: size}, {Plan: "beds", Slots: slots, Size: size}}
}

// ErrNotReady is returned if the entries did not become ready in time.
var ErrNotReady = errors.New("entries did not become ready in time")

// discardLogger returns a logger that discards its output.
func discardLogger() *logrus.Logger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}
