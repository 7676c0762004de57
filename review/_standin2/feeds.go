package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// lastingTime is how long after its last run a task that lasts may be without one,
	// missingTime how long it may be without one then. calmBefore is how long before that
	// there must be no disruption, and calmTime how long one counts after its end.
	lastingTime = 6 * time.Second
	missingTime = 3 * time.Second
	calmBefore  = 4 * time.Second
	// killAfter is the time from the loss of the runner to that of the leader's machine.
	killAfter = 500 * time.Millisecond
)

// runFeeds loses a runner for good, and the machine of the leader right after that. Tasks
// that last must run again soon. Without the trouble the leader's machine stays.
func runFeeds(path string, trouble bool) int {
	c, err := newCell(120*time.Second, 2)
	if err != nil {
		return giveUp(nil, path, err.Error())
	}
	defer c.close()
	if why := c.smallDeployment(20); why != "" {
		return giveUp(c, path, why)
	}
	const feeds = 40
	lasting := map[string]any{"count": feeds, "cpu": 5000, "mem_mb": 1024, "est_ms": 60000, "long_running": true}
	if _, ok := c.submit(jobID(100), map[string]any{"spec": "feed", "steps": []any{lasting}}); !ok {
		return giveUp(c, path, "a job was not accepted")
	}
	time.Sleep(5 * time.Second)
	victim := c.runners[3]
	lost := victim.runs()
	if len(lost) == 0 {
		return giveUp(c, path, "nothing runs at the runner that is to be lost")
	}
	polled := make(chan struct{})
	var once sync.Once
	victim.mu.Lock()
	victim.onHold = func() { once.Do(func() { close(polled) }) }
	victim.mu.Unlock()
	<-polled
	time.Sleep(time.Second)
	victim.lose()
	lostAt := time.Now()
	calmFrom := lostAt
	if trouble {
		time.Sleep(killAfter)
		var leader *entry
		for _, e := range c.entries {
			if e.leads() {
				leader = e
			}
		}
		if leader == nil {
			return giveUp(c, path, "no entry leads")
		}
		leader.kill()
		c.record.add("%s, which leads, is gone for good", leader.name)
		calmFrom = time.Now()
	}
	var found []string
	missing, said := map[string]time.Time{}, map[string]bool{}
	for time.Since(lostAt) < 20*time.Second {
		time.Sleep(20 * time.Millisecond)
		runs := map[string]bool{}
		for _, w := range c.runners {
			for _, task := range w.runs() {
				runs[task] = true
			}
		}
		now := time.Now()
		for _, task := range lost {
			if runs[task] || now.Sub(lostAt) < lastingTime || now.Sub(calmFrom) < calmTime+calmBefore {
				delete(missing, task)
				continue
			}
			if _, known := missing[task]; !known {
				missing[task] = now
			}
			if now.Sub(missing[task]) > missingTime && !said[task] {
				said[task] = true
				found = append(found, fmt.Sprintf("%s has nothing running for %.1f s, from %.1f s after its last run and %.1f s after the last disruption on", task, now.Sub(missing[task]).Seconds(), missing[task].Sub(lostAt).Seconds(), missing[task].Sub(calmFrom).Seconds()))
			}
		}
	}
	return finish(c, path, found)
}
