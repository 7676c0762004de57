package conductor

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/endivelock/endivelock/internal/keeper"
	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/timer"
)

// adviceTimeout bounds a call for advice that is relayed by another entry.
const adviceTimeout = 5 * time.Second

// Perform performs effects in order, the records of a leader last and together. Effects that
// have to wait, such as calls, are only started and run in goroutines of their own.
func (e *Entry) Perform(effects []keeper.Effect) {
	var records []leader.Record
	var leases *leader.Leases
	var epoch int64 // one event starts one leadership at most
	for _, effect := range effects {
		f, ok := effect.(keeper.LeaderEffect)
		if !ok {
			e.perform(effect)
			continue
		}
		epoch = f.Epoch
		switch record := f.Effect.(type) {
		case leader.Record:
			records = append(records, record)
		case leader.RecordLeases:
			leases = &record.Leases
		default:
			e.perform(effect)
		}
	}
	if c := e.activeAt(epoch); c != nil && len(records) > 0 {
		c.recorder.PutWithLeases(leases, records...)
	}
}

func (e *Entry) perform(effect keeper.Effect) {
	switch f := effect.(type) {
	case keeper.Claim:
		e.group.Go(func() error {
			e.claim(f.Expected)
			return nil
		})
	case keeper.StartReplicating:
		e.follow(e.jobsFollower())
		e.follow(e.runsFollower())
	case keeper.StopReplicating:
		e.unfollow(keeper.Jobs)
		e.unfollow(keeper.Runs)
	case keeper.StartLeading:
		e.startLeading(f)
	case keeper.Resign:
		e.stopLeading(f)
	case keeper.LeaderEffect:
		if c := e.activeAt(f.Epoch); c != nil {
			e.performForLeader(c, f.Effect)
		}
	case keeper.Discard:
		e.discard(f)
	case keeper.Expire:
		if c := e.activeAt(e.controller.Snapshot().Lead().Epoch); c != nil {
			c.recorder.Expire(f.Job)
		}
	case keeper.LogLeadership:
		e.logLeadership(f)
	}
}

// performForLeader performs an effect of package leader.
func (e *Entry) performForLeader(c *leaderServices, effect leader.Effect) {
	switch f := effect.(type) {
	case leader.Order:
		c.delegator.Order(f)
	case leader.Withdraw:
		c.delegator.Withdraw(f)
	case leader.StartPolling:
		c.delegator.Watch(f)
	case leader.StopPolling:
		c.delegator.Unwatch(f)
	case leader.PollNow:
		c.delegator.Poll(f)
	case leader.Renew:
		c.delegator.Renew(f)
	case leader.Acknowledge:
		c.delegator.Acknowledge(f)
	case leader.RequestAdvice:
		e.requestAdvice(c, f)
	case leader.Wake:
		c.group.Go(func() error {
			timer.Sleep(e.ctx, f.After)
			epochSink{e}.Submit(c.epoch, leader.Woken{})
			return nil
		})
	case leader.Decision:
		e.logDecision(c.epoch, f)
	}
}

func (e *Entry) requestAdvice(c *leaderServices, f leader.RequestAdvice) {
	c.group.Go(func() error {
		ctx, cancel := context.WithTimeout(e.ctx, adviceTimeout)
		defer cancel()
		permits, valid, err := e.linker.Consult(ctx, f)
		if err != nil {
			e.logger.WithFields(logrus.Fields{"epoch": c.epoch, "task": f.Step, "peer": f.Caller}).WithError(err).Warn("request for advice failed")
		}
		e.controller.Submit(keeper.LeaderEvent{Epoch: c.epoch, Event: leader.AdviceAnswered{Call: f.Call, Permits: permits, Valid: valid, Failed: err != nil}})
		return nil
	})
}

// logLeadership logs a change in what the entry knows about the leader.
func (e *Entry) logLeadership(n keeper.LogLeadership) {
	e.logger.WithFields(logrus.Fields{
		"what": n.What, "leader": n.Lead.Name, "epoch": n.Lead.Epoch, "beat": n.Lead.Heartbeats, "why": n.Why, "quietms": n.Silence.Milliseconds(),
	}).Info("lead")
}

// logDecision logs a decision of the leader.
func (e *Entry) logDecision(epoch int64, n leader.Decision) {
	fields := logrus.Fields{"what": n.What, "epoch": epoch}
	if n.Job != "" {
		fields["job"] = string(n.Job)
	}
	if n.Task != "" {
		fields["task"], fields["run"] = n.Task, n.Run
	}
	if n.Worker != "" {
		fields["worker"] = n.Worker
	}
	if n.Peer != "" {
		fields["peer"] = n.Peer
	}
	if n.Why != "" {
		fields["why"] = n.Why
	}
	if n.Batch != 0 {
		fields["batch"] = n.Batch
	}
	if n.Attempts != 0 {
		fields["failures"], fields["attempts"] = n.Failures, n.Attempts
	}
	if n.Stages.Known {
		fields["recordms"], fields["orderms"], fields["runms"] = n.Stages.Record.Milliseconds(), n.Stages.Order.Milliseconds(), n.Stages.Run.Milliseconds()
	}
	e.logger.WithFields(fields).Info("decision")
}
