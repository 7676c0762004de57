package conductor

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/endivelock/endivelock/internal/keeper"
	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/timer"
)

// consultTimeout bounds a call for advice by way of another entry.
const consultTimeout = 5 * time.Second

// Perform carries out effects in order, as far as they are quick, and starts
// the others.
func (e *Entry) Perform(effects []keeper.Effect) {
	for _, effect := range effects {
		e.perform(effect)
	}
}

func (e *Entry) perform(effect keeper.Effect) {
	switch f := effect.(type) {
	case keeper.Claim:
		e.group.Go(func() error {
			e.claim(f.Expected)
			return nil
		})
	case keeper.StartLeading:
		e.lead(f.Epoch)
	case keeper.Resign:
		e.resign(f)
	case keeper.LeaderEffect:
		if c := e.leading(f.Epoch); c != nil {
			e.order(c, f.Effect)
		}
	case keeper.Discard:
		e.discard(f)
	case keeper.Expire:
		if c := e.leading(e.controller.Snapshot().Lead().Epoch); c != nil {
			c.recorder.Expire(f.Job)
		}
	case keeper.LogLeadership:
		e.note(f)
	}
}

// order carries out an effect of the leader.
func (e *Entry) order(c *command, effect leader.Effect) {
	switch f := effect.(type) {
	case leader.Record:
		c.recorder.Put(f)
	case leader.Order:
		c.commander.Order(f)
	case leader.Watch:
		c.commander.Watch(f)
	case leader.Unwatch:
		c.commander.Unwatch(f)
	case leader.Look:
		c.commander.Look(f)
	case leader.Acknowledge:
		c.commander.Acknowledge(f)
	case leader.Consult:
		e.consult(c, f)
	case leader.Wake:
		c.group.Go(func() error {
			timer.Sleep(e.ctx, f.After)
			epochSink{e}.Submit(c.epoch, leader.Woken{})
			return nil
		})
	case leader.Note:
		e.decided(c.epoch, f)
	}
}

func (e *Entry) consult(c *command, f leader.Consult) {
	c.group.Go(func() error {
		ctx, cancel := context.WithTimeout(e.ctx, consultTimeout)
		defer cancel()
		permits, valid, err := e.linker.Consult(ctx, f)
		if err != nil {
			e.logger.WithFields(logrus.Fields{"epoch": c.epoch, "task": f.Step, "peer": f.Caller}).WithError(err).Warn("no advice")
		}
		e.controller.Submit(keeper.Led{Epoch: c.epoch, Event: leader.Advised{Ask: f.Ask, Permits: permits, Valid: valid, Failed: err != nil}})
		return nil
	})
}

// note logs a change of belief about who leads.
func (e *Entry) note(n keeper.LogLeadership) {
	e.logger.WithFields(logrus.Fields{
		"what": n.What, "leader": n.Lead.Name, "epoch": n.Lead.Epoch, "beat": n.Lead.Beat, "why": n.Why, "quietms": n.Silence.Milliseconds(),
	}).Info("lead")
}

// decided logs a decision of the leader.
func (e *Entry) decided(epoch int64, n leader.Note) {
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
	e.logger.WithFields(fields).Info("decision")
}
