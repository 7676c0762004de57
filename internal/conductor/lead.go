package conductor

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/endivelock/endivelock/internal/classifier"
	"github.com/endivelock/endivelock/internal/commands/announcer"
	"github.com/endivelock/endivelock/internal/commands/commander"
	"github.com/endivelock/endivelock/internal/commands/delegator"
	"github.com/endivelock/endivelock/internal/commands/recorder"
	"github.com/endivelock/endivelock/internal/encoder"
	"github.com/endivelock/endivelock/internal/keeper"
	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/linker"
	"github.com/endivelock/endivelock/internal/replicator"
	"github.com/endivelock/endivelock/internal/timer"
)

const (
	// claimTimeout bounds each call to the log that a claim makes.
	claimTimeout = 700 * time.Millisecond
	// fenceAttempts is the number of attempts to raise the epoch.
	fenceAttempts = 4
	// discardTimeout bounds the calls that drop an ended job.
	discardTimeout = 3 * time.Second
	// minAppendTime is the least time that an append by an entry itself is taken to keep its
	// stream busy.
	minAppendTime = 10 * time.Millisecond
	// maxAppendSpacing bounds what a slow append adds to the spacing of the next one. It is how
	// long clients wait if they don't say, so that the values of a lonely entry get a turn.
	maxAppendSpacing = 3 * time.Second
	// resignTimeout bounds the calls that announce a resignation.
	resignTimeout = time.Second
)

// leaderServices are the services of an entry that leads.
type leaderServices struct {
	epoch     int64
	cancel    context.CancelFunc
	group     errgroup.Group
	recorder  *recorder.Recorder
	announcer *announcer.Announcer
	commander *commander.Commander
	delegator *delegator.Delegator
	workers   map[string]leader.Listing // listed workers as last submitted to the leader
}

// epochSink submits events of package leader to the control thread, tagged with
// their epoch.
type epochSink struct{ entry *Entry }

// Submit submits an event for the leader of an epoch.
func (s epochSink) Submit(epoch int64, event leader.Event) {
	s.entry.controller.Submit(keeper.LeaderEvent{Epoch: epoch, Event: event})
}

// claim tries to become the leader. The claim succeeds if nothing was written to
// the runs since the entry last read them. Raising the epoch then fences off earlier
// leaders, and what they wrote before that is read.
func (e *Entry) claim(at int64) {
	began := time.Now()
	position, err := e.ports.Platform.Append(e.ctx, replicator.Append{
		Stream: keeper.Runs, Values: []replicator.Value{encoder.LeaderClaim(e.settings.Name)}, Expected: &at, Timeout: claimTimeout,
	})
	if err != nil {
		if classifier.Is(err, classifier.OffsetMismatch) {
			e.catchUpRuns()
		}
		e.controller.Submit(keeper.ClaimFailed{Why: err.Error()})
		return
	}
	claimed := time.Now()
	// Offsets never repeat, so epochs that are derived from them do not either.
	epoch := position.First + 1
	for _, writer := range []string{recorder.Writer, recorder.FallbackWriter} {
		if err := e.raiseEpoch(writer, epoch); err != nil {
			e.controller.Submit(keeper.ClaimFailed{Why: err.Error()})
			return
		}
	}
	raised := time.Now()
	runs, err := e.readRuns(e.ctx, position.First)
	if err != nil {
		e.controller.Submit(keeper.ClaimFailed{Why: err.Error()})
		return
	}
	jobs, err := e.readJobs(e.ctx)
	if err != nil {
		e.controller.Submit(keeper.ClaimFailed{Why: err.Error()})
		return
	}
	e.logger.WithFields(logrus.Fields{
		"epoch": epoch, "claimms": claimed.Sub(began).Milliseconds(), "fencems": raised.Sub(claimed).Milliseconds(), "readms": time.Since(raised).Milliseconds(),
	}).Info("claim succeeded")
	e.controller.Submit(keeper.Claimed{Epoch: epoch, Jobs: jobs, Runs: runs})
}

// catchUpRuns reads the records that made a claim fail, so that the next claim need
// not wait for the follower's next read.
func (e *Entry) catchUpRuns() {
	ctx, cancel := context.WithTimeout(e.ctx, claimTimeout)
	defer cancel()
	if _, err := e.readRuns(ctx, e.controller.Snapshot().Offset(keeper.Runs)); err != nil {
		e.logger.WithError(err).Info("reading the runs after a lost claim failed")
	}
}

