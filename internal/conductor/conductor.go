// Package conductor assembles and runs an entry that schedules jobs on a cell: the
// control thread that applies events to the state of package keeper, the followers
// of the log, the services of a leader while the entry leads, and the listeners.
// All run under one supervisor. The package performs the effects that package
// keeper returns and makes no scheduling decisions itself.
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

	"github.com/endivelock/endivelock/internal/authenticator"
	"github.com/endivelock/endivelock/internal/commands/acceptor"
	"github.com/endivelock/endivelock/internal/commands/adviser"
	"github.com/endivelock/endivelock/internal/commands/commander"
	"github.com/endivelock/endivelock/internal/commands/delegator"
	"github.com/endivelock/endivelock/internal/commands/gatekeeper"
	"github.com/endivelock/endivelock/internal/commands/recorder"
	"github.com/endivelock/endivelock/internal/commands/relayer"
	"github.com/endivelock/endivelock/internal/controller"
	"github.com/endivelock/endivelock/internal/keeper"
	"github.com/endivelock/endivelock/internal/launcher"
	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/limiter"
	"github.com/endivelock/endivelock/internal/linker"
	"github.com/endivelock/endivelock/internal/loader"
	"github.com/endivelock/endivelock/internal/queries/inspector"
	"github.com/endivelock/endivelock/internal/replicator"
	"github.com/endivelock/endivelock/internal/router"
	"github.com/endivelock/endivelock/internal/timer"
)

const (
	// tickPeriod is the time between two Ticked events.
	tickPeriod = 100 * time.Millisecond
	// countsPeriod is the time between two log messages of a leader about the state
	// of the cell.
	countsPeriod = time.Second
	// runsPause and jobsPause are the times between two reads of the streams by an
	// entry that does not lead. Calls to the log are rate limited and charged. The
	// runs carry the heartbeats of the leader, so their pause is well below
	// leaderTimeout.
	runsPause = 400 * time.Millisecond
	jobsPause = 500 * time.Millisecond
	// weakPause replaces both at a weak entry, which defers to stronger ones in
	// leader election.
	weakPause = 800 * time.Millisecond
	// leaderJobsPause is the time between two reads of the jobs by the leader. It
	// writes most of them itself and knows these without a read.
	leaderJobsPause = 50 * time.Millisecond
	// workersPause is the time between two reads of the stream of workers.
	workersPause = 350 * time.Millisecond
	// readWait is how long a read waits at the log for new records. A connection may
	// stall without an error, so this also bounds the age of what was read.
	readWait = time.Second
	// leaderTimeout is the time without a heartbeat after which a leader is replaced.
	// A live leader writes every 200 ms, and an append may need two retries.
	leaderTimeout = 1200 * time.Millisecond
	// linkLostTimeout applies once the link to the leader is lost, and
	// unreachableTimeout once no leader answers at its address. Neither is 0, since a
	// live leader may lose its links and still reach the log.
	linkLostTimeout    = 700 * time.Millisecond
	unreachableTimeout = 350 * time.Millisecond
	// replicaDelay is how long an entry is without a leader before it replicates the
	// log, a time in which a standby takes over. An entry with a small share of a
	// processor waits up to smallShareDelay longer, so that few read everything.
	replicaDelay    = 1500 * time.Millisecond
	smallShareDelay = 2500 * time.Millisecond
	// minReplicaTime is how long a replica is kept that is no longer needed.
	minReplicaTime = 10 * time.Second
	// weakDelay is how much longer a weak entry waits before a claim. A stronger one
	// needs a few appends to claim and to fence off the last leader.
	weakDelay = 400 * time.Millisecond
	// minLeadTime is how long a weak leader leads at least. Its peers need a second
	// or two to link after a start, and each change of leader costs a takeover.
	minLeadTime = 3 * time.Second
	// maxClaimJitter bounds the random delay before a claim.
	maxClaimJitter = 150 * time.Millisecond
	// renewalWindow is how long a leader renews leases after the log last confirmed
	// its leadership. With a lease it has to outlast a log that is down, up to 6 s on the
	// users' platform, and the 2 s until an append succeeds after that. Any more
	// only delays the tasks of a worker that is lost shortly before its leader: these may be
	// down for 10 s, of which a lease on a slow clock takes 6.1 s.
	renewalWindow = 2500 * time.Millisecond
	// maxLease bounds the leases at workers. The tasks of an unresponsive worker are
	// restarted elsewhere only after their leases have expired. It is several times
	// the duration of a takeover.
	maxLease = 6 * time.Second
	// minPlacementInterval is the minimum time between two placement passes. It is
	// small compared with the shortest objective of urgent steps, 250 ms, and long
	// enough for one pass to handle a burst of reports.
	minPlacementInterval = 10 * time.Millisecond
	// maxReadyAge is the maximum age of the last read of the log for an entry to be
	// ready for requests.
	maxReadyAge = 2500 * time.Millisecond
	// maxDiscards bounds the ended jobs that are being dropped from the log at a time.
	maxDiscards = 1024
)

