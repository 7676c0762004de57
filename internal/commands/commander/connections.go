package commander

import (
	"context"
	"slices"
	"time"

	"github.com/endivelock/endivelock/internal/leader"
)

// maxIdleConnections bounds the connections to one worker that are kept while no call uses
// them.
const maxIdleConnections = 4

// Workers opens connections to workers.
type Workers interface {
	// Connect returns a connection to the worker at an address, which its first call opens.
	Connect(address string) Connection
}

// Connection is one transport connection to a worker, for one call at a time. It is never
// opened again: a call on a connection that has broken off fails and is not sent. So all
// its calls reach the incarnation that accepted it, or none.
type Connection interface {
	// Order sends an order. The kind of the error says whether the order may have
	// been carried out.
	Order(ctx context.Context, to Target, o leader.Order) error
	// Poll polls a worker: it tells it the values of the target and returns a report. The
	// worker waits up to the given time for a run to end.
	Poll(ctx context.Context, to Target, wait time.Duration) (leader.Report, error)
	// Close closes the connection.
	Close()
}

// line is a connection and the incarnation that has answered on it.
type line struct {
	Connection
	address     string
	answered    bool
	incarnation int64 // valid if answered
}

// take returns an idle line on which the current incarnation has answered, or a new one.
// Lines that can't be used any more are closed.
func (s *workerState) take(w Workers) *line {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := len(s.idle); n > 0; n = len(s.idle) {
		l := s.idle[n-1]
		s.idle = s.idle[:n-1]
		if s.usable(l) {
			return l
		}
		l.Close()
	}
	return &line{Connection: w.Connect(s.address), address: s.address}
}

// usable reports whether the current incarnation has answered on a line. The caller holds
// the lock.
func (s *workerState) usable(l *line) bool {
	return l.answered && s.heard && l.incarnation == s.incarnation && l.address == s.address
}

// hasLine reports whether the current incarnation has answered on an idle line.
func (s *workerState) hasLine() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.idle, s.usable)
}

// release keeps a line for later calls.
func (s *workerState) release(l *line) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || !s.usable(l) || len(s.idle) >= maxIdleConnections {
		l.Close()
		return
	}
	s.idle = append(s.idle, l)
}

// closeIdle closes the idle lines. The caller holds the lock.
func (s *workerState) closeIdle() {
	for _, l := range s.idle {
		l.Close()
	}
	s.idle = nil
}
