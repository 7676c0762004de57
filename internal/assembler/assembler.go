// Package assembler builds an entry from its settings. It wires the control
// thread, the followers of the log, the listeners and the periodic tasks through
// the small interfaces that they declare, and runs them under one supervisor.
// It makes no scheduling decisions.
package assembler

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"

	"github.com/endivelock/endivelock/internal/appender"
	"github.com/endivelock/endivelock/internal/commands/admitter"
	"github.com/endivelock/endivelock/internal/commands/committer"
	"github.com/endivelock/endivelock/internal/commands/dispatcher"
	"github.com/endivelock/endivelock/internal/commands/editor"
	"github.com/endivelock/endivelock/internal/commands/performer"
	"github.com/endivelock/endivelock/internal/commands/submitter"
	"github.com/endivelock/endivelock/internal/connector"
	"github.com/endivelock/endivelock/internal/controller"
	"github.com/endivelock/endivelock/internal/follower"
	"github.com/endivelock/endivelock/internal/gossiper"
	"github.com/endivelock/endivelock/internal/limiter"
	"github.com/endivelock/endivelock/internal/loader"
	"github.com/endivelock/endivelock/internal/queries/lister"
	"github.com/endivelock/endivelock/internal/queries/reporter"
	"github.com/endivelock/endivelock/internal/scheduler"
	"github.com/endivelock/endivelock/internal/timer"
)

// Entry is one entry instance. Create it with New, then call Run.
type Entry struct {
	settings   loader.Settings
	limits     atomic.Pointer[loader.Limits] // the limits that apply now
	logger     logrus.FieldLogger
	controller *controller.Controller[scheduler.State, scheduler.Event, scheduler.Effect]
	timer      *timer.Timer
	gossiper   *gossiper.Gossiper
	appender   *appender.Appender
	platform   *connector.Platform
	servers    *dispatcher.Dispatcher // connections to backend servers
	entries    *dispatcher.Dispatcher // connections to other entries
	performer  *performer.Performer
	admitter   *admitter.Admitter
	forwards   *admitter.Admitter // requests forwarded by other entries
	editor     *editor.Editor
	submitter  *submitter.Submitter
	lister     *lister.Lister
	reporter   *reporter.Reporter
	followers  []*follower.Follower
	listeners  listeners
	closed     metrics.Registry // counts connections closed at a limit, by reason
	killed     chan struct{}    // closed by Kill
}

// listeners holds the open sockets in the order in which they are closed.
type listeners struct {
	callers   *limiter.Listener
	operators *limiter.Listener
	forward   *limiter.Listener
	peers     *limiter.Listener
}

// New returns an entry that is not running. Call Run to start it.
func New(s loader.Settings, logger logrus.FieldLogger) *Entry {
	self := scheduler.Entry{
		ID:      scheduler.EntryID{Name: s.Name, Incarnation: time.Now().UnixMilli()},
		Zone:    s.Zone,
		Peer:    s.Listen.Peers,
		Forward: s.Listen.Forward,
	}
	e := &Entry{settings: s, logger: logger.WithFields(logrus.Fields{"entry": self.ID.Name, "zone": string(s.Zone)}), closed: metrics.NewRegistry(), killed: make(chan struct{})}
	e.limits.Store(&s.Limits)
	e.wireCommands(self)
	e.wireQueries()
	return e
}

func (e *Entry) wireCommands(self scheduler.Entry) {
	callers := &admitter.Waiters{}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, MaxConnsPerHost: 8}}
	e.timer = &timer.Timer{}
	e.platform = &connector.Platform{URL: e.settings.Platform, Zone: string(self.Zone), Client: client}
	e.appender = appender.New(e.platform, e.logger)
	e.servers = dispatcher.New(dispatcher.MaxServerConns)
	e.entries = dispatcher.New(dispatcher.MaxEntryConns)
	exchangers := admitter.Transports{Servers: e.servers, Entries: e.entries}
	e.performer = &performer.Performer{
		Callers: callers,
		Ledger:  e.appender,
		Servers: &connector.Servers{Client: client, Path: e.settings.Status},
		Workers: &connector.Workers{Client: client},
		Logger:  e.logger,
		Dropped: metrics.NewCounter(),
	}
	e.controller = controller.New(scheduler.New(self, e.settings.Policy(), time.Now()), e.performer, time.Now)
	e.gossiper = gossiper.New(e.controller, e.controller, e.logger)
	e.performer.Peers = e.gossiper
	e.performer.Sink = e.controller
	e.admitter = admitter.New(e.controller, exchangers, callers, e.logger)
	e.forwards = admitter.New(e.controller, exchangers, callers, e.logger)
	e.forwards.Trusted = true
	commit := committer.Committer{Ledger: e.appender, Controller: e.controller}
	e.editor = &editor.Editor{Committer: commit, Logger: e.logger}
	e.submitter = &submitter.Submitter{Committer: commit, Logger: e.logger}
	for _, stream := range []string{scheduler.ConfigStream, scheduler.ZoneStream(self.Zone)} {
		e.followers = append(e.followers, &follower.Follower{
			Stream: stream, Reader: e.platform, Sink: e.controller, Log: e.logger,
			Skipped: metrics.NewCounter(), Failed: metrics.NewCounter(), Next: 1,
		})
	}
}

