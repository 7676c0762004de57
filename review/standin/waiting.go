//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

const (
	// specialRunners is the number of runners of kind b.
	specialRunners = 4
	waitingJobs    = 12
	// visibleTime is visible_ms, countAge the age that a count may have.
	visibleTime = 3 * time.Second
	countAge    = 2 * time.Second
	// unhealthyTime is how long the runners of kind b refuse all starts at the most.
	unhealthyTime = 6500 * time.Millisecond
)

// playWaiting has the runners of a kind refuse all starts while jobs wait that need that
// kind, and asks each entry how many jobs wait.
func playWaiting(ctx context.Context, c *cell, trouble bool) (verdict, error) {
	recalc := queue{"recalc", 2, 3}
	if err := startCell(ctx, c, cellRunners-specialRunners, recalc); err != nil {
		return nil, err
	}
	var special []*runner
	for i := range specialRunners {
		w, err := c.addRunner(cellRunners-specialRunners+i, "b", largeRoom(), longUptime)
		if err != nil {
			return nil, err
		}
		special = append(special, w)
	}
	if err := pause(ctx, 3*time.Second); err != nil {
		return nil, err
	}
	began := time.Now()
	setUnhealthy(special, trouble)
	defer setUnhealthy(special, false)
	var ids []string
	for range waitingJobs {
		id, err := c.submit(ctx, recalc, job{Spec: "0=600", Steps: []step{{Count: 2, CPU: 5000, Memory: 9000, Estimate: 600, Label: "b"}}})
		if err != nil {
			return nil, err
		}
		ids = append(ids, id)
	}
	accepted := time.Now()
	if err := pause(ctx, visibleTime+countAge+200*time.Millisecond); err != nil {
		return nil, err
	}
	var broken verdict
	for entry := range c.fronts {
		status, text := c.call(entry, http.MethodGet, recalc, "", nil)
		waiting := 0
		for _, id := range ids {
			if len(c.startsOf(id)) == 0 {
				waiting++
			}
		}
		if told, err := strconv.Atoi(text); status == http.StatusOK && err == nil && 2*told < waiting {
			broken = append(broken, fmt.Sprintf("MIXED: entry %d says that %d jobs wait; %d have not begun, all accepted over %.1f s ago",
				entry+1, told, waiting, time.Since(accepted).Seconds()))
		}
	}
	if trouble && time.Since(began) > unhealthyTime {
		return nil, fmt.Errorf("the entries were asked after %.1f s, too late for the disruption", time.Since(began).Seconds())
	}
	return broken, nil
}

// setUnhealthy has runners refuse all starts, or take them again.
func setUnhealthy(runners []*runner, unhealthy bool) {
	for _, w := range runners {
		w.mu.Lock()
		w.unhealthy = unhealthy
		w.mu.Unlock()
		w.record.add("runner %s refuses starts: %v", w.id, unhealthy)
	}
}
