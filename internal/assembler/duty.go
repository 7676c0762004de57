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
	dutyJitter = 0.2
)

// duty does something at every signal of the timer service.
type duty struct {
	name   string
	timer  *timer.Timer
	period time.Duration
	jitter float64
	first  bool // act once at the start, too
	act    func(ctx context.Context)
}

// Serve acts until the context ends.
func (d *duty) Serve(ctx context.Context) error {
	signals := d.timer.Subscribe(d.period, d.jitter)
	defer signals.Stop()
	if d.first {
		d.act(ctx)
	}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-signals.C:
			d.act(ctx)
		}
	}
}

// String names the duty for the supervisor.
func (d *duty) String() string { return "duty " + d.name }

func (e *Entry) tick(context.Context) {
	e.controller.Submit(scheduler.Ticked{})
}

// list reads the platform's list. While it cannot be read, the last one counts.
func (e *Entry) list(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, listPeriod)
	defer cancel()
	instances, err := e.platform.List(bounded)
	if err != nil {
		e.logger.WithError(err).Debug("list of instances not read")
		return
	}
	e.controller.Submit(scheduler.InstancesListed{Instances: instances})
}

// askConfig asks peers for the configuration while this entry has none or the
// log is behind what peers have.
func (e *Entry) askConfig(ctx context.Context) {
	s := e.Snapshot()
	for _, m := range s.Members.All() {
		if !m.Dead && m.Digest.Config > s.Config.Offset && m.Digest.Entry.Peer != "" {
			e.gossiper.Config(ctx, m.Digest.Entry.Peer)
			return
		}
	}
}
