//go:build review

package main

import (
	"context"
	"fmt"
	"time"
)

const (
	// cellRunners and cellEntries are the size of a small deployment.
	cellRunners = 48
	cellEntries = 9
	// longUptime is how long the runners have been up when the system starts.
	longUptime = time.Hour
	// darkTime is how long a runner that loses power is away.
	darkTime = 800 * time.Millisecond
	// replacementDelay is how long after the loss of a machine another one joins.
	replacementDelay = 4500 * time.Millisecond
	// lostAfter is the time without a run after which a lasting task counts as lost. The
	// rule counts from 6 s after its last run, 3 s without a run and calm for 4 s before.
	lostAfter = 30 * time.Second
)

func largeRoom() room { return room{CPU: 64000, Memory: 262144} }

// playReborn has a runner lose power for a moment and return under its id, and later
// leave for good while a task that lasts runs there.
func playReborn(ctx context.Context, c *cell, trouble bool) (verdict, error) {
	watch := queue{"watch", 1, 3}
	if err := startCell(ctx, c, cellRunners, watch); err != nil {
		return nil, err
	}
	victim := c.runners[0]
	if err := pause(ctx, 4*time.Second); err != nil {
		return nil, err
	}
	if trouble {
		dark, err := c.losePower(ctx, 1)
		if err != nil {
			return nil, err
		}
		victim = dark[0]
		if err := pause(ctx, darkTime); err != nil {
			return nil, err
		}
		victim.comeBack()
	}
	if err := pause(ctx, 4*time.Second); err != nil {
		return nil, err
	}
	id, err := c.submit(ctx, watch, job{Spec: "feed", Steps: []step{{
		Count: cellRunners, CPU: 10000, Memory: 20000, Estimate: 500, MaxPerServer: 1, LongRunning: true,
	}}})
	if err != nil {
		return nil, err
	}
	for len(c.runningTasks(id)) < cellRunners {
		if err := pause(ctx, poll); err != nil {
			return nil, fmt.Errorf("not all tasks run: %w", err)
		}
	}
	c.record.add("all %d tasks run", cellRunners)
	if err := pause(ctx, 5*time.Second); err != nil {
		return nil, err
	}
	lost := time.Now()
	victim.line.setCut(true)
	victim.crash()
	c.record.add("runner %s is lost for good", victim.id)
	time.AfterFunc(3*heartbeat, func() { c.store.put("keyed.servers", victim.id, nil) })
	if err := pause(ctx, replacementDelay); err != nil {
		return nil, err
	}
	if _, err := c.addRunner(cellRunners, "a", largeRoom(), 0); err != nil {
		return nil, err
	}
	for time.Since(lost) < lostAfter {
		if len(c.runningTasks(id)) == cellRunners {
			c.record.add("all tasks run again %.1f s after the loss", time.Since(lost).Seconds())
			return nil, nil
		}
		if err := pause(ctx, poll); err != nil {
			return nil, err
		}
	}
	return verdict{fmt.Sprintf("LOST: %d of %d lasting tasks run %.0f s after the loss of a runner, with a runner free for the other",
		len(c.runningTasks(id)), cellRunners, lostAfter.Seconds())}, nil
}

// losePower takes the power from n runners at which a poll has waited for a short
// while, and returns them.
func (c *cell) losePower(ctx context.Context, n int) ([]*runner, error) {
	for {
		var idle []*runner
		for _, w := range c.runners {
			w.mu.Lock()
			if age := time.Since(w.polledAt); w.life == 1 && age > minPollAge && age < maxPollAge {
				idle = append(idle, w)
			}
			w.mu.Unlock()
		}
		if len(idle) >= n {
			for _, w := range idle[:n] {
				w.goDark()
			}
			return idle[:n], nil
		}
		if err := pause(ctx, poll); err != nil {
			return nil, fmt.Errorf("no poll waits: %w", err)
		}
	}
}

// minPollAge and maxPollAge bound how long a poll has waited when the power is lost.
const (
	minPollAge = 20 * time.Millisecond
	maxPollAge = 300 * time.Millisecond
)

// goDark takes the power from a runner's machine: it crashes and falls silent.
func (w *runner) goDark() {
	w.record.add("runner %s loses power", w.id)
	w.line.setCut(true)
	w.crash()
	w.line.crash()
}

// comeBack starts a runner that has lost power under its id. It registers itself as it
// starts.
func (w *runner) comeBack() {
	w.begin(w.kind, 0)
	w.line.setCut(false)
	w.beat()
}

// startCell starts a store, runners of kind a, entries and a configuration.
func startCell(ctx context.Context, c *cell, runners int, queues ...queue) error {
	platform, err := c.startStore()
	if err != nil {
		return err
	}
	c.configure(queues...)
	for i := range runners {
		if _, err := c.addRunner(i, "a", largeRoom(), longUptime); err != nil {
			return err
		}
	}
	return c.startEntries(ctx, cellEntries, platform)
}
