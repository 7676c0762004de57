package main

import (
	"fmt"
	"sync"
	"time"
)

// shortCut is how long the runner is cut off: a little longer than its leases last.
const shortCut = 4800 * time.Millisecond

// runLate cuts a runner off as two tasks are started there. The starts are on their way for
// as long as the sender's system takes to send them again after the cut. No task may run
// twice.
func runLate(path string, trouble bool) int {
	c, err := newCell(120*time.Second, 2)
	if err != nil {
		return giveUp(nil, path, err.Error())
	}
	defer c.close()
	if why := c.smallDeployment(8); why != "" {
		return giveUp(c, path, why)
	}
	// Two runners are of another kind, which the job requires.
	for n := range 2 {
		if err := c.addRunner(fmt.Sprintf("i-7f3a91a%d", n), "muc-nord", "c", "r1-9", 64000); err != nil {
			return giveUp(c, path, err.Error())
		}
	}
	time.Sleep(3 * time.Second)
	feeds := map[string]any{"count": 2, "cpu": 5000, "mem_mb": 1024, "est_ms": 60000, "required_label": "c", "max_per_server": 1, "long_running": true}
	if _, ok := c.submit(jobID(100), map[string]any{"spec": "feed", "steps": []any{feeds}}); !ok {
		return giveUp(c, path, "a job was not accepted")
	}
	time.Sleep(time.Second)
	first := map[string]any{"count": 1, "cpu": 20000, "mem_mb": 1024, "est_ms": 60000, "required_label": "c"}
	if _, ok := c.submit(jobID(101), map[string]any{"spec": "recalculation", "steps": []any{first}}); !ok {
		return giveUp(c, path, "a job was not accepted")
	}
	time.Sleep(3 * time.Second)
	var victim *runner
	for _, w := range c.runners {
		w.mu.Lock()
		w.retransmits = true
		w.mu.Unlock()
		if w.kind == "c" && len(w.runs()) == 1 {
			victim = w // urgent tasks go to the runner with the most room
		}
	}
	if victim == nil {
		return giveUp(c, path, "no runner has one task")
	}
	polled := make(chan struct{})
	var once sync.Once
	victim.mu.Lock()
	victim.onHold = func() { once.Do(func() { close(polled) }) }
	victim.mu.Unlock()
	<-polled
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		victim.cut(shortCut)
	}
	step := map[string]any{"count": 2, "cpu": 5000, "mem_mb": 1024, "est_ms": 4000, "required_label": "c"}
	if _, ok := c.submit(jobID(0), map[string]any{"spec": "recalculation ms=4000", "steps": []any{step}}); !ok {
		return giveUp(c, path, "a job was not accepted")
	}
	time.Sleep(16 * time.Second)
	c.record.add("GET %s at %s: %s", jobID(0), c.entries[0].name, c.state(c.entries[0], jobID(0)))
	return finish(c, path, append(c.record.twice(), c.record.afterDone()...))
}
