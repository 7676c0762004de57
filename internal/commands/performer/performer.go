// Package performer carries out the effects that the control thread asks for.
// It never blocks the control thread: each exchange runs in a goroutine of a
// bounded group, and what comes of it goes back as an event. An effect that
// finds no room is dropped; the control state asks again for what matters.
package performer

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/endivelock/endivelock/internal/scheduler"
)

const (
	// maxExchanges bounds the exchanges in progress.
	maxExchanges = 256
	// exchangeTimeout bounds one exchange with a server or worker.
	exchangeTimeout = 2 * time.Second
)

// Callers hands decisions to the requests that wait for them.
type Callers interface {
	// Decide hands over a decision and never blocks. Without a waiter it is
	// dropped.
	Decide(request string, decision scheduler.Effect)
}

// Ledger queues records for the log.
type Ledger interface {
	// Append queues records and does not wait for the log.
	Append(request scheduler.Append) error
}

// Peers speaks to other entries.
type Peers interface {
	// Probe exchanges digests and reports a refused connection as evidence.
	Probe(ctx context.Context, entry scheduler.Entry)
	// HandOver delivers a resource and reports the receipt.
	HandOver(ctx context.Context, e scheduler.Give)
	// NotifyEnded reports the end of a carried request; the report may be lost.
	NotifyEnded(ctx context.Context, e scheduler.Free)
}

// Servers asks backend servers about their slots.
type Servers interface {
	// Busy returns how many slots the server itself counts as in use.
	Busy(ctx context.Context, address string) (int, error)
}

// Workers speaks to workers.
type Workers interface {
	// Launch starts tasks unless the lease has lapsed. A task that the worker
	// has had is ignored.
	Launch(ctx context.Context, e scheduler.Launch) error
	// Renew extends leases to an absolute time and never shortens one.
	Renew(ctx context.Context, e scheduler.Renew) error
	// Halt ends a task; one that has ended is ignored.
	Halt(ctx context.Context, e scheduler.Halt) error
	// Report returns the tasks that run and those that have ended.
	Report(ctx context.Context, e scheduler.Ask) (scheduler.WorkerReported, error)
}

// Sink takes events.
type Sink interface {
	// Submit takes an event; it may block for a short while.
	Submit(e scheduler.Event)
}

// Performer carries out effects. Create it with New and set Sink before the
// first effect.
type Performer struct {
	Callers Callers
	Ledger  Ledger
	Peers   Peers
	Servers Servers
	Workers Workers
	Sink    Sink
	Logger  logrus.FieldLogger
	Dropped metrics.Counter

	ctx   context.Context
	group errgroup.Group
}

// Start bounds all exchanges by a context.
func (p *Performer) Start(ctx context.Context) {
	p.ctx = ctx
	p.group.SetLimit(maxExchanges)
}

// Wait returns when no exchange is in progress.
func (p *Performer) Wait() {
	_ = p.group.Wait()
}

// Perform carries out effects in order, as far as they are quick, and starts
// the others.
func (p *Performer) Perform(effects []scheduler.Effect) {
	for _, e := range effects {
		p.perform(e)
	}
}

func (p *Performer) perform(effect scheduler.Effect) {
	switch e := effect.(type) {
	case scheduler.Place:
		p.Callers.Decide(e.Request, e)
	case scheduler.Forward:
		p.Callers.Decide(e.Request, e)
	case scheduler.Refuse:
		p.Callers.Decide(e.Request, e)
	case scheduler.Append:
		p.append(e)
	case scheduler.Probe:
		p.start(func(ctx context.Context) { p.Peers.Probe(ctx, e.Entry) })
	case scheduler.Give:
		p.start(func(ctx context.Context) { p.Peers.HandOver(ctx, e) })
	case scheduler.Free:
		p.start(func(ctx context.Context) { p.Peers.NotifyEnded(ctx, e) })
	case scheduler.Poll:
		p.start(func(ctx context.Context) { p.poll(ctx, e) })
	case scheduler.Ask:
		p.start(func(ctx context.Context) { p.ask(ctx, e) })
	case scheduler.Launch:
		p.start(func(ctx context.Context) { p.note("launch", p.Workers.Launch(ctx, e)) })
	case scheduler.Renew:
		p.start(func(ctx context.Context) { p.note("renew", p.Workers.Renew(ctx, e)) })
	case scheduler.Halt:
		p.start(func(ctx context.Context) { p.note("halt", p.Workers.Halt(ctx, e)) })
	}
}

func (p *Performer) append(e scheduler.Append) {
	if err := p.Ledger.Append(e); err != nil {
		p.Dropped.Inc(1)
		p.Logger.WithError(err).Warn("append dropped")
	}
}

func (p *Performer) start(exchange func(ctx context.Context)) {
	started := p.group.TryGo(func() error {
		ctx, cancel := context.WithTimeout(p.ctx, exchangeTimeout)
		defer cancel()
		exchange(ctx)
		return nil
	})
	if !started {
		p.Dropped.Inc(1)
	}
}

func (p *Performer) poll(ctx context.Context, e scheduler.Poll) {
	busy, err := p.Servers.Busy(ctx, e.Address)
	if err != nil {
		p.note("poll", err)
		return
	}
	p.Sink.Submit(scheduler.ServerPolled{Server: e.Server, Busy: busy, Lost: e.Lost})
}

func (p *Performer) ask(ctx context.Context, e scheduler.Ask) {
	report, err := p.Workers.Report(ctx, e)
	if err != nil {
		p.note("report", err)
		return
	}
	p.Sink.Submit(report)
}

func (p *Performer) note(operation string, err error) {
	if err != nil {
		p.Logger.WithField("operation", operation).WithError(err).Debug("exchange failed")
	}
}
