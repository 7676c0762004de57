package assembler

import (
	"context"
	"time"

	"github.com/endivelock/endivelock/internal/scheduler"
	"github.com/endivelock/endivelock/internal/timer"
)

const (
	tickPeriod = 100 * time.Millisecond
	listPeriod = time.Second
	taskJitter = 0.2
)

// periodicTask is a service that calls a function at every tick of the timer.
type periodicTask struct {
	name      string
	timer     *timer.Timer
	period    time.Duration
	jitter    float64
	immediate bool // also run once at the start
	run       func(ctx context.Context)
}

// Serve runs the task until the context ends.
func (p *periodicTask) Serve(ctx context.Context) error {
	ticks := p.timer.Subscribe(p.period, p.jitter)
	defer ticks.Stop()
	if p.immediate {
		p.run(ctx)
	}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks.C:
			p.run(ctx)
		}
	}
}

// String returns the name that the supervisor logs.
func (p *periodicTask) String() string { return "periodic task " + p.name }

func (e *Entry) tick(context.Context) {
	e.controller.Submit(scheduler.Ticked{})
}

// refreshInstances reads the platform's list of instances. If that fails, the
// list read last stays in use.
func (e *Entry) refreshInstances(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, listPeriod)
	defer cancel()
	instances, err := e.platform.List(bounded)
	if err != nil {
		e.logger.WithError(err).Debug("could not read the list of instances")
		return
	}
	e.controller.Submit(scheduler.InstancesListed{Instances: instances})
}

// fetchConfig asks a live peer for the configuration if the peer has read the
// configuration stream further than this entry. This serves an entry that has no
// configuration yet and one whose own reading of the log lags behind.
func (e *Entry) fetchConfig(ctx context.Context) {
	s := e.Snapshot()
	for _, m := range s.Members.All() {
		if !m.Dead && m.Digest.Config > s.Config.Offset && m.Digest.Entry.Peer != "" {
			e.gossiper.Config(ctx, m.Digest.Entry.Peer)
			return
		}
	}
}