// raiseEpoch sets the epoch of one of the leader's writers at the log, which then
// refuses appends of earlier leaders.
func (e *Entry) raiseEpoch(writer string, epoch int64) error {
	var err error
	for range fenceAttempts {
		_, err = e.ports.Platform.Append(e.ctx, replicator.Append{
			Stream: keeper.Runs, Writer: writer, Epoch: epoch, Timeout: claimTimeout,
		})
		if err == nil || classifier.Is(err, classifier.Fenced) || classifier.Is(err, classifier.Refused) {
			break
		}
		e.logger.WithField("epoch", epoch).WithError(err).Warn("raising the epoch failed")
	}
	return errors.Wrap(err, "raise epoch")
}

// startLeading starts the services of a leader.
func (e *Entry) startLeading(f keeper.StartLeading) {
	epoch := f.Epoch
	e.unfollow(keeper.Runs)
	ctx, cancel := context.WithCancel(e.ctx)
	logger := e.logger.WithField("epoch", epoch)
	lead := keeper.LeaderRecord{Epoch: epoch, Name: e.settings.Name, Address: e.settings.Listen.Peers}
	c := &leaderServices{epoch: epoch, cancel: cancel, workers: map[string]leader.Listing{}}
	c.recorder = &recorder.Recorder{Log: e.relayer, Sink: e.controller, Logger: logger, Lead: lead, End: e.controller.Snapshot().Offset(keeper.Runs), Clock: f.Clock, Leases: f.Leases, Renewal: renewalWindow, Grant: delegator.MaxGrant, Appends: e.metricTimer("append.runs")}
	c.announcer = &announcer.Announcer{Log: e.relayer, Logger: logger, Lead: lead, Standbys: e.linker.Standbys}
	c.commander = &commander.Commander{
		Workers: e.ports.Workers, Sink: epochSink{e}, Logger: logger, Epoch: epoch, Lease: min(e.settings.Lease, maxLease), Renewal: renewalWindow,
		LastConfirmed: c.recorder.LastConfirmed, Fence: c.recorder.Fence, Polls: e.metricTimer("worker.looks"), Orders: e.metricTimer("worker.orders"),
	}
	c.commander.Start(ctx)
	c.delegator = &delegator.Delegator{
		Local: c.commander, Link: e.linker, Sink: epochSink{e}, Logger: logger, Epoch: epoch, Lease: c.commander.Lease, Fence: c.recorder.Fence,
		MayGrant: func() bool {
			return timer.Elapsed(c.recorder.LastConfirmed(), time.Now()) < renewalWindow-delegator.MaxGrant
		},
	}
	c.delegator.Start(ctx)
	logger.WithFields(logrus.Fields{"clock": f.Clock.Reading(time.Now()), "othersms": time.Until(f.Leases.Others).Milliseconds(), "named": len(f.Leases.Until)}).Info("leases of earlier leaders")
	workers := &replicator.Follower{
		Stream: e.ports.Platform.WorkerStream(), Reader: e.ports.Platform, Logger: logger, PollTimeout: readWait, From: -1,
		Pause:  func() time.Duration { return workersPause },
		Handle: func(b replicator.Batch) { e.updateWorkers(c, b) },
	}
	c.group.Go(func() error { return c.recorder.Serve(ctx) })
	c.group.Go(func() error { return c.announcer.Serve(ctx) })
	c.group.Go(func() error { return workers.Serve(ctx) })
	e.mu.Lock()
	e.active = c
	e.mu.Unlock()
	e.group.Go(func() error {
		e.linker.SubmitLinked()
		return nil
	})
}

func (e *Entry) metricTimer(name string) metrics.Timer {
	return metrics.GetOrRegisterTimer(name, e.Registry)
}

// activeAt returns the services of a leader if this entry leads with an epoch, or
// nil.
func (e *Entry) activeAt(epoch int64) *leaderServices {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.active == nil || e.active.epoch != epoch {
		return nil
	}
	return e.active
}

// delegator returns the delegator of this entry while it leads.
func (e *Entry) delegator() (linker.Delegator, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.active == nil {
		return nil, false
	}
	return e.active.delegator, true
}

// updateDeputies passes the linked entries on to the delegator, if this entry leads.
func (e *Entry) updateDeputies() {
	e.deputiesMu.Lock() // an older set must not arrive last
	defer e.deputiesMu.Unlock()
	e.mu.Lock()
	c := e.active
	e.mu.Unlock()
	if c != nil {
		c.delegator.SetEntries(e.linker.Entries())
	}
}

