package conductor

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/thejerf/suture/v4"
	"golang.org/x/sync/errgroup"

	"github.com/endivelock/endivelock/internal/closer"
	"github.com/endivelock/endivelock/internal/keeper"
	"github.com/endivelock/endivelock/internal/limiter"
	"github.com/endivelock/endivelock/internal/timer"
)

const (
	// drainNotice is how long a stopping entry still accepts requests after it has
	// reported that it is not ready. The load balancer checks once a second and acts
	// on the second response.
	drainNotice = 2200 * time.Millisecond
	// idleCheckPeriod is the time between two checks for idle connections of a
	// stopping entry.
	idleCheckPeriod = 20 * time.Millisecond
)

// server is an HTTP server on a listener that is already open.
type server struct {
	http     *http.Server
	listener net.Listener
	closer   closer.Closer
}

func newServer(h http.Handler, l *limiter.Listener) *server {
	s := &server{listener: l}
	s.http = l.Server(h, s.closer.Track)
	return s
}

// serve handles requests until the listener is closed.
func (s *server) serve(context.Context) error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return suture.ErrDoNotRestart
	}
	return errors.Wrapf(err, "serve at %s", s.listener.Addr())
}

// stop closes the listener, then each connection once it is idle, until the context
// ends.
func (s *server) stop(ctx context.Context) error {
	if err := s.listener.Close(); err != nil {
		return errors.Wrap(err, "close listener")
	}
	for s.closer.Open() > 0 && ctx.Err() == nil {
		s.closer.CloseIdle()
		timer.Sleep(ctx, idleCheckPeriod)
	}
	return errors.Wrap(s.http.Shutdown(ctx), "finish requests")
}

// drain resigns if the entry leads, waits until the load balancer has taken the
// entry out of rotation, and finishes open requests.
func (e *Entry) drain(servers []*server) {
	e.logger.Info("entry is stopping")
	e.draining.Store(true)
	e.controller.Submit(keeper.Stopping{})
	wait := min(drainNotice, e.settings.Grace/2)
	timer.Sleep(e.ctx, wait)
	bounded, cancel := context.WithTimeout(e.ctx, max(e.settings.Grace-wait-time.Second, time.Second))
	defer cancel()
	var group errgroup.Group
	for _, s := range servers {
		group.Go(func() error { return s.stop(bounded) })
	}
	if err := group.Wait(); err != nil {
		e.logger.WithError(err).Warn("stopping a server failed; open requests may have been aborted")
	}
}
