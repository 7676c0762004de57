// Package conductor builds an entry that schedules jobs on a cell: the control
// thread around package keeper, the readers of the log, the parts of a leader
// while the entry leads, and the listeners, all under one supervisor. It joins
// parts and decides nothing.
package conductor

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"
	"golang.org/x/sync/errgroup"

	"github.com/endivelock/endivelock/internal/commands/acceptor"
	"github.com/endivelock/endivelock/internal/commands/adviser"
	"github.com/endivelock/endivelock/internal/commands/commander"
	"github.com/endivelock/endivelock/internal/commands/recorder"
	"github.com/endivelock/endivelock/internal/commands/relayer"
	"github.com/endivelock/endivelock/internal/controller"
	"github.com/endivelock/endivelock/internal/keeper"
	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/linker"
	"github.com/endivelock/endivelock/internal/loader"
	"github.com/endivelock/endivelock/internal/queries/inspector"
	"github.com/endivelock/endivelock/internal/replicator"
	"github.com/endivelock/endivelock/internal/router"
	"github.com/endivelock/endivelock/internal/timer"
)

const (
	// tickPeriod is how often the control thread looks at the time.
	tickPeriod = 100 * time.Millisecond
	// surveyPeriod is how often a leader logs the state of the cell.
	surveyPeriod = time.Second
	// runsPause and jobsPause are the times between two reads of the streams by an
	// entry that does not lead. Calls to the log are limited and priced. The runs
	// show that the leader lives, so their pause is well below its patience.
	runsPause = 400 * time.Millisecond
	jobsPause = 500 * time.Millisecond
	// weakPause is the same for both at an entry that leaves the lead to stronger
	// ones.
	weakPause = 800 * time.Millisecond
	// leadPause is the time between two reads of the jobs by the leader. It writes
	// most of them itself and need not wait for the log to tell of these.
	leadPause = 50 * time.Millisecond
	// listPause is the time between two reads of the list of workers.
	listPause = 350 * time.Millisecond
	// readWait is how long a read waits at the log. A connection may go silent
	// without an error, so it bounds how old the answer may be.
	readWait = time.Second
	// patience is the silence after which a leader is replaced. A living leader
	// writes every 200 ms, and an append may take two more tries.
	patience = 1200 * time.Millisecond
	// suspectPatience is the same once the link to the leader has broken, and
	// gonePatience once no leader answers at its address: in a living one, the
	// link may be cut and the log not.
	suspectPatience = 700 * time.Millisecond
	gonePatience    = 350 * time.Millisecond
	// deference is how much longer weak entries wait before a claim: a strong one
	// claims and fences in a few appends.
	deference = 400 * time.Millisecond
	// settle is how long a weak leader leads at least: its peers need a second or
	// two to link after a start, and a lead that moves costs a takeover.
	settle = 3 * time.Second
	// claimSpread is the range of the random delay before a claim.
	claimSpread = 150 * time.Millisecond
	// renewal is how long a leader renews leases after the log last confirmed it.
	renewal = 5 * time.Second
	// longestLease bounds the leases at workers: the tasks of one that fell silent
	// wait for them to lapse before they start elsewhere. It is several times what
	// a takeover takes.
	longestLease = 6 * time.Second
	// placePause is the least time between two passes of placement. It is small
	// beside the shortest objective of urgent steps, 250 ms, and long enough that
	// a burst of reports shares a pass.
	placePause = 10 * time.Millisecond
	// readyAge is how old the last read of the log may be for an entry that is
	// ready for requests.
	readyAge = 2500 * time.Millisecond
	// maxExchanges bounds the calls that effects start.
	maxExchanges = 1024
)

// Platform is what an entry needs of the platform.
type Platform interface {
	replicator.Log
	// Worker reads a worker's entry in the list.
	Worker(id string, data []byte) (leader.Listing, error)
	// Config reads the configuration.
	Config(data []byte) (router.Config, error)
	// ConfigName returns where the configuration is: a stream and a name.
	ConfigName() (stream, name string)
	// WorkerStream returns the stream that lists the workers.
	WorkerStream() string
}

