package conductor

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/endivelock/endivelock/internal/classifier"
	"github.com/endivelock/endivelock/internal/commands/commander"
	"github.com/endivelock/endivelock/internal/commands/recorder"
	"github.com/endivelock/endivelock/internal/encoder"
	"github.com/endivelock/endivelock/internal/keeper"
	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
	"github.com/endivelock/endivelock/internal/replicator"
)

const (
	// claimTimeout bounds one call of a claim.
	claimTimeout = 700 * time.Millisecond
	// fenceAttempts is how often the raising of the epoch is tried.
	fenceAttempts = 4
	// discardTimeout bounds the dropping of an ended job.
	discardTimeout = 3 * time.Second
	// resignTimeout bounds what a leader that stops still waits for.
	resignTimeout = time.Second
)

// command are the parts of an entry that leads.
type command struct {
	epoch     int64
	cancel    context.CancelFunc
	group     errgroup.Group
	recorder  *recorder.Recorder
	commander *commander.Commander
	listed    map[string]leader.Listing // workers as last told to the leader
}

// epochSink turns the leader's events into events of one epoch.
type epochSink struct{ entry *Entry }

// Submit takes an event for the leader of an epoch.
func (s epochSink) Submit(epoch int64, event leader.Event) {
	s.entry.controller.Submit(keeper.Led{Epoch: epoch, Event: event})
}

// claim tries to become the leader. The claim holds if no other was written
// since the runs were last read; raising the epoch then shuts out earlier
// leaders, and what they wrote before that is read.
func (e *Entry) claim(at int64) {
	began := time.Now()
	position, err := e.ports.Platform.Append(e.ctx, replicator.Append{
		Stream: keeper.Runs, Values: []replicator.Value{encoder.Claiming(e.settings.Name)}, Expected: &at, Timeout: claimTimeout,
	})
	if err != nil {
		if classifier.Is(err, classifier.Moved) {
			e.catchUpRuns()
		}
		e.controller.Submit(keeper.ClaimFailed{Why: err.Error()})
		return
	}
	claimed := time.Now()
	// Offsets never repeat, so neither do epochs.
	epoch := position.First + 1
	for _, writer := range []string{recorder.Writer, recorder.SpareWriter} {
		if err := e.raise(writer, epoch); err != nil {
			e.controller.Submit(keeper.ClaimFailed{Why: err.Error()})
			return
		}
	}
	raised := time.Now()
	if _, err := e.readRuns(e.ctx, position.First); err != nil {
		e.controller.Submit(keeper.ClaimFailed{Why: err.Error()})
		return
	}
	if _, err := e.readJobs(e.ctx); err != nil {
		e.controller.Submit(keeper.ClaimFailed{Why: err.Error()})
		return
	}
	e.logger.WithFields(logrus.Fields{
		"epoch": epoch, "claimms": claimed.Sub(began).Milliseconds(), "fencems": raised.Sub(claimed).Milliseconds(), "readms": time.Since(raised).Milliseconds(),
	}).Info("claim holds")
	e.controller.Submit(keeper.Claimed{Epoch: epoch})
}

// catchUpRuns reads what a claim did not know of, so that the next one need not
// wait for the follower's next read.
func (e *Entry) catchUpRuns() {
	ctx, cancel := context.WithTimeout(e.ctx, claimTimeout)
	defer cancel()
	if _, err := e.readRuns(ctx, e.controller.Snapshot().Offset(keeper.Runs)); err != nil {
		e.logger.WithError(err).Info("runs not read after a claim that came late")
	}
}

// raise sets the epoch of the appends of a leader under one of its names.
func (e *Entry) raise(writer string, epoch int64) error {
	var err error
	for range fenceAttempts {
		_, err = e.ports.Platform.Append(e.ctx, replicator.Append{
			Stream: keeper.Runs, Writer: writer, Epoch: epoch, Timeout: claimTimeout,
		})
		if err == nil || classifier.Is(err, classifier.Fenced) || classifier.Is(err, classifier.Refused) {
			break
		}
		e.logger.WithField("epoch", epoch).WithError(err).Warn("epoch not raised yet")
	}
	return errors.Wrap(err, "raise epoch")
}

