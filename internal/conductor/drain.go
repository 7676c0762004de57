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
	"github.com/endivelock/endivelock/internal/timer"
)

const (
	// headerTimeout and idleTimeout bound what a client may keep open.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// notice is how long a stopping entry takes requests after it has said that
	// it is not ready: the balancer asks once a second and believes the second
	// answer.
	notice = 2200 * time.Millisecond
	// closePause is the time between two looks for idle connections of a stopping
	// entry.
	closePause = 20 * time.Millisecond
)

// server is an HTTP server at a listener that was opened before.
type server struct {
	http     http.Server
	listener net.Listener
	closer   closer.Closer
}

func newServer(h http.Handler, l net.Listener) *server {
	s := &server{listener: l}
	s.http = http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ConnState: s.closer.Track}
	return s
}

// serve answers requests until the listener is closed.
func (s *server) serve(context.Context) error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return suture.ErrDoNotRestart
	}
	return errors.Wrapf(err, "serve at %s", s.listener.Addr())
}

// stop takes no new connections and closes the others once they are idle, as
// far as the context allows.
func (s *server) stop(ctx context.Context) error {
	if err := s.listener.Close(); err != nil {
		return errors.Wrap(err, "close listener")
	}
	for s.closer.Open() > 0 && ctx.Err() == nil {
		s.closer.CloseIdle()
		timer.Sleep(ctx, closePause)
	}
	return errors.Wrap(s.http.Shutdown(ctx), "finish requests")
}

// drain hands the lead over, lets the balancer notice and finishes requests.
func (e *Entry) drain(servers []*server) {
	e.logger.Info("entry stops")
	e.draining.Store(true)
	e.controller.Submit(keeper.Stopping{})
	wait := min(notice, e.settings.Grace/2)
	timer.Sleep(e.ctx, wait)
	bounded, cancel := context.WithTimeout(e.ctx, max(e.settings.Grace-wait-time.Second, time.Second))
	defer cancel()
	var group errgroup.Group
	for _, s := range servers {
		group.Go(func() error { return s.stop(bounded) })
	}
	if err := group.Wait(); err != nil {
		e.logger.WithError(err).Warn("requests were cut off by the stop")
	}
}
