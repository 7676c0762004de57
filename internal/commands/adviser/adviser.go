// Package adviser asks the advice service which workers may run a step. It makes
// one call at a time: the service serves one call of an instance at a time, and
// a call that waits there keeps other calls from a free instance.
package adviser

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/endivelock/endivelock/internal/leader"
)

// callTimeout bounds one call. A call names up to 100 workers, each of which
// takes the service some milliseconds.
const callTimeout = 3 * time.Second

// Service answers calls for advice.
type Service interface {
	// Advise returns which of the workers may run a step and how long that holds.
	Advise(ctx context.Context, step string, workers []string, timeout time.Duration) ([]leader.Permit, time.Duration, error)
}

// Adviser makes calls for advice. Create it with New.
type Adviser struct {
	service Service
	slot    chan struct{} // holds a value while a call is in flight
	Calls   metrics.Timer
	Failed  metrics.Counter
}

// New returns an adviser that calls the service.
func New(s Service) *Adviser {
	return &Adviser{service: s, slot: make(chan struct{}, 1), Calls: metrics.NewTimer(), Failed: metrics.NewCounter()}
}

// Advise waits until no other call of this instance is in flight and makes one.
// It returns which of the workers may run a step and how long that holds.
func (a *Adviser) Advise(ctx context.Context, step string, workers []string) ([]leader.Permit, time.Duration, error) {
	select {
	case a.slot <- struct{}{}:
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
	defer func() { <-a.slot }()
	began := time.Now()
	permits, valid, err := a.service.Advise(ctx, step, workers, callTimeout)
	a.Calls.UpdateSince(began)
	if err != nil {
		a.Failed.Inc(1)
	}
	return permits, valid, err
}