// Ports are the ways to the world outside.
type Ports struct {
	Platform Platform
	Workers  commander.Workers
	Advice   adviser.Service
}

// Entry is one entry instance. Create it with New, set Callers, then call Run.
type Entry struct {
	Callers   http.Handler // answers clients
	Ready     http.Handler // answers the balancer
	Acceptor  *acceptor.Acceptor
	Inspector *inspector.Inspector
	Registry  metrics.Registry

	settings   loader.Cell
	ports      Ports
	logger     logrus.FieldLogger
	controller *controller.Controller[keeper.State, keeper.Event, keeper.Effect]
	timer      *timer.Timer
	linker     *linker.Linker
	relayer    *relayer.Relayer
	journal    *recorder.Journal
	adviser    *adviser.Adviser
	config     atomic.Pointer[router.Config]
	draining   atomic.Bool
	ctx        context.Context
	group      errgroup.Group
	catching   chan struct{} // holds a token while CatchUp reads

	mu        sync.Mutex
	command   *command           // while this entry leads
	following context.CancelFunc // ends the reading of the runs
}

// New returns an entry that is not running yet.
func New(s loader.Cell, p Ports, logger logrus.FieldLogger) *Entry {
	e := &Entry{settings: s, ports: p, logger: logger, timer: &timer.Timer{}, Registry: metrics.NewRegistry(), catching: make(chan struct{}, 1)}
	self := keeper.Identity{Name: s.Name, Zone: s.Zone, Address: s.Listen.Peers, Strength: s.Share}
	e.controller = controller.New(keeper.New(self, e.policy()), e, time.Now)
	e.relayer = &relayer.Relayer{Own: p.Platform, Logger: logger}
	e.journal = recorder.NewJournal(e.relayer, keeper.Jobs)
	e.journal.Added, e.journal.Spare = e.added, e.spare
	e.adviser = adviser.New(p.Advice)
	e.linker = &linker.Linker{Viewer: e.controller, Sink: e.controller, Journal: e.journal, Adviser: e.adviser, Log: p.Platform, Logger: logger}
	e.linker.Told = func(values []replicator.Value) { e.learned(values, false) }
	e.relayer.Others = e.linker
	e.Acceptor = &acceptor.Acceptor{Own: e.journal, Leader: e.linker, Logger: logger}
	e.Inspector = &inspector.Inspector{Viewer: e.controller, Leader: e.linker, Catcher: e}
	e.measure()
	return e
}

func (e *Entry) policy() keeper.Policy {
	return keeper.Policy{
		Leader:             leader.Policy{Lease: min(e.settings.Lease, longestLease), Inherited: renewal, Pause: placePause},
		LeaderTimeout:      patience,
		LinkLostTimeout:    suspectPatience,
		UnreachableTimeout: gonePatience,
		Retention:          2 * e.settings.Keep,

		WeakDelay:   deference,
		MinLeadTime: settle,
	}
}

// Config returns the configuration in force, if there is one.
func (e *Entry) Config() (router.Config, bool) {
	c := e.config.Load()
	if c == nil {
		return router.Config{}, false
	}
	return *c, true
}

// Available reports whether the entry can serve requests, and if not, why.
func (e *Entry) Available() (bool, string) {
	s := e.controller.Snapshot()
	switch {
	case e.draining.Load():
		return false, "stopping"
	case e.config.Load() == nil:
		return false, "no configuration yet"
	case !s.Synced() && s.Role() != keeper.Leading:
		return false, "log not read yet"
	case time.Since(s.LastRead()) > readyAge:
		return false, "log cannot be read"
	}
	return true, ""
}

