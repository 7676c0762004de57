// Package demonstrator runs a whole small system in one process over real TCP
// on the loopback interface: two zones with two entries each, six backend
// servers, four workers and the platform's stand-in. It sends mixed work, kills
// one entry and drains another, and counts violations by the stand-ins' own
// records.
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
	readyTimeout  = 20 * time.Second
	settleTimeout = 30 * time.Second
	editPeriod    = 500 * time.Millisecond
	submitPeriod  = 200 * time.Millisecond
	lookPeriod    = 2 * time.Millisecond
	requestRate   = 400
	slotsPerPlan  = 40
	quoteWork     = 10 * time.Millisecond // of a quote at its server
)

// Result is what a demo measured.
type Result struct {
	Placed        int     `json:"placed"` // requests that servers began, and items that were accepted
	Ran           int64   `json:"ran"`
	Refused       int64   `json:"refused"`
	Unknown       int64   `json:"unknown"`
	WaitP50       float64 `json:"wait_p50_ms"`
	WaitP99       float64 `json:"wait_p99_ms"`
	PathP50       float64 `json:"path_p50_ms"`
	DirectP50     float64 `json:"direct_p50_ms"`
	Items         int     `json:"items"` // work items accepted
	Overcommitted int     `json:"overcommitted"`
	Doubled       int     `json:"doubled"`
	Lost          int     `json:"lost"`
	RefusedButRan int     `json:"refused_but_ran"`
	Wrong         int64   `json:"wrong_answers"`
	ConfigSeconds float64 `json:"config_seconds"` // slowest edit, from sending it to in force everywhere
}

// Violations returns the sum of the five counts that must be 0.
func (r Result) Violations() int {
	return r.Overcommitted + r.Doubled + r.Lost + r.RefusedButRan + int(r.Wrong)
}

// Demo describes a run.
type Demo struct {
	Duration time.Duration
	Logger   *logrus.Logger
	Progress func(text string) // called now and then, may be nil
}

// Run runs the demo.
func (d Demo) Run(ctx context.Context) (Result, error) {
	c, err := startCell(ctx, d.Logger)
	if err != nil {
		return Result{}, err
	}
	defer c.stop()
	d.say("waiting for entries")
	if err := c.prepare(ctx); err != nil {
		return Result{}, err
	}
	r := &run{demo: d, cell: c}
	return r.measure(ctx)
}

func (d Demo) say(text string) {
	if d.Progress != nil {
		d.Progress(text)
	}
}

// run is one demo in progress.
type run struct {
	demo     Demo
	cell     *cell
	accepted []item
	slowest  time.Duration
}

// item is accepted work that must end well.
type item struct {
	id      string
	members int
}

func (r *run) measure(ctx context.Context) (Result, error) {
	var load *generator.Result
	working, cancel := context.WithTimeout(ctx, r.demo.Duration)
	defer cancel()
	var group errgroup.Group
	group.Go(func() error {
		load = generator.New(r.load()).Run(ctx)
		return nil
	})
	group.Go(func() error { return r.every(working, editPeriod, r.edit) })
	group.Go(func() error { return r.every(working, submitPeriod, r.submit) })
	group.Go(func() error {
		r.disturb(working)
		return nil
	})
	if err := group.Wait(); err != nil {
		return Result{}, err
	}
	r.demo.say("waiting for work to end")
	r.settle(ctx)
	return r.result(load), nil
}

func (r *run) load() generator.Load {
	return generator.Load{
		Targets: r.cell.callers(), Direct: r.cell.direct, Rate: requestRate, Duration: r.demo.Duration, Wait: 5 * time.Second,
		Mix: []generator.Kind{
			{Plan: "quotes", Weight: 6, Take: 5 * time.Millisecond, Bytes: 200},
			{Plan: "beds", Weight: 3, Take: 8 * time.Millisecond, Bytes: 20000, Body: 500},
			{Plan: "quotes", Weight: 1, Take: quoteWork, Bytes: 100, Body: 100, Once: true},
		},
	}
}

