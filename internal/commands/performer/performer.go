// Package performer carries out the effects that the control thread has decided.
// It never blocks the control thread: each remote call runs in a goroutine of a
// bounded group and submits its result as an event. While the group is full,
// effects are dropped; the control state repeats those that it still needs.
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
	// maxCalls bounds the concurrent remote calls.
	maxCalls = 256
	// callTimeout bounds one remote call.
	callTimeout = 2 * time.Second
)

// Callers delivers decisions to the waiting requests.
type Callers interface {
	// Decide delivers a decision and never blocks. If nothing waits for it, the
	// decision is dropped.
	Decide(request string, decision scheduler.Effect)
}

// Ledger queues records for the log.
type Ledger interface {
	// Append queues records and does not wait for the log.
	Append(request scheduler.Append) error
}

// Peers calls other entries.
type Peers interface {
	// Probe exchanges digests and submits a refused connection as evidence.
	Probe(ctx context.Context, entry scheduler.Entry)
	// HandOver transfers a resource and submits the confirmation.
	HandOver(ctx context.Context, e scheduler.SendHandover)
	// NotifyEnded reports the end of a carried request; the report may be lost.
	NotifyEnded(ctx context.Context, e scheduler.ReleaseSlot)
}

// Servers queries backend servers about their slots.
type Servers interface {
	// Busy returns the number of busy slots that the server reports.
	Busy(ctx context.Context, address string) (int, error)
}

// Workers calls workers.
type Workers interface {
	// Launch starts tasks unless the lease has expired. A task that the worker
	// has already received is ignored.
	Launch(ctx context.Context, e scheduler.Launch) error
	// Renew extends leases to an absolute expiry and never shortens one.
	Renew(ctx context.Context, e scheduler.Renew) error
	// Halt stops a task; one that has ended is ignored.
	Halt(ctx context.Context, e scheduler.Halt) error
	// Report returns the running and the ended tasks.
	Report(ctx context.Context, e scheduler.PollWorker) (scheduler.WorkerReported, error)
}

// Sink accepts events.
type Sink interface {
	// Submit queues an event; it may block briefly.
	Submit(e scheduler.Event)
}

// Performer carries out effects. Set the fields and call Start before the first
// effect.
type Performer struct {
	Callers Callers
	Ledger  Ledger
	Peers   Peers
	Servers Servers
	Workers Workers
	Sink    Sink
	Logger  logrus.FieldLogger
	Dropped metrics.Counter // effects dropped while the group or the queue was full

	ctx   context.Context
	group errgroup.Group
}

// Start sets the context that bounds all remote calls and the limit on their
// number.
func (p *Performer) Start(ctx context.Context) {
	p.ctx = ctx
	p.group.SetLimit(maxCalls)
}

// Wait returns when no remote call is in progress.
func (p *Performer) Wait() {
	_ = p.group.Wait()
}

// Perform carries out local effects in order and starts remote calls for the
// others.
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
		p.startCall(func(ctx context.Context) { p.Peers.Probe(ctx, e.Entry) })
	case scheduler.SendHandover:
		p.startCall(func(ctx context.Context) { p.Peers.HandOver(ctx, e) })
	case scheduler.ReleaseSlot:
		p.startCall(func(ctx context.Context) { p.Peers.NotifyEnded(ctx, e) })
	case scheduler.PollServer:
		p.startCall(func(ctx context.Context) { p.pollServer(ctx, e) })
	case scheduler.PollWorker:
		p.startCall(func(ctx context.Context) { p.queryWorker(ctx, e) })
	case scheduler.Launch:
		p.startCall(func(ctx context.Context) { p.logFailure("launch", p.Workers.Launch(ctx, e)) })
	case scheduler.Renew:
		p.startCall(func(ctx context.Context) { p.logFailure("renew", p.Workers.Renew(ctx, e)) })
	case scheduler.Halt:
		p.startCall(func(ctx context.Context) { p.logFailure("halt", p.Workers.Halt(ctx, e)) })
	}
}

func (p *Performer) append(e scheduler.Append) {
	if err := p.Ledger.Append(e); err != nil {
		p.Dropped.Inc(1)
		p.Logger.WithError(err).Warn("append dropped")
	}
}

// startCall runs a remote call in a goroutine. At the limit of concurrent calls
// it drops the call and counts it.
func (p *Performer) startCall(call func(ctx context.Context)) {
	started := p.group.TryGo(func() error {
		ctx, cancel := context.WithTimeout(p.ctx, callTimeout)
		defer cancel()
		call(ctx)
		return nil
	})
	if !started {
		p.Dropped.Inc(1)
	}
}

func (p *Performer) pollServer(ctx context.Context, e scheduler.PollServer) {
	busy, err := p.Servers.Busy(ctx, e.Address)
	if err != nil {
		p.logFailure("poll", err)
		return
	}
	p.Sink.Submit(scheduler.ServerPolled{Server: e.Server, Busy: busy, Lost: e.Lost})
}

func (p *Performer) queryWorker(ctx context.Context, e scheduler.PollWorker) {
	report, err := p.Workers.Report(ctx, e)
	if err != nil {
		p.logFailure("report", err)
		return
	}
	p.Sink.Submit(report)
}

func (p *Performer) logFailure(operation string, err error) {
	if err != nil {
		p.Logger.WithField("operation", operation).WithError(err).Debug("call failed")
	}
}
