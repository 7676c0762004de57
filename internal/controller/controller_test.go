package controller_test

import (
	"context"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/controller"
	"github.com/endivelock/endivelock/internal/scheduler"
)

// recorder is a performer that queues the effects for the test.
type recorder struct{ effects chan scheduler.Effect }

func (r recorder) Perform(effects []scheduler.Effect) {
	for _, e := range effects {
		r.effects <- e
	}
}

func TestEventsLeadToSnapshotsAndEffects(t *testing.T) {
	r := recorder{make(chan scheduler.Effect, 8)}
	c := controller.New(scheduler.New(scheduler.Entry{}, scheduler.Policy{}, time.Now()), r, time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return c.Serve(ctx) })
	c.Submit(scheduler.RequestArrived{Request: scheduler.Request{ID: "x"}})
	refusal, ok := (<-r.effects).(scheduler.Refuse)
	assert.Assert(t, ok)
	assert.Equal(t, refusal.Reason, scheduler.ReasonNotReady)

	before := c.Snapshot()
	c.Submit(scheduler.DrainStarted{})
	s, err := c.Await(context.Background(), func(s scheduler.State) bool { return s.Draining })
	assert.NilError(t, err)
	assert.Assert(t, s.Draining && !before.Draining)
	events, _ := c.Cost()
	assert.Equal(t, events, int64(2))

	cancel()
	assert.ErrorIs(t, group.Wait(), context.Canceled)
	_, err = c.Await(ctx, func(scheduler.State) bool { return false })
	assert.ErrorIs(t, err, context.Canceled)
}

// ignorer is a performer that does nothing.
type ignorer struct{}

func (ignorer) Perform([]scheduler.Effect) {}

// Guards against a process that doesn't end (review/13): a goroutine that submits an event waited
// for the control thread for good if that had ended with its queue full.
func TestNobodyWaitsForAControlThreadThatHasEnded(t *testing.T) {
	c := controller.New(scheduler.New(scheduler.Entry{}, scheduler.Policy{}, time.Now()), ignorer{}, time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	var submitting, serving errgroup.Group
	const more = 10_000 // than the queue takes
	submitting.Go(func() error {
		for range more {
			c.Submit(scheduler.Ticked{})
		}
		return nil
	})
	cancel()
	serving.Go(func() error { return c.Serve(ctx) })
	assert.ErrorIs(t, serving.Wait(), context.Canceled)
	assert.NilError(t, submitting.Wait())
}
