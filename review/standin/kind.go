//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"time"
)

const (
	// kindChanges is how often the runner of kind b crashes and returns as one of kind a.
	kindChanges = 6
	crashTime   = time.Second
)

// playKind has the only runner of a kind crash and start again under its id as one of
// another kind, while tasks wait that need the first kind.
func playKind(ctx context.Context, c *cell, trouble bool) (verdict, error) {
	recalc := queue{"recalc", 2, 3}
	if err := startCell(ctx, c, cellRunners-1, recalc); err != nil {
		return nil, err
	}
	special, err := c.addRunner(cellRunners-1, "b", largeRoom(), longUptime)
	if err != nil {
		return nil, err
	}
	id, err := c.submit(ctx, recalc, job{Spec: "0=1500", Steps: []step{{
		Count: 400, CPU: 16000, Memory: 30000, Estimate: 1500, Label: "b",
	}}})
	if err != nil {
		return nil, err
	}
	for range kindChanges {
		if err := pause(ctx, 4*time.Second); err != nil {
			return nil, err
		}
		if len(c.startsOf(id)) == 0 {
			return nil, errors.New("no task runs")
		}
		if !trouble {
			continue
		}
		for _, kind := range []string{"a", "b"} {
			special.crash()
			special.line.resetAll()
			if err := pause(ctx, crashTime); err != nil {
				return nil, err
			}
			special.begin(kind, 0)
			special.beat()
			if err := pause(ctx, 3*time.Second); err != nil {
				return nil, err
			}
		}
	}
	var broken verdict
	for _, s := range c.startsOf(id) {
		if s.kind != "b" {
			broken = append(broken, fmt.Sprintf("ROUTE: %s run %d was started on a runner of kind %s in its life %d, without the label b", s.task, s.run, s.kind, s.life))
		}
	}
	return broken, nil
}
