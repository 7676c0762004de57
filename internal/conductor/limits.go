package conductor

import (
	"sync"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/endivelock/endivelock/internal/limiter"
)

const (
	// maxReadyConnections and maxMetricsConnections bound the connections of load balancers and
	// of scrapers, each of which needs one or two.
	maxReadyConnections   = 64
	maxMetricsConnections = 32
)

func defaultLimits() limiter.Limits { return limiter.Limits{} }

// limits returns the limits of clients in the current configuration.
func (e *Entry) limits() limiter.Limits {
	c, ok := e.Config()
	if !ok {
		return limiter.Limits{}
	}
	return limiter.Limits{}.WithHead(c.Limits.HeaderBytes, c.Limits.HeaderTimeout).WithIdle(c.Limits.IdleTimeout)
}

// closures counts the connections that were closed since the last log message, by reason.
type closures struct {
	mu       sync.Mutex
	byReason map[string]int
}

// countClosed counts a connection that was closed or a request that was refused at a limit.
func (e *Entry) countClosed(reason string) {
	metrics.GetOrRegisterCounter("closed."+reason, e.Registry).Inc(1)
	e.closed.mu.Lock()
	defer e.closed.mu.Unlock()
	if e.closed.byReason == nil {
		e.closed.byReason = map[string]int{}
	}
	e.closed.byReason[reason]++
}

// logClosed logs how many connections were closed since the last call, in one message.
func (e *Entry) logClosed() {
	e.closed.mu.Lock()
	counts := e.closed.byReason
	e.closed.byReason = nil
	e.closed.mu.Unlock()
	if len(counts) == 0 {
		return
	}
	fields := logrus.Fields{}
	for reason, n := range counts {
		fields[reason] = n
	}
	e.logger.WithFields(fields).Warn("clients closed at a limit")
}
