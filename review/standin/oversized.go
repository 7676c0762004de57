//go:build review

package main

import (
	"context"
	"fmt"
	"time"
)

const (
	// A scheduled job has feedTimes occurrences, feedInterval apart. Each has feedTasks
	// tasks that last, so that all occurrences overlap.
	feedTimes    = 9
	feedTasks    = 1000
	feedInterval = time.Second
	// feedTime is the time in which all tasks have to run, from the last occurrence on.
	feedTime = 40 * time.Second
)

// playOversized hands in tasks that last: all as occurrences of one job or, without the
// trouble, each occurrence as a job of its own.
func playOversized(ctx context.Context, c *cell, trouble bool) (verdict, error) {
	watch, quote := queue{"watch", 1, 3}, queue{"quote", 0, 2}
	c.record.quiet = true
	if err := startCell(ctx, c, cellRunners, watch, quote); err != nil {
		return nil, err
	}
	feed := job{Spec: "feed", Steps: []step{{Count: feedTasks, CPU: 100, Memory: 100, Estimate: 500, LongRunning: true}}}
	var feeds []string
	if trouble {
		feed.Times, feed.StartAt, feed.Interval = feedTimes, time.Now().UnixMilli(), feedInterval.Milliseconds()
	}
	for range feedTimes {
		if !trouble || len(feeds) == 0 {
			id, err := c.submit(ctx, watch, feed)
			if err != nil {
				return nil, err
			}
			feeds = append(feeds, id)
		}
		if err := pause(ctx, feedInterval); err != nil {
			return nil, err
		}
	}
	slowest, err := c.runQuotes(ctx, quote)
	if err != nil {
		return nil, err
	}
	running := 0
	for _, id := range feeds {
		running += len(c.runningTasks(id))
	}
	c.record.add("%d of %d lasting tasks run", running, feedTimes*feedTasks)
	c.record.add("the slowest small job took %.1f s", slowest.Seconds())
	c.record.add("the store refused %d appends, for a record over %d bytes", c.store.refused, maxRecordBytes)
	if running < feedTimes*feedTasks {
		return verdict{fmt.Sprintf("LOST: %d of %d lasting tasks run %.0f s after they were due, on runners with room for %d",
			running, feedTimes*feedTasks, feedTime.Seconds(), cellRunners*largeRoom().CPU/100)}, nil
	}
	return nil, nil
}

// runQuotes hands in a small job each second for feedTime and returns how long the slowest
// took.
func (c *cell) runQuotes(ctx context.Context, q queue) (time.Duration, error) {
	var slowest time.Duration
	for began := time.Now(); time.Since(began) < feedTime; {
		sent := time.Now()
		id, err := c.submit(ctx, q, job{Spec: "0=500", Steps: []step{{Count: 4, CPU: 3000, Memory: 5000, Estimate: 500}}})
		if err != nil {
			return 0, err
		}
		for state := ""; state != "complete" && time.Since(began) < feedTime; {
			if err := pause(ctx, 250*time.Millisecond); err != nil {
				return 0, err
			}
			_, state = c.call(0, "GET", q, id, nil)
		}
		slowest = max(slowest, time.Since(sent))
	}
	return slowest, nil
}
