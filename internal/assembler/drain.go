package assembler

import (
	"context"
	"fmt"

	"golang.org/x/sync/errgroup"

	"github.com/endivelock/endivelock/internal/scheduler"
	"github.com/endivelock/endivelock/internal/timer"
)

// DrainTimeoutError reports that a drain exceeded its time limit.
type DrainTimeoutError struct {
	Requests  int // in progress at the time limit, which were aborted
	Resources int // resources that no other entry took over
}

// Error returns the number of aborted requests and of resources not handed over.
func (e *DrainTimeoutError) Error() string {
	return fmt.Sprintf("drain reached its time limit: %d requests in progress were aborted, %d resources were not handed over", e.Requests, e.Resources)
}

var _ error = (*DrainTimeoutError)(nil)

// drain stops the entry gracefully. It hands over the resources that the entry
// owns, keeps accepting requests for the notice period so that the load balancer
// can stop sending them, and waits for requests in progress. The peers' listener
// stays open until the end, because peers take a refused connection as evidence
// that the entry can no longer act.
func (e *Entry) drain(s httpServers) error {
	e.logger.Info("entry stops")
	limits := e.limits.Load()
	ctx, cancel := context.WithTimeout(context.Background(), limits.Drain)
	defer cancel()
	e.controller.Submit(scheduler.DrainStarted{})
	timer.Sleep(ctx, limits.Notice)
	err := s.callers.Shutdown(ctx)
	_, drainErr := e.controller.Await(ctx, scheduler.State.Drained)
	e.waitForExchanges(ctx)
	if forwardErr := s.forward.Shutdown(ctx); err == nil {
		err = forwardErr
	}
	_ = s.operators.Close()
	e.servers.CloseIdle()
	e.entries.CloseIdle()
	if err == nil && drainErr == nil {
		e.logger.Info("entry stopped")
		return nil
	}
	timeout := e.timeoutError()
	_ = s.callers.Close()
	_ = s.forward.Close()
	return timeout
}

// waitForExchanges waits for exchanges whose callers have disconnected, until the
// context ends.
func (e *Entry) waitForExchanges(ctx context.Context) {
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

// timeoutError returns a DrainTimeoutError, or nil if no request is running.
func (e *Entry) timeoutError() error {
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
	err := &DrainTimeoutError{Requests: running, Resources: s.Holds.Len()}
	e.logger.WithError(err).Warn("entry stopped at the time limit of the drain")
	return err
}