// lead starts the parts of a leader.
func (e *Entry) lead(epoch int64) {
	e.unfollowRuns()
	ctx, cancel := context.WithCancel(e.ctx)
	logger := e.logger.WithField("epoch", epoch)
	lead := keeper.Lead{Epoch: epoch, Name: e.settings.Name, Address: e.settings.Listen.Peers}
	c := &command{epoch: epoch, cancel: cancel, listed: map[string]leader.Listing{}}
	c.recorder = &recorder.Recorder{Log: e.relayer, Sink: e.controller, Logger: logger, Lead: lead, Appends: e.timerOf("append.runs")}
	c.commander = &commander.Commander{
		Workers: e.ports.Workers, Sink: epochSink{e}, Logger: logger, Epoch: epoch, Lease: min(e.settings.Lease, longestLease), Renewal: renewal,
		Confirm: c.recorder.Confirmed, Looks: e.timerOf("worker.looks"), Orders: e.timerOf("worker.orders"),
	}
	c.commander.Start(ctx)
	workers := &replicator.Follower{
		Stream: e.ports.Platform.WorkerStream(), Reader: e.ports.Platform, Logger: logger, PollTimeout: readWait, From: -1,
		Pause:  func() time.Duration { return listPause },
		Handle: func(b replicator.Batch) { e.takeWorkers(c, b) },
	}
	c.group.Go(func() error { return c.recorder.Serve(ctx) })
	c.group.Go(func() error { return workers.Serve(ctx) })
	e.mu.Lock()
	e.command = c
	e.mu.Unlock()
	e.group.Go(func() error {
		e.controller.Submit(keeper.Led{Epoch: epoch, Event: leader.CallersChanged{Callers: e.linker.Callers()}})
		return nil
	})
}

func (e *Entry) timerOf(name string) metrics.Timer {
	return metrics.GetOrRegisterTimer(name, e.Registry)
}

// leading returns the parts of the leader of an epoch, or nil.
func (e *Entry) leading(epoch int64) *command {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.command == nil || e.command.epoch != epoch {
		return nil
	}
	return e.command
}

// resign ends the parts of a leader.
func (e *Entry) resign(r keeper.Resign) {
	c := e.leading(r.Epoch)
	if c == nil {
		return
	}
	e.mu.Lock()
	e.command = nil
	e.mu.Unlock()
	c.cancel()
	e.group.Go(func() error {
		_ = c.group.Wait()
		bounded, cancel := context.WithTimeout(e.ctx, resignTimeout)
		defer cancel()
		if r.Graceful {
			c.recorder.Resign(bounded)
		}
		e.linker.Resign(bounded, r.Epoch)
		e.followRuns()
		c.commander.Wait()
		return nil
	})
}

// takeWorkers tells the leader what changed in the list of workers.
func (e *Entry) takeWorkers(c *command, b replicator.Batch) {
	sink := epochSink{e}
	seen := map[string]bool{}
	for _, v := range b.Values {
		seen[v.Name] = true
		if v.Data == nil {
			e.unlist(c, v.Name)
			continue
		}
		listing, err := e.ports.Platform.Worker(v.Name, v.Data)
		if err != nil {
			e.logger.WithField("offset", v.Offset).WithError(err).Debug("entry ignored")
			e.unlist(c, v.Name)
			continue
		}
		if old, ok := c.listed[v.Name]; ok && same(old, listing) {
			continue
		}
		c.listed[v.Name] = listing
		sink.Submit(c.epoch, leader.Listed{Listing: listing})
	}
	if !b.Snapshot {
		return
	}
	for id := range c.listed {
		if !seen[id] {
			e.unlist(c, id)
		}
	}
}

func (e *Entry) unlist(c *command, id string) {
	if _, ok := c.listed[id]; ok {
		delete(c.listed, id)
		epochSink{e}.Submit(c.epoch, leader.Unlisted{ID: id})
	}
}

// same reports whether two listings of a worker differ in nothing that counts.
func same(a, b leader.Listing) bool {
	return a.Address == b.Address && a.Service == b.Service && a.Life == b.Life && a.Room == b.Room &&
		a.Rack == b.Rack && a.Zone == b.Zone && a.Draining == b.Draining && len(a.Labels) == len(b.Labels)
}

// discard drops an ended job from the stream of jobs. If that fails, the next
// leader does it.
func (e *Entry) discard(d keeper.Discard) {
	e.group.Go(func() error {
		ctx, cancel := context.WithTimeout(e.ctx, discardTimeout)
		defer cancel()
		err := e.journal.Add(ctx, replicator.Value{Name: string(d.Job)})
		if err == nil && d.InRuns {
			err = e.discardSpared(ctx, d.Job)
		}
		if err != nil {
			e.logger.WithField("job", string(d.Job)).WithError(err).Info("ended job not dropped from the log yet")
		}
		return nil
	})
}

// discardSpared drops an ended job from the runs.
func (e *Entry) discardSpared(ctx context.Context, id ledger.ID) error {
	values := []replicator.Value{{Name: keeper.FallbackName(string(id))}, {Name: keeper.FallbackName(keeper.CancelName(id))}}
	_, err := e.ports.Platform.Append(ctx, replicator.Append{Stream: keeper.Runs, Values: values})
	return err
}

// spare returns where accepted jobs go while their stream refuses them: among
// the runs if this entry leads, since a leader reads its own writes only.
func (e *Entry) spare() (recorder.Spare, bool) {
	s := e.controller.Snapshot()
	return recorder.Spare{Stream: keeper.Runs, Epoch: s.Lead().Epoch, Name: keeper.FallbackName}, s.Role() == keeper.Leading
}
