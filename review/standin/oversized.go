//go:build review

package main

import (
	"context"
	"fmt"
	"time"
)

const (
	// A job runs waveTimes times, waveInterval apart. Each time has waveTasks tasks that
	// take waveWork: all times overlap.
	waveTimes    = 10
	waveTasks    = 1000
	waveInterval = time.Second
	waveWork     = time.Minute
	waveCPU      = 100
)

// playOversized hands in a job whose times overlap, and small jobs beside it.
func playOversized(ctx context.Context, c *cell, trouble bool) (verdict, error) {
	quote, recalc, watch := queue{"quote", 0, 2}, queue{"recalc", 2, 3}, queue{"watch", 1, 3}
	if err := startCell(ctx, c, cellRunners, quote, recalc, watch); err != nil {
		return nil, err
	}
	c.record.quiet = true
	feed, err := c.submit(ctx, watch, job{Spec: "feed", Steps: []step{{Count: 8, CPU: 6000, Memory: 10000, Estimate: 500, LongRunning: true}}})
	if err != nil {
		return nil, err
	}
	if trouble {
		wave := job{Spec: fmt.Sprintf("0=%d", waveWork.Milliseconds()), Times: waveTimes, StartAt: time.Now().UnixMilli(), Interval: waveInterval.Milliseconds(),
			Steps: []step{{Count: waveTasks, CPU: waveCPU, Memory: 100, Estimate: int(waveWork.Milliseconds())}}}
		if _, err := c.submit(ctx, recalc, wave); err != nil {
			return nil, err
		}
	}
	if err := pause(ctx, 2*waveTimes*waveInterval); err != nil {
		return nil, err
	}
	var ids []string
	for range 20 {
		id, err := c.submit(ctx, quote, job{Spec: "0=500", Steps: []step{{Count: 4, CPU: 3000, Memory: 5000, Estimate: 500}}})
		if err != nil {
			return nil, err
		}
		ids = append(ids, id)
		if err := pause(ctx, time.Second); err != nil {
			return nil, err
		}
	}
	if err := pause(ctx, 14*time.Second); err != nil { // finish_s
		return nil, err
	}
	var broken verdict
	for _, id := range ids {
		if _, state := c.call(0, "GET", quote, id, nil); state != "complete" {
			broken = append(broken, fmt.Sprintf("LOST: job %s is %q, %d tasks were started", id, state, len(c.startsOf(id))))
		}
	}
	if n := len(c.runningTasks(feed)); n < 8 {
		broken = append(broken, fmt.Sprintf("LOST: %d of 8 lasting tasks run", n))
	}
	c.record.add("the store refused %d appends with a record over %d bytes", c.store.refused, maxRecordBytes)
	return broken, nil
}
