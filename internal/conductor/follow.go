package conductor

import (
	"context"
	"math"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/endivelock/endivelock/internal/encoder"
	"github.com/endivelock/endivelock/internal/keeper"
	"github.com/endivelock/endivelock/internal/replicator"
	"github.com/endivelock/endivelock/internal/timer"
)

func (e *Entry) configFollower() *replicator.Follower {
	stream, name := e.ports.Platform.ConfigName()
	return &replicator.Follower{
		Stream: stream, Reader: e.ports.Platform, Logger: e.logger, PollTimeout: readWait, From: -1,
		Handle: func(b replicator.Batch) {
			for _, v := range b.Values {
				if v.Name == name && v.Data != nil {
					e.takeConfig(v)
				}
			}
		},
	}
}

// takeConfig puts a configuration in force unless a newer one is.
func (e *Entry) takeConfig(v replicator.Value) {
	log := e.logger.WithField("offset", v.Offset)
	c, err := e.ports.Platform.Config(v.Data)
	if err != nil {
		log.WithError(err).Error("configuration not read, the last one stays in force")
		return
	}
	log = log.WithFields(logrus.Fields{"version": c.Version, "routes": len(c.Routes)})
	if old := e.config.Load(); old != nil && old.Version >= c.Version {
		log.WithField("inforce", old.Version).Info("configuration is not newer")
		return
	}
	e.config.Store(&c)
	log.Info("configuration in force")
}

func (e *Entry) jobsFollower() *replicator.Follower {
	return &replicator.Follower{
		Stream: keeper.Jobs, Reader: e.ports.Platform, Logger: e.logger, PollTimeout: readWait, From: -1,
		Pause: e.pause,
		Handle: func(b replicator.Batch) {
			e.journal.Confirm()
			e.controller.Submit(e.jobsRead(b))
		},
	}
}

// added tells the control thread of jobs that this entry has written, and the
// leader, which need not wait until it reads them, or could not.
func (e *Entry) added(values []replicator.Value, spared bool) {
	if e.controller.Snapshot().Role() != keeper.Leading {
		e.group.Go(func() error {
			e.tell(values)
			return nil
		})
	}
	e.learned(values, spared)
}

const (
	// tellAttempts and tellPause bound how long an entry tries to tell the leader
	// of its jobs: a link is made anew within a second or two, and a leader that
	// reads the log needs no telling.
	tellAttempts = 8
	tellPause    = 250 * time.Millisecond
)

// tell tells the leader of jobs that this entry has written by itself.
func (e *Entry) tell(values []replicator.Value) {
	var err error
	for range tellAttempts {
		if err = e.linker.Tell(e.ctx, values); err == nil || e.ctx.Err() != nil {
			return
		}
		timer.Sleep(e.ctx, tellPause)
	}
	e.logger.WithError(err).Info("leader not told of jobs, it has to read them")
}

// learned tells the control thread of jobs that are in the log.
func (e *Entry) learned(values []replicator.Value, spared bool) {
	read := e.jobsRead(replicator.Batch{Values: values, Next: -1})
	for i := range read.Changes {
		if read.Changes[i].Spared = spared; spared {
			read.Changes[i].Offset = math.MaxInt64 // no offset of the stream of jobs
		}
	}
	e.controller.Submit(read)
}

// pause returns the time between two reads of the jobs.
func (e *Entry) pause() time.Duration {
	if e.controller.Snapshot().Role() == keeper.Leading {
		return leadPause
	}
	return e.followPause(jobsPause)
}

// followPause returns the time between two reads of an entry that does not
// lead: that of an entry which may lead next, or a longer one.
func (e *Entry) followPause(usual time.Duration) time.Duration {
	if e.controller.Snapshot().Weak() {
		return weakPause
	}
	return usual
}

func (e *Entry) jobsRead(b replicator.Batch) keeper.JobsRead {
	read := keeper.JobsRead{Next: b.Next, Whole: b.Snapshot}
	for _, v := range b.Values {
		c, err := encoder.JobChange(v)
		if err != nil {
			e.logger.WithError(err).Error("record ignored")
			continue
		}
		read.Changes = append(read.Changes, c)
	}
	return read
}

func (e *Entry) runsRead(b replicator.Batch) keeper.RunsRead {
	read := keeper.RunsRead{Next: b.Next, Whole: b.Snapshot}
	for _, v := range b.Values {
		c, err := encoder.RunChange(v)
		if err != nil {
			e.logger.WithError(err).Error("record ignored")
			continue
		}
		read.Changes = append(read.Changes, c)
	}
	return read
}

// followRuns reads the runs anew until the entry leads.
func (e *Entry) followRuns() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.following != nil {
		return
	}
	ctx, cancel := context.WithCancel(e.ctx)
	e.following = cancel
	f := &replicator.Follower{
		Stream: keeper.Runs, Reader: e.ports.Platform, Logger: e.logger, PollTimeout: readWait, From: -1,
		Pause:  func() time.Duration { return e.followPause(runsPause) },
		Handle: func(b replicator.Batch) { e.controller.Submit(e.runsRead(b)) },
	}
	f.OnError = func(error) { e.controller.Submit(keeper.ReadFailed{}) }
	e.group.Go(func() error { return f.Serve(ctx) })
}

func (e *Entry) unfollowRuns() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.following != nil {
		e.following()
		e.following = nil
	}
}

// CatchUp returns once the replica has all that was in the log about accepted
// jobs when it was called. An ended job is dropped from the jobs after its end is
// among the runs, so the runs are read after the jobs. Only one call reads at a
// time: the next one then has little left to read.
func (e *Entry) CatchUp(ctx context.Context) error {
	select {
	case e.catching <- struct{}{}:
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for others who read the log")
	}
	defer func() { <-e.catching }()
	jobs, err := e.readJobs(ctx)
	if err != nil {
		return err
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

// readJobs reads the stream of jobs up to its end and returns that.
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
			return b.Next, nil
		}
	}
}

// readRuns reads the stream of runs from an offset up to its end and returns
// that.
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
			return b.Next, nil
		}
	}
}