func (e *Entry) wireQueries() {
	e.lister = &lister.Lister{Viewer: e.controller, Now: time.Now}
	e.reporter = reporter.New(e.controller, e.settings.Goals.Wait, e.settings.Goals.Share, time.Now)
	e.reporter.Add("wait", e.admitter.PlacementWait)
	e.reporter.Add("wait.forwarded", e.forwards.PlacementWait)
	e.reporter.Add("append.delay", e.appender.Delay)
	e.reporter.Add("append.batches", e.appender.Batches)
	e.reporter.Add("append.records", e.appender.Records)
	e.reporter.Add("append.failed", e.appender.Failed)
	e.reporter.Add("append.refused", e.appender.Refused)
	e.reporter.Add("effects.dropped", e.performer.Dropped)
	e.reporter.AddAll("requests.", e.admitter.Counters)
	e.reporter.AddAll("forwards.", e.forwards.Counters)
	e.reporter.AddAll("closed.", e.closed)
	for _, f := range e.followers {
		e.reporter.Add("log."+f.Stream+".skipped", f.Skipped)
		e.reporter.Add("log."+f.Stream+".failed", f.Failed)
	}
	e.reporter.AddGauge("peer.bytes", func() int64 { n, _ := e.gossiper.Traffic(); return n })
	e.reporter.AddGauge("peer.calls", func() int64 { _, n := e.gossiper.Traffic(); return n })
	e.reporter.AddGauge("control.events", func() int64 { n, _ := e.controller.Cost(); return n })
	e.reporter.AddGauge("control.nanoseconds", func() int64 { _, d := e.controller.Cost(); return int64(d) })
	e.admitter.Observer = e.reporter
	e.forwards.Observer = e.reporter
}

// Snapshot returns the published control state.
func (e *Entry) Snapshot() scheduler.State {
	return e.controller.Snapshot()
}

// Run serves until the context is cancelled and then drains. A drain that times
// out and aborts requests returns a DrainTimeoutError.
func (e *Entry) Run(ctx context.Context) error {
	if err := e.listen(); err != nil {
		return err
	}
	serviceCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	e.performer.Start(serviceCtx)
	supervisor := suture.New("entry", suture.Spec{EventHook: e.logServiceEnd, PassThroughPanics: true})
	e.addServices(supervisor)
	servers := e.addListeners(supervisor)
	done := supervisor.ServeBackground(serviceCtx)
	e.logger.WithField("incarnation", e.Snapshot().Self.ID.Incarnation).Info("entry started")
	select {
	case <-ctx.Done():
	case <-e.killed:
		e.abort(servers)
		stop()
		<-done
		return nil
	case err := <-done:
		return errors.Wrap(err, "supervisor ended")
	}
	err := e.drain(servers)
	stop()
	<-done
	return err
}

// Kill stops a running entry immediately, as if its process had crashed: it
// hands over no resources and aborts the requests in progress. It must be called
// at most once.
func (e *Entry) Kill() {
	close(e.killed)
}

func (e *Entry) abort(s httpServers) {
	_ = s.callers.Close()
	_ = s.forward.Close()
	_ = s.operators.Close()
	e.servers.Abort()
	e.entries.Abort()
	e.gossiper.Close()
}

func (e *Entry) logServiceEnd(event suture.Event) {
	if event.Type() != suture.EventTypeServiceTerminate {
		return
	}
	e.logger.WithField("event", event.String()).Debug("service ended")
}

func (e *Entry) addServices(supervisor *suture.Supervisor) {
	supervisor.Add(e.timer)
	supervisor.Add(e.controller)
	supervisor.Add(e.appender)
	for _, f := range e.followers {
		supervisor.Add(f)
	}
	supervisor.Add(&periodicTask{name: "tick", timer: e.timer, period: tickPeriod, run: e.tick})
	supervisor.Add(&periodicTask{name: "digests", timer: e.timer, period: gossiper.Period, jitter: taskJitter, run: e.gossiper.Round})
	supervisor.Add(&periodicTask{name: "list", timer: e.timer, period: listPeriod, jitter: taskJitter, run: e.refreshInstances, immediate: true})
	supervisor.Add(&periodicTask{name: "configuration", timer: e.timer, period: listPeriod, jitter: taskJitter, run: e.fetchConfig})
}

// SetLimits applies the limits of the given settings to the running entry.
func (e *Entry) SetLimits(s loader.Settings) {
	e.limits.Store(&s.Limits)
	e.controller.Submit(scheduler.PolicyChanged{Policy: s.Policy()})
}
