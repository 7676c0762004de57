package conductor

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/endivelock/endivelock/internal/encoder"
	"github.com/endivelock/endivelock/internal/keeper"
	"github.com/endivelock/endivelock/internal/ledger"
	"github.com/endivelock/endivelock/internal/replicator"
	"github.com/endivelock/endivelock/internal/timer"
)

func (e *Entry) configFollower() *replicator.Follower {
	stream, name := e.ports.Platform.ConfigName()
	return &replicator.Follower{
		Stream: stream, Reader: e.ports.Platform, Logger: e.logger, PollTimeout: readWait, From: -1,
		Clock: func() time.Duration { return e.Clock() },
		Handle: func(b replicator.Batch) {
			// The stream keeps the newest record of each name, so a snapshot without the
			// configuration shows none.
			current := e.newestInForce && !b.Snapshot
			for _, v := range b.Values {
				if v.Name == name {
					current = e.applyConfig(v)
				}
			}
			e.newestInForce = current
			if current && b.Complete {
				confirmed := e.reading.Load().WithConfirmation(b.Sent)
				e.reading.Store(&confirmed)
			}
		},
	}
}

// applyConfig makes a configuration the current one if its version is newer. It reports
// whether the record is the version in force.
func (e *Entry) applyConfig(v replicator.Value) bool {
	log := e.logger.WithField("offset", v.Offset)
	if v.Data == nil {
		log.Warn("the configuration was dropped; the previous one stays in force")
		return false
	}
	c, err := e.ports.Platform.Config(v.Data)
	if err != nil {
		log.WithError(err).Error("decoding the configuration failed; the previous one stays in force")
		return false
	}
	log = log.WithFields(logrus.Fields{"version": c.Version, "routes": len(c.Routes), "workspaces": len(c.Workspaces)})
	reading := *e.reading.Load()
	if old, ok := reading.Config(); ok && old.Version >= c.Version {
		log.WithField("inforce", old.Version).Info("configuration ignored, since its version is not newer")
		return old.Version == c.Version
	}
	reading = reading.WithConfig(c)
	e.reading.Store(&reading)
	e.controller.Submit(keeper.ConfigRead{Version: c.Version, Workspaces: c.Accounts()})
	log.Info("configuration in force")
	return true
}

// leadsFollower follows who leads. Every entry does, whereas only those that may
// have to lead follow the jobs and runs.
func (e *Entry) leadsFollower() *replicator.Follower {
	return &replicator.Follower{
		Stream: keeper.Leads, Reader: e.ports.Platform, Logger: e.logger, PollTimeout: readWait, From: -1,
		Handle: func(b replicator.Batch) {
			e.journal.MarkAvailable()
			e.controller.Submit(e.leadsRead(b))
		},
	}
}

// leadsRead returns the event for a read of the stream of leaders.
func (e *Entry) leadsRead(b replicator.Batch) keeper.LeadsRead {
	var read keeper.LeadsRead
	for _, v := range b.Values {
		c, err := encoder.RunChange(v)
		if err != nil {
			e.logger.WithError(err).Error("record ignored, since decoding it failed")
			continue
		}
		if c.Lead != nil {
			read.Lead = c.Lead
		}
	}
	return read
}

func (e *Entry) jobsFollower() *replicator.Follower {
	return &replicator.Follower{
		Stream: keeper.Jobs, Reader: e.ports.Platform, Logger: e.logger, PollTimeout: readWait, From: -1,
		Pause: e.jobsReadPause,
		Handle: func(b replicator.Batch) {
			e.journal.MarkAvailable()
			e.controller.Submit(e.jobsRead(b))
		},
	}
}

func (e *Entry) runsFollower() *replicator.Follower {
	return &replicator.Follower{
		Stream: keeper.Runs, Reader: e.ports.Platform, Logger: e.logger, PollTimeout: readWait, From: -1,
		Pause:   func() time.Duration { return e.replicaPause(runsPause) },
		Handle:  func(b replicator.Batch) { e.controller.Submit(e.runsRead(b)) },
		OnError: func(error) { e.controller.Submit(keeper.ReadFailed{}) },
	}
}

// jobsAdded submits jobs that this entry has written to the control thread. It also
// sends them to the leader, which then need not read them first and may be unable
// to read the log.
func (e *Entry) jobsAdded(values []replicator.Value, inRuns bool) {
	if e.controller.Snapshot().Role() != keeper.Leading {
		e.group.Go(func() error {
			e.notifyLeader(values)
			return nil
		})
	}
	e.submitJobs(values, inRuns)
}

const (
	// notifyAttempts and notifyPause bound how long an entry tries to send its jobs to
	// the leader. A lost link is established again within a second or two, and a
	// leader that can read the log does not depend on the notification.
	notifyAttempts = 8
	notifyPause    = 250 * time.Millisecond
)

// notifyLeader sends jobs that this entry has written to the leader.
func (e *Entry) notifyLeader(values []replicator.Value) {
	var err error
	for range notifyAttempts {
		if err = e.linker.Announce(e.ctx, values); err == nil || e.ctx.Err() != nil {
			return
		}
		timer.Sleep(e.ctx, notifyPause)
	}
	e.logger.WithError(err).Info("notifying the leader of jobs failed; it has to read them from the log")
}

// submitJobs submits jobs that are in the log to the control thread, at their offsets in
// the stream of runs if inRuns is set, or in that of jobs.
func (e *Entry) submitJobs(values []replicator.Value, inRuns bool) {
	e.controller.Submit(e.jobChanges(replicator.Batch{Values: values, Next: -1}, inRuns))
}

// jobsReadPause returns the time until the next read of the jobs.
func (e *Entry) jobsReadPause() time.Duration {
	if e.controller.Snapshot().Role() == keeper.Leading {
		return leaderJobsPause
	}
	return e.replicaPause(jobsPause)
}