// every does something at a period until the context ends.
func (r *run) every(ctx context.Context, period time.Duration, act func(ctx context.Context, n int) error) error {
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

// disturb kills one entry after a third of the time and drains another one
// after two thirds.
func (r *run) disturb(ctx context.Context) {
	timer.Sleep(ctx, r.demo.Duration/3)
	r.demo.say("killing entry " + r.cell.nodes[1].name)
	r.cell.nodes[1].kill()
	timer.Sleep(ctx, r.demo.Duration/3)
	r.demo.say("draining entry " + r.cell.nodes[2].name)
	r.cell.nodes[2].drain()
}

// edit changes the list of allowances at an entry that stays and measures when
// the change is in force at all living entries, counted from before it is sent.
func (r *run) edit(ctx context.Context, n int) error {
	client := &caller.Client{URL: "http://" + r.cell.nodes[0].settings.Listen.Operators}
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
	for !r.cell.inForce(version) {
		if ctx.Err() != nil {
			return nil
		}
		timer.Sleep(ctx, lookPeriod)
	}
	r.slowest = max(r.slowest, time.Since(sent))
	return nil
}

// submit submits a deferred task, a gang or a task that must not be repeated.
func (r *run) submit(ctx context.Context, n int) error {
	node := r.cell.living(n)
	work := messenger.Work{Kind: "deferred", Plan: "quotes", Name: "recalculation", CPU: 1000, Memory: 512, Run: "300ms"}
	if n%5 == 0 {
		work.Kind, work.Members, work.Plan, work.Name = "gang", 3, "beds", "reconciliation"
	}
	client := &caller.Client{URL: "http://" + node.settings.Listen.Operators}
	id, err := client.Submit(ctx, work, "")
	if err != nil {
		return nil // refused or unknown: nothing was promised
	}
	r.accepted = append(r.accepted, item{id, max(1, work.Members)})
	return nil
}

// settle waits until all accepted items have ended, and a while more so that
// servers finish what callers have given up.
func (r *run) settle(ctx context.Context) {
	limit := time.Now().Add(settleTimeout)
	for r.lostItems() > 0 && time.Now().Before(limit) && ctx.Err() == nil {
		timer.Sleep(ctx, askPeriod)
	}
	timer.Sleep(ctx, lastAnswers)
}

func (r *run) lostItems() int {
	lost := 0
	for _, i := range r.accepted {
		if r.cell.book.Ended(i.id) < i.members {
			lost++
		}
	}
	return lost
}

func (r *run) result(load *generator.Result) Result {
	counts := generator.Compare(load.Fates, r.cell.book.Requests())
	doubled, over := r.cell.book.Tasks()
	for _, b := range r.cell.backends {
		_, n := b.Highest()
		over += n
	}
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return Result{
		Placed: len(r.cell.book.Requests()) + len(r.accepted), Ran: load.Ran, Refused: load.Refused, Unknown: load.Unknown,
		WaitP50: ms(load.Wait.ValueAtQuantile(50)), WaitP99: ms(load.Wait.ValueAtQuantile(99)),
		PathP50: ms(load.Path.ValueAtQuantile(50)), DirectP50: ms(load.Direct.ValueAtQuantile(50)),
		Items: len(r.accepted), Overcommitted: over, Doubled: counts.Doubled + doubled, Lost: counts.Lost + r.lostItems(),
		RefusedButRan: counts.RefusedButRan, Wrong: load.Wrong, ConfigSeconds: r.slowest.Seconds(),
	}
}

func allowances(slots int) []messenger.Allowance {
	size := messenger.Size{CPU: 64000, Memory: 65536}
	return []messenger.Allowance{{Plan: "quotes", Slots: slots, Size: size}, {Plan: "beds", Slots: slots, Size: size}}
}

// ErrNotReady tells that the entries did not become ready in time.
var ErrNotReady = errors.New("entries did not become ready in time")

// silent returns a logger that drops everything.
func silent() *logrus.Logger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}