// Platform is what an entry requires of the platform.
type Platform interface {
	replicator.Log
	// Worker decodes a worker's record in the stream of workers.
	Worker(id string, data []byte) (leader.Listing, error)
	// Config decodes the configuration.
	Config(data []byte) (router.Config, error)
	// ConfigName returns the stream that has the configuration and its name there.
	ConfigName() (stream, name string)
	// WorkerStream returns the name of the stream that lists the workers.
	WorkerStream() string
}

// Ports are the external systems that an entry calls.
type Ports struct {
	Platform Platform
	Workers  commander.Workers
	Advice   adviser.Service
}

// Entry is one entry instance. Create it with New, set Callers and Ready, then call
// Run. The other fields may be replaced before that.
type Entry struct {
	Callers   http.Handler // serves requests of clients
	Ready     http.Handler // serves readiness checks of the load balancer
	Acceptor  *acceptor.Acceptor
	Inspector *inspector.Inspector
	Registry  metrics.Registry
	Clock     func() time.Duration // also counts while the machine is suspended

	settings    loader.Cell
	ports       Ports
	logger      logrus.FieldLogger
	controller  *controller.Controller[keeper.State, keeper.Event, keeper.Effect]
	timer       *timer.Timer
	linker      *linker.Linker
	relayer     *relayer.Relayer
	journal     *recorder.Journal
	adviser     *adviser.Adviser
	deputy      *delegator.Deputy
	reading     atomic.Pointer[authenticator.Reading] // never nil; written by the follower of the configuration
	closed      closures
	draining    atomic.Bool
	ctx         context.Context
	group       errgroup.Group    // without a limit, which Go would wait for on the control thread
	discards    launcher.Launcher // of ended jobs
	catchUpSlot chan struct{}     // semaphore with one slot, held while CatchUp reads

	deputiesMu   sync.Mutex // held while the linked entries are passed on to the delegator
	mu           sync.Mutex
	active       *leaderServices               // nil unless this entry leads
	stopFollower map[string]context.CancelFunc // by stream that is followed temporarily

	newestInForce bool // whether the newest record of the configuration that was read is in force; used by its follower only
}

// New returns an entry that is not running yet.
func New(s loader.Cell, p Ports, logger logrus.FieldLogger) *Entry {
	e := &Entry{settings: s, ports: p, logger: logger, timer: &timer.Timer{}, Registry: metrics.NewRegistry(), catchUpSlot: make(chan struct{}, 1), stopFollower: map[string]context.CancelFunc{}, Clock: timer.Uptime}
	e.discards.Limit = maxDiscards
	e.reading.Store(&authenticator.Reading{})
	self := keeper.Identity{Name: s.Name, Zone: s.Zone, Address: s.Listen.Peers, CPUShare: s.Share}
	e.controller = controller.New(keeper.New(self, e.policy()), e, time.Now)
	e.relayer = &relayer.Relayer{Direct: p.Platform, Logger: logger}
	e.journal = recorder.NewJournal(e.relayer, keeper.Jobs)
	e.journal.Added, e.journal.Fallback, e.journal.Spacing = e.jobsAdded, e.fallback, e.appendSpacing
	e.journal.Logger = logger
	e.adviser = adviser.New(p.Advice)
	e.linker = &linker.Linker{Viewer: e.controller, Sink: e.controller, Journal: e.journal, Adviser: e.adviser, Log: p.Platform, Logger: logger}
	e.linker.Memory = limiter.NewBudgets(s.Memory<<20, s.Descriptors).Bytes
	e.linker.OnAnnounced = func(values []replicator.Value) { e.submitJobs(values, false) }
	e.relayer.Relay = e.linker
	gate := gatekeeper.New(e.controller, time.Now, logger)
	gate.Memory = s.Memory << 20
	e.linker.Gate = gate
	e.Acceptor = &acceptor.Acceptor{Own: e.journal, Leader: e.linker, Submitter: e.linker, Gate: gate, Logger: logger}
	e.Inspector = &inspector.Inspector{Viewer: e.controller, Leader: e.linker, Replica: e}
	e.linker.Inspector = e.Inspector
	e.deputy = &delegator.Deputy{Workers: p.Workers, Leader: e.linker, Logger: logger, Polls: e.metricTimer("deputy.looks"), Orders: e.metricTimer("deputy.orders")}
	e.linker.Deputy, e.linker.Delegator, e.linker.OnLinked = e.deputy, e.delegator, e.updateDeputies
	e.registerMetrics()
	return e
}

func (e *Entry) policy() keeper.Policy {
	return keeper.Policy{
		Leader:             leader.Policy{Lease: min(e.settings.Lease, maxLease), LongestLease: e.settings.Lease, MaxStaleRenewal: renewalWindow, MinPassInterval: minPlacementInterval, Far: e.settings.Far},
		LeaderTimeout:      leaderTimeout,
		LinkLostTimeout:    linkLostTimeout,
		UnreachableTimeout: unreachableTimeout,
		MaxGrant:           delegator.MaxGrant,
		Retention:          2 * e.settings.Keep,

		ReplicaDelay:    replicaDelay,
		SmallShareDelay: smallShareDelay,
		MinReplicaTime:  minReplicaTime,
		WeakDelay:       weakDelay,
		MinLeadTime:     minLeadTime,
	}
}

