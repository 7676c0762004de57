package assembler

import (
	"context"
	"fmt"

	"golang.org/x/sync/errgroup"

	"github.com/endivelock/endivelock/internal/scheduler"
	"github.com/endivelock/endivelock/internal/timer"
)

// CutError tells that a planned stop reached its limit.
type CutError struct {
	Requests int // in progress when the stop ended
	Held     int // resources that nobody took over
}

// Error describes what was cut.
func (c *CutError) Error() string {
	return fmt.Sprintf("stop reached its limit: %d requests in progress were cut, %d resources were not handed over", c.Requests, c.Held)
}

var _ error = (*CutError)(nil)

// drain stops the entry: it hands over what it owns, still takes requests for
// a notice so that the balancer can turn away, finishes what is in progress,
// and closes the peers' listener last, because a refusal there is evidence
// that the entry can no longer act.
func (e *Entry) drain(s servers) error {
	e.logger.Info("entry stops")
	limits := e.limits.Load()
	ctx, cancel := context.WithTimeout(context.Background(), limits.Drain)
	defer cancel()
	e.controller.Submit(scheduler.DrainStarted{})
	timer.Sleep(ctx, limits.Notice)
	err := s.callers.Shutdown(ctx)
	_, awaited := e.controller.Await(ctx, scheduler.State.Drained)
	e.finish(ctx)
	if shut := s.forward.Shutdown(ctx); err == nil {
		err = shut
	}
	_ = s.operators.Close()
	e.servers.CloseIdle()
	e.entries.CloseIdle()
	if err == nil && awaited == nil {
		e.logger.Info("entry stopped")
		return nil
	}
	cut := e.cut()
	_ = s.callers.Close()
	_ = s.forward.Close()
	return cut
}

// finish waits for exchanges that outlive their callers.
func (e *Entry) finish(ctx context.Context) {
	var group errgroup.Group
	done := make(chan struct{})
	group.Go(func() error {
		e.admitter.Wait()
		e.forwards.Wait()
		close(done)
		return nil
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (e *Entry) cut() error {
	s := e.Snapshot()
	running := 0
	for _, r := range s.Requests.All() {
		if r.Phase == scheduler.PhaseRunning {
			running++
		}
	}
	if running == 0 {
		return nil
	}
	err := &CutError{Requests: running, Held: s.Holds.Len()}
	e.logger.WithError(err).Warn("entry stopped at its limit")
	return err
}
