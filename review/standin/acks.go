//go:build review

package main

import (
	"context"
	"fmt"
	"time"
)

const (
	// powerLosses is how often a runner loses power, and powerPause the time between.
	powerLosses = 8
	powerPause  = 4 * time.Second
	// quickWork is how long each task takes, and quickTasks how many a job has.
	quickWork  = 100 * time.Millisecond
	quickTasks = 40
	quickPause = 150 * time.Millisecond
)

// playAcks has a runner lose power for a moment and return under its id, again and again,
// while short tasks run on all runners.
func playAcks(ctx context.Context, c *cell, trouble bool) (verdict, error) {
	quote := queue{"quote", 0, 2}
	if err := startCell(ctx, c, smallRunners, quote); err != nil {
		return nil, err
	}
	traffic, stop := context.WithCancel(ctx)
	defer stop()
	var ids []string
	c.group.Go(func() error {
		for traffic.Err() == nil {
			id, err := c.submit(traffic, quote, job{Spec: fmt.Sprintf("0=%d", quickWork.Milliseconds()), Steps: []step{{Count: quickTasks, CPU: 5000, Memory: 6000, Estimate: 100}}})
			if err == nil {
				ids = append(ids, id)
			}
			_ = pause(traffic, quickPause)
		}
		return nil
	})
	if err := pause(ctx, 4*time.Second); err != nil {
		return nil, err
	}
	for i := range powerLosses {
		if trouble {
			if err := losePower(ctx, c.runners[i%smallRunners]); err != nil {
				return nil, err
			}
		}
		if err := pause(ctx, powerPause); err != nil {
			return nil, err
		}
	}
	stop()
	if err := pause(ctx, 4*time.Second); err != nil {
		return nil, err
	}
	return c.doneTwice(), nil
}

// doneTwice returns the tasks that were started after a run had ended done, if that end
// was taken note of.
func (c *cell) doneTwice() verdict {
	done := map[string]start{}
	for _, w := range c.runners {
		w.mu.Lock()
		for _, s := range w.starts {
			if s.how == "done" && s.noted {
				if first, ok := done[s.task]; !ok || s.until.Before(first.until) {
					done[s.task] = s
				}
			}
		}
		w.mu.Unlock()
	}
	var broken verdict
	for _, w := range c.runners {
		w.mu.Lock()
		for _, s := range w.starts {
			if d, ok := done[s.task]; ok && s.at.After(d.until) {
				broken = append(broken, fmt.Sprintf("TWICE: %s run %d was started after its run %d had ended done, an end that was taken note of", s.task, s.run, d.run))
			}
		}
		w.mu.Unlock()
	}
	return broken
}
