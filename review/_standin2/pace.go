package main

import (
	"fmt"
	"time"
)

const (
	targetMS = 200
	// harmTime is harm_ms, calmTime stable_window_ms.
	harmTime = 4 * time.Second
	calmTime = 3 * time.Second
	// greyTime is how long the runner fails a part of its requests.
	greyTime = 3 * time.Second
)

// runPace has a runner refuse the first orders on the pace of a task that fills beside a
// task that serves. The serving task must not stay over its target.
func runPace(path string, trouble bool) int {
	c, err := newCell(120*time.Second, 2)
	if err != nil {
		return giveUp(nil, path, err.Error())
	}
	defer c.close()
	if why := c.smallDeployment(10); why != "" {
		return giveUp(c, path, why)
	}
	// Both tasks need the rack of one runner, so that they share it.
	if err := c.addRunner("i-7f3a91aa", "muc-nord", "b", "r1-9", 64000); err != nil {
		return giveUp(c, path, err.Error())
	}
	shared := c.runners[len(c.runners)-1]
	time.Sleep(3 * time.Second)
	serving := map[string]any{"count": 1, "cpu": 20000, "mem_mb": 1024, "est_ms": 60000, "required_label": "r1-9", "long_running": true, "image": "img-a", "target_ms": targetMS}
	if _, ok := c.submit(jobID(1), map[string]any{"spec": "feed that serves", "steps": []any{serving}}); !ok {
		return giveUp(c, path, "a job was not accepted")
	}
	time.Sleep(3 * time.Second)
	var greyFrom time.Time
	if trouble {
		shared.mu.Lock()
		shared.grey = func(p string) bool {
			if p != "/pace" {
				return false
			}
			if greyFrom.IsZero() {
				greyFrom = time.Now()
			}
			return time.Since(greyFrom) < greyTime
		}
		shared.mu.Unlock()
	}
	fill := map[string]any{"count": 1, "cpu": 20000, "mem_mb": 1024, "est_ms": 40000, "required_label": "r1-9", "image": "img-b", "fills": true}
	if _, ok := c.submit(jobID(2), map[string]any{"spec": "recalculation that fills ms=60000", "steps": []any{fill}}); !ok {
		return giveUp(c, path, "a job was not accepted")
	}
	var overFrom, noted time.Time
	var found []string
	for began := time.Now(); time.Since(began) < 30*time.Second; time.Sleep(50 * time.Millisecond) {
		shared.mu.Lock()
		serves := false
		for _, t := range shared.running {
			serves = serves || t.serves
		}
		tail, paces := shared.tail()
		calm := greyFrom.IsZero() || time.Since(greyFrom) > greyTime+calmTime
		shared.mu.Unlock()
		now := time.Now()
		if now.Sub(noted) >= time.Second {
			noted = now
			c.record.add("the serving task runs: %v, its tail is %d ms, its target %d ms; tasks that fill work at %d%%; calm: %v", serves, tail, targetMS, paces, calm)
		}
		if !serves || !calm || tail <= targetMS || paces == 0 {
			overFrom = time.Time{}
			continue
		}
		if overFrom.IsZero() {
			overFrom = now
		}
		if over := now.Sub(overFrom); over > harmTime && len(found) == 0 {
			found = append(found, fmt.Sprintf("the serving task has been over its target for %.1f s on end, at %d ms, and alone has %d ms; the task that fills works at %d%%", over.Seconds(), tail, tailAlone, paces))
		}
	}
	if len(shared.runs()) < 2 && len(found) == 0 {
		return giveUp(c, path, "the two tasks did not run beside each other")
	}
	return finish(c, path, found)
}