// Config returns the current configuration, if there is one.
func (e *Entry) Config() (router.Config, bool) { return e.reading.Load().Config() }

// Judge decides whether a request may be carried out, by its key and whether its route is
// public.
func (e *Entry) Judge(key router.KeyHash, public bool) authenticator.Decision {
	return e.reading.Load().Judge(e.keyPolicy(), key, public, e.Clock())
}

func (e *Entry) keyPolicy() authenticator.Policy {
	p := authenticator.Policy{Apply: e.settings.Apply.Duration()}
	if e.settings.Strict {
		p.Revoke = e.settings.Revoke.Duration()
	}
	return p
}

// Available reports whether the entry is ready for requests, and the reason if it
// is not.
func (e *Entry) Available() (bool, string) {
	s := e.controller.Snapshot()
	reading := e.reading.Load()
	_, configured := reading.Config()
	switch {
	case e.draining.Load():
		return false, "stopping"
	case !configured:
		return false, "no configuration yet"
	case !reading.Judges(e.keyPolicy(), e.Clock()) && (s.Role() == keeper.Leading || e.linker.LeaderReadsLog()):
		// Others can read the log. If no entry can, all of them stay for those who need no key.
		return false, "the configuration is too old to check keys"
	case s.Linked() && s.Role() != keeper.Leading:
		return true, "" // the leader accepts jobs for this entry
	case time.Since(s.LastRead()) > maxReadyAge:
		return false, "neither the leader nor the log can be reached"
	}
	return true, ""
}

// Leading reports whether the entry leads.
func (e *Entry) Leading() bool { return e.controller.Snapshot().Role() == keeper.Leading }

// Outage returns for how long the log has been unavailable, or 0 if it is available.
func (e *Entry) Outage() time.Duration { return e.journal.Outage() }

// Stopping reports whether the entry was asked to stop.
func (e *Entry) Stopping() bool { return e.draining.Load() }

// Run serves until the context is cancelled and then stops gracefully.
func (e *Entry) Run(ctx context.Context) error {
	working, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	e.ctx = working
	listeners, err := e.listen()
	if err != nil {
		return err
	}
	tree := suture.New("entry", suture.Spec{EventHook: e.logServiceEvent, PassThroughPanics: true})
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
	e.discards.Wait()
	e.deputy.Wait()
	e.logger.Info("entry stopped")
	return nil
}

func (e *Entry) logServiceEvent(event suture.Event) {
	e.logger.WithField("event", event.String()).Warn("service ended")
}

// listeners are the open sockets, which share the budgets of the entry.
type listeners struct{ callers, ready, peers, metrics *limiter.Listener }

func (e *Entry) listen() (listeners, error) {
	var l listeners
	budgets := limiter.NewBudgets(e.settings.Memory<<20, e.settings.Descriptors)
	owner := limiter.New(budgets.Bytes, e.countClosed)
	for _, o := range []struct {
		name    string
		address string
		most    int
		limits  func() limiter.Limits
		target  **limiter.Listener
	}{
		{"callers", e.settings.Listen.Callers, budgets.Connections, e.limits, &l.callers},
		{"ready", e.settings.Listen.Ready, maxReadyConnections, defaultLimits, &l.ready},
		{"peers", e.settings.Listen.Peers, budgets.Connections / 2, defaultLimits, &l.peers},
		{"metrics", e.settings.Listen.Metrics, maxMetricsConnections, defaultLimits, &l.metrics},
	} {
		opened, err := net.Listen("tcp", o.address)
		if err != nil {
			return l, errors.Wrapf(err, "open listener for %s at %s", o.name, o.address)
		}
		*o.target = owner.Listen(opened, o.most, o.limits)
	}
	return l, nil
}

// service adapts a function to the supervisor's interface.
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
		return errors.Mark(e.linker.Listen(ctx, l.peers.Streams()), suture.ErrDoNotRestart)
	}})
	tree.Add(e.every("ticks", tickPeriod, e.tick))
	tree.Add(e.every("survey", countsPeriod, func() {
		e.logCounts()
		e.logClosed()
	}))
	tree.Add(e.every("deputies", countsPeriod, e.updateDeputies))
	tree.Add(e.configFollower())
	tree.Add(e.leadsFollower())
	var servers []*server
	for _, o := range []struct {
		name     string
		handler  http.Handler
		listener *limiter.Listener
	}{{"callers", e.Callers, l.callers}, {"ready", e.Ready, l.ready}, {"metrics", e.metricsHandler(), l.metrics}} {
		server := newServer(o.handler, o.listener)
		servers = append(servers, server)
		tree.Add(service{o.name, server.serve})
	}
	return servers
}

// every returns a service that calls act once a period.
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
	e.controller.Submit(keeper.Ticked{Sent: time.Now(), Jitter: time.Duration(rand.Int64N(int64(maxClaimJitter)))})
}
