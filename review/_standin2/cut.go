package main

import (
	"fmt"
	"sync"
	"time"
)

// cutTime is how long a runner is cut off.
const cutTime = 5500 * time.Millisecond

// runCut cuts a runner off while tasks are started there. No task may run twice.
func runCut(path string, trouble bool) int {
	c, err := newCell(120*time.Second, 2)
	if err != nil {
		return giveUp(nil, path, err.Error())
	}
	defer c.close()
	if why := c.smallDeployment(8); why != "" {
		return giveUp(c, path, why)
	}
	// Two runners of the double size are of another kind, which the jobs require.
	for n := range 2 {
		if err := c.addRunner(fmt.Sprintf("i-7f3a91a%d", n), "muc-nord", "c", "r1-9", 128000); err != nil {
			return giveUp(c, path, err.Error())
		}
	}
	for _, w := range c.runners {
		w.answers = 3 * time.Millisecond
	}
	time.Sleep(3 * time.Second)
	first := map[string]any{"count": 1, "cpu": 80000, "mem_mb": 1024, "est_ms": 60000, "required_label": "c"}
	if _, ok := c.submit(jobID(100), map[string]any{"spec": "recalculation", "steps": []any{first}}); !ok {
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
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		victim.cut(cutTime)
	}
	step := map[string]any{"count": 30, "cpu": 2000, "mem_mb": 256, "est_ms": 3000, "required_label": "c"}
	for n := range 2 {
		if _, ok := c.submit(jobID(n), map[string]any{"spec": "quote ms=3000", "steps": []any{step}}); !ok {
			return giveUp(c, path, "a job was not accepted")
		}
	}
	time.Sleep(20 * time.Second)
	for n := range 2 {
		c.record.add("GET %s at %s: %s", jobID(n), c.entries[0].name, c.state(c.entries[0], jobID(n)))
	}
	return finish(c, path, append(c.record.twice(), c.record.afterDone()...))
}