// Leading reports whether the entry leads.
func (e *Entry) Leading() bool { return e.controller.Snapshot().Role() == keeper.Leading }

// Outage returns for how long the log has not answered, 0 if it does.
func (e *Entry) Outage() time.Duration { return e.journal.Outage() }

// Stopping reports whether the entry was asked to stop.
func (e *Entry) Stopping() bool { return e.draining.Load() }

// Run serves until the context ends and then stops gracefully.
func (e *Entry) Run(ctx context.Context) error {
	working, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	e.ctx = working
	e.group.SetLimit(maxExchanges)
	listeners, err := e.listen()
	if err != nil {
		return err
	}
	tree := suture.New("entry", suture.Spec{EventHook: e.supervised, PassThroughPanics: true})
	servers := e.addServices(tree, listeners)
	done := tree.ServeBackground(working)
	e.logger.WithFields(logrus.Fields{"callers": e.settings.Listen.Callers, "share": e.settings.Share}).Info("entry started")
	select {
	case <-ctx.Done():
	case err := <-done:
		return errors.Wrap(err, "supervisor ended")
	}
	e.drain(servers)
	stop()
	<-done
	_ = e.group.Wait()
	e.logger.Info("entry stopped")
	return nil
}

func (e *Entry) supervised(event suture.Event) {
	e.logger.WithField("event", event.String()).Warn("service ended")
}

// listeners are the open sockets.
type listeners struct{ callers, ready, peers, metrics net.Listener }

func (e *Entry) listen() (listeners, error) {
	var l listeners
	for _, o := range []struct {
		name    string
		address string
		place   *net.Listener
	}{
		{"callers", e.settings.Listen.Callers, &l.callers}, {"ready", e.settings.Listen.Ready, &l.ready},
		{"peers", e.settings.Listen.Peers, &l.peers}, {"metrics", e.settings.Listen.Metrics, &l.metrics},
	} {
		opened, err := net.Listen("tcp", o.address)
		if err != nil {
			return l, errors.Wrapf(err, "open listener for %s at %s", o.name, o.address)
		}
		*o.place = opened
	}
	return l, nil
}

// service makes a function a service of the supervisor.
type service struct {
	name  string
	serve func(ctx context.Context) error
}

// Serve runs the function.
func (s service) Serve(ctx context.Context) error { return s.serve(ctx) }

// String names the service for the supervisor.
func (s service) String() string { return s.name }

func (e *Entry) addServices(tree *suture.Supervisor, l listeners) []*server {
	tree.Add(e.timer)
	tree.Add(e.controller)
	tree.Add(e.journal)
	tree.Add(e.linker)
	tree.Add(service{"peers", func(ctx context.Context) error {
		return errors.Mark(e.linker.Listen(ctx, l.peers), suture.ErrDoNotRestart)
	}})
	tree.Add(e.every("ticks", tickPeriod, e.tick))
	tree.Add(e.every("survey", surveyPeriod, e.survey))
	tree.Add(e.configFollower())
	tree.Add(e.jobsFollower())
	e.followRuns()
	var servers []*server
	for _, o := range []struct {
		name     string
		handler  http.Handler
		listener net.Listener
	}{{"callers", e.Callers, l.callers}, {"ready", e.Ready, l.ready}, {"metrics", e.metricsHandler(), l.metrics}} {
		server := newServer(o.handler, o.listener)
		servers = append(servers, server)
		tree.Add(service{o.name, server.serve})
	}
	return servers
}

// every returns a service that acts once a period.
func (e *Entry) every(name string, period time.Duration, act func()) suture.Service {
	return service{name, func(ctx context.Context) error {
		signals := e.timer.Subscribe(period, 0)
		defer signals.Stop()
		for {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-signals.C:
				act()
			}
		}
	}}
}

func (e *Entry) tick() {
	e.controller.Submit(keeper.Ticked{Delay: time.Duration(rand.Int64N(int64(claimSpread)))})
}
