//go:build review

package main

import (
	"context"
	"fmt"
	"time"
)

const (
	// darkRunners is the number of runners that lose power together, of acksRunners: a
	// share of 0.04.
	darkRunners = 2
	acksRunners = 50
	// returnGap is the time between the returns of two of them.
	returnGap = 50 * time.Millisecond
	// quickWork is how long each task takes, and quickTasks how many a job has.
	quickWork  = 100 * time.Millisecond
	quickTasks = 192
	// quietTime is how long nothing is sent before the power fails.
	quietTime = idleTimeout + 2*time.Second
	// powerLosses is how often runners lose power.
	powerLosses = 4
)

func quickJob() job {
	return job{Spec: fmt.Sprintf("0=%d", quickWork.Milliseconds()), Steps: []step{{Count: quickTasks, CPU: 5000, Memory: 6000, Estimate: 100}}}
}

// playAcks has runners lose power for a moment and return under their ids. Before that,
// short tasks have run there, and others come once they are back.
func playAcks(ctx context.Context, c *cell, trouble bool) (verdict, error) {
	quote := queue{"quote", 0, 2}
	if err := startCell(ctx, c, acksRunners, quote); err != nil {
		return nil, err
	}
	if err := pause(ctx, 2*time.Second); err != nil {
		return nil, err
	}
	for range powerLosses {
		for range 10 {
			if _, err := c.submit(ctx, quote, quickJob()); err != nil {
				return nil, err
			}
			if err := pause(ctx, 200*time.Millisecond); err != nil {
				return nil, err
			}
		}
		if err := pause(ctx, quietTime); err != nil {
			return nil, err
		}
		if trouble {
			dark, err := c.losePower(ctx, darkRunners)
			if err != nil {
				return nil, err
			}
			if err := pause(ctx, darkTime); err != nil {
				return nil, err
			}
			for _, w := range dark {
				w.comeBack()
				if err := pause(ctx, returnGap); err != nil {
					return nil, err
				}
			}
		}
		if _, err := c.submit(ctx, quote, quickJob()); err != nil {
			return nil, err
		}
		if err := pause(ctx, 3*time.Second); err != nil {
			return nil, err
		}
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
