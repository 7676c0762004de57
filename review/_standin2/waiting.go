package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	visible = 3 * time.Second // visible_ms
	oldest  = 2 * time.Second // how old a count may be
)

// runWaiting loses a runner for good while jobs are started there, and asks for the number
// of jobs that have not begun.
func runWaiting(path string, trouble bool) int {
	c, err := newCell(120*time.Second, 2)
	if err != nil {
		return giveUp(nil, path, err.Error())
	}
	defer c.close()
	if why := c.smallDeployment(6); why != "" {
		return giveUp(c, path, why)
	}
	// Two runners are of another kind, which the jobs require.
	for n := range 2 {
		if err := c.addRunner(fmt.Sprintf("i-7f3a91a%d", n), "muc-nord", "c", "r1-9", 64000); err != nil {
			return giveUp(c, path, err.Error())
		}
	}
	time.Sleep(3 * time.Second)
	first := map[string]any{"count": 1, "cpu": 40000, "mem_mb": 1024, "est_ms": 60000, "required_label": "c"}
	if _, ok := c.submit(jobID(100), map[string]any{"spec": "feed", "steps": []any{first}}); !ok {
		return giveUp(c, path, "a job was not accepted")
	}
	time.Sleep(2 * time.Second)
	var victim *runner
	for _, w := range c.runners {
		if w.kind == "c" && len(w.runs()) == 0 {
			victim = w // urgent tasks go to the runner with the most room
		}
	}
	if victim == nil {
		return giveUp(c, path, "no runner is free")
	}
	polled := make(chan struct{})
	var once sync.Once
	victim.mu.Lock()
	victim.onHold = func() { once.Do(func() { close(polled) }) }
	victim.mu.Unlock()
	<-polled
	time.Sleep(50 * time.Millisecond)
	if trouble {
		victim.lose()
	}
	const jobs = 30
	accepted := map[string]time.Time{}
	step := map[string]any{"count": 1, "cpu": 1000, "mem_mb": 256, "est_ms": 800, "required_label": "c"}
	for n := range jobs {
		at, ok := c.submit(jobID(n), map[string]any{"spec": "quote ms=800", "steps": []any{step}})
		if !ok {
			return giveUp(c, path, "a job was not accepted")
		}
		accepted[jobID(n)] = at
	}
	var found []string
	for began := time.Now(); time.Since(began) < 10*time.Second; time.Sleep(100 * time.Millisecond) {
		for _, e := range c.entries {
			asked := time.Now()
			status, answer := c.call(e, http.MethodGet, prefix, nil)
			if status != http.StatusOK {
				continue
			}
			waiting, _ := answer["waiting"].(float64)
			unbegun := 0
			for id, at := range accepted {
				if asked.Sub(at) > visible+oldest && !c.record.begun(id) {
					unbegun++
				}
			}
			c.record.add("GET %s at %s: waiting %v; %d jobs accepted over %v before have not begun", prefix, e.name, waiting, unbegun, visible+oldest)
			if 2*int(waiting) < unbegun {
				found = append(found, fmt.Sprintf("%s gives %v as waiting; %d jobs that were accepted over %v before have not begun", e.name, waiting, unbegun, visible+oldest))
			}
		}
	}
	return finish(c, path, found)
}