// replicaPause returns the time until the next read of a stream by an entry that
// does not lead: the usual one, or a longer one if the entry is weak and therefore
// unlikely to lead next.
func (e *Entry) replicaPause(usual time.Duration) time.Duration {
	if e.controller.Snapshot().Weak() {
		return weakPause
	}
	return usual
}

func (e *Entry) jobsRead(b replicator.Batch) keeper.JobsRead { return e.jobChanges(b, false) }

// jobChanges decodes a batch of records of jobs. Those that were applied before, when they
// were written or read, are not decoded again: the first record of a job counts.
func (e *Entry) jobChanges(b replicator.Batch, inRuns bool) keeper.JobsRead {
	read := keeper.JobsRead{Next: b.Next, Snapshot: b.Snapshot}
	known := e.controller.Snapshot()
	for _, v := range b.Values {
		c := keeper.JobChange{Offset: v.Offset, ID: ledger.ID(v.Name)}
		if b.Snapshot || v.Data == nil || !known.Holds(c.ID, false, inRuns) {
			var err error
			if c, err = encoder.JobChange(v); err != nil {
				e.logger.WithError(err).Error("record ignored, since decoding it failed")
				continue
			}
		}
		c.InRuns = inRuns
		read.Changes = append(read.Changes, c)
	}
	return read
}

func (e *Entry) runsRead(b replicator.Batch) keeper.RunsRead {
	read := keeper.RunsRead{Next: b.Next, Snapshot: b.Snapshot}
	for _, v := range b.Values {
		c, err := encoder.RunChange(v)
		if err != nil {
			e.logger.WithError(err).Error("record ignored, since decoding it failed")
			continue
		}
		read.Changes = append(read.Changes, c)
	}
	return read
}

// follow starts a follower, unless its stream is followed already.
func (e *Entry) follow(f *replicator.Follower) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.stopFollower[f.Stream]; ok {
		return
	}
	ctx, cancel := context.WithCancel(e.ctx)
	e.stopFollower[f.Stream] = cancel
	e.group.Go(func() error { return f.Serve(ctx) })
}

// unfollow ends the follower of a stream.
func (e *Entry) unfollow(stream string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if stop, ok := e.stopFollower[stream]; ok {
		stop()
		delete(e.stopFollower, stream)
	}
}

// errNoReplica is the error of a query that needs the replica of an entry without
// one.
var errNoReplica = errors.New("this entry has no replica of the log")

// CatchUp returns once the replica has everything about accepted jobs that was in
// the log at the time of the call. An ended job is dropped from the stream of jobs
// after its end is written to the runs, so the runs are read after the jobs. Only
// one call reads at a time, which leaves little to read for the next one.
func (e *Entry) CatchUp(ctx context.Context) error {
	select {
	case e.catchUpSlot <- struct{}{}:
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for others who read the log")
	}
	defer func() { <-e.catchUpSlot }()
	s := e.controller.Snapshot()
	if !s.Synced() && s.Role() != keeper.Leading {
		return errNoReplica
	}
	jobs, err := e.readJobs(ctx)
	if err != nil {
		return err
	}
	if s.Role() == keeper.Leading {
		// A leader has written all runs itself.
		_, err = e.controller.Await(ctx, func(s keeper.State) bool { return s.Offset(keeper.Jobs) >= jobs })
		return errors.Wrap(err, "read the jobs up to their end")
	}
	from := e.controller.Snapshot().Offset(keeper.Runs)
	if from < 0 {
		return errors.New("runs not read yet")
	}
	runs, err := e.readRuns(ctx, from)
	if err != nil {
		return err
	}
	_, err = e.controller.Await(ctx, func(s keeper.State) bool {
		return s.Offset(keeper.Jobs) >= jobs && (s.Offset(keeper.Runs) >= runs || s.Role() == keeper.Leading)
	})
	return errors.Wrap(err, "read the log up to its end")
}

// readJobs reads the stream of jobs up to its end and returns the offset of the
// end.
func (e *Entry) readJobs(ctx context.Context) (int64, error) {
	b := replicator.Batch{Stream: keeper.Jobs, Next: e.controller.Snapshot().Offset(keeper.Jobs)}
	if b.Next < 0 {
		values, next, err := e.ports.Platform.Newest(ctx, keeper.Jobs)
		if err != nil {
			return 0, errors.Wrap(err, "read accepted jobs")
		}
		b = replicator.Batch{Stream: keeper.Jobs, Values: values, Next: next, Snapshot: true}
		e.controller.Submit(e.jobsRead(b))
		b.Snapshot = false
	}
	for {
		values, end, err := e.ports.Platform.Read(ctx, keeper.Jobs, b.Next, 0)
		if err != nil {
			return 0, errors.Wrap(err, "read accepted jobs")
		}
		b.Values, b.Next = values, b.Next+int64(len(values))
		e.controller.Submit(e.jobsRead(b))
		if b.Next >= end || len(values) == 0 {
			return max(b.Next, end), nil
		}
	}
}

// readRuns reads the stream of runs from an offset up to its end and returns the
// offset of the end.
func (e *Entry) readRuns(ctx context.Context, from int64) (int64, error) {
	b := replicator.Batch{Stream: keeper.Runs, Next: from}
	for {
		values, end, err := e.ports.Platform.Read(ctx, keeper.Runs, b.Next, 0)
		if err != nil {
			return 0, errors.Wrap(err, "read runs")
		}
		b.Values, b.Next = values, b.Next+int64(len(values))
		e.controller.Submit(e.runsRead(b))
		if b.Next >= end || len(values) == 0 {
			return max(b.Next, end), nil
		}
	}
}
