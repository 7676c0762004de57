package timer_test

import (
	"context"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/timer"
)

func serve(t *testing.T, tm *timer.Timer) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return tm.Serve(ctx) })
	t.Cleanup(func() {
		cancel()
		assert.ErrorIs(t, group.Wait(), context.Canceled)
	})
}

func TestSubscribersReceiveTicks(t *testing.T) {
	var tm timer.Timer
	early := tm.Subscribe(time.Millisecond, 0.5)
	serve(t, &tm)
	late := tm.Subscribe(2*time.Millisecond, 0)
	for range 3 {
		<-early.C
		<-late.C
	}
}

func TestStoppedSubscriptionReceivesNoTicks(t *testing.T) {
	var tm timer.Timer
	stopped := tm.Subscribe(time.Millisecond, 0)
	other := tm.Subscribe(time.Millisecond, 0)
	stopped.Stop()
	stopped.Stop()
	serve(t, &tm)
	<-other.C
	<-other.C
	select {
	case <-stopped.C:
		t.Fatal("a stopped subscription received a tick")
	default:
	}
}