// stopLeading stops the services of a leader and follows the runs again.
func (e *Entry) stopLeading(r keeper.Resign) {
	c := e.activeAt(r.Epoch)
	if c == nil {
		return
	}
	c.cancel() // first: an entry without active services calls no workers
	e.mu.Lock()
	e.active = nil
	e.mu.Unlock()
	e.group.Go(func() error {
		_ = c.group.Wait()
		bounded, cancel := context.WithTimeout(e.ctx, resignTimeout)
		defer cancel()
		if r.Graceful {
			c.recorder.Resign(bounded, r.Leases)
		}
		e.linker.Resign(bounded, r.Epoch)
		if r.Graceful {
			c.announcer.Resign(bounded)
		}
		e.follow(e.runsFollower())
		c.delegator.Wait()
		c.commander.Wait()
		return nil
	})
}

// updateWorkers submits the changes of the list of workers to the leader.
func (e *Entry) updateWorkers(c *leaderServices, b replicator.Batch) {
	sink := epochSink{e}
	seen := map[string]bool{}
	for _, v := range b.Values {
		seen[v.Name] = true
		if v.Data == nil {
			e.removeWorker(c, v.Name)
			continue
		}
		listing, err := e.ports.Platform.Worker(v.Name, v.Data)
		if err != nil {
			e.logger.WithField("offset", v.Offset).WithError(err).Debug("worker ignored, since decoding its record failed")
			e.removeWorker(c, v.Name)
			continue
		}
		if old, ok := c.workers[v.Name]; ok && equivalent(old, listing) {
			continue
		}
		c.workers[v.Name] = listing
		sink.Submit(c.epoch, leader.Listed{Listing: listing})
	}
	if !b.Snapshot {
		return
	}
	for id := range c.workers {
		if !seen[id] {
			e.removeWorker(c, id)
		}
	}
}

func (e *Entry) removeWorker(c *leaderServices, id string) {
	if _, ok := c.workers[id]; ok {
		delete(c.workers, id)
		epochSink{e}.Submit(c.epoch, leader.Unlisted{ID: id})
	}
}

// equivalent reports whether two listings of a worker are the same to the leader.
func equivalent(a, b leader.Listing) bool {
	return a.Address == b.Address && a.Service == b.Service && a.Incarnation == b.Incarnation && a.Capacity == b.Capacity &&
		a.Rack == b.Rack && a.Zone == b.Zone && a.Draining == b.Draining && len(a.Labels) == len(b.Labels)
}

// appendSpacing returns the least time between two of this entry's own appends to the
// stream of jobs, of which the last one took a time. If all entries keep to it, they have
// about one append in progress between them. The leader appends for all and needs none.
func (e *Entry) appendSpacing(took time.Duration) time.Duration {
	if e.controller.Snapshot().Role() == keeper.Leading {
		return 0
	}
	entries := time.Duration(e.linker.Known())
	return max(entries*minAppendTime, min(entries*took, maxAppendSpacing))
}

// discard drops the records of an ended job from the streams. What fails is left to the
// next attempt, of this leader or of a later one.
func (e *Entry) discard(d keeper.Discard) {
	e.discards.Launch(string(d.Job), func() {
		ctx, cancel := context.WithTimeout(e.ctx, discardTimeout)
		defer cancel()
		var group errgroup.Group
		for _, name := range d.FromJobs {
			group.Go(func() error { return e.journal.Drop(ctx, name) })
		}
		if len(d.FromRuns) > 0 {
			group.Go(func() error { return e.dropFromRuns(ctx, d.FromRuns) })
		}
		if err := group.Wait(); err != nil {
			e.logger.WithField("job", string(d.Job)).WithError(err).Info("dropping an ended job from the log failed; to be repeated")
		}
	})
}

// dropFromRuns drops records of jobs from the stream of runs, which a leader does not read.
func (e *Entry) dropFromRuns(ctx context.Context, names []string) error {
	values := make([]replicator.Value, len(names))
	for i, name := range names {
		values[i].Name = name
	}
	position, err := e.ports.Platform.Append(ctx, replicator.Append{Stream: keeper.Runs, Values: values})
	if err != nil {
		return errors.Wrap(err, "drop from the stream of runs")
	}
	for i := range values {
		values[i].Name, _ = keeper.SplitFallback(values[i].Name)
		values[i].Offset = position.First + int64(i)
	}
	e.submitJobs(values, true)
	return nil
}

// fallback returns where to write accepted jobs while the stream of jobs refuses
// them: to the stream of runs, but only if this entry leads, since a leader knows
// only its own records there.
func (e *Entry) fallback() (recorder.Fallback, bool) {
	s := e.controller.Snapshot()
	return recorder.Fallback{Stream: keeper.Runs, Epoch: s.Lead().Epoch, Name: keeper.FallbackName}, s.Role() == keeper.Leading
}
