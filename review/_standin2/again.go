package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// statusTime is status_s of the deployment. The pages' sites have 120; a smaller one
	// lets the case end within its time.
	statusTime = 30 * time.Second
	// outageTime is how long one partition of the store refuses calls.
	outageTime = 4500 * time.Millisecond
	graceTime  = 6 * time.Second
)

// runAgain has jobs complete while one partition of the store is down, and restarts the
// entries in turn long after that. No task may start again.
func runAgain(path string, trouble bool) int {
	c, err := newCell(statusTime, 2)
	if err != nil {
		return giveUp(nil, path, err.Error())
	}
	defer c.close()
	if why := c.smallDeployment(6); why != "" {
		return giveUp(c, path, why)
	}
	const jobs = 6
	step := map[string]any{"count": 3, "cpu": 5000, "mem_mb": 1024, "est_ms": 1500}
	for n := range jobs {
		if _, ok := c.submit(jobID(n), map[string]any{"spec": "quote ms=1500", "steps": []any{step}}); !ok {
			return giveUp(c, path, "a job was not accepted")
		}
	}
	if trouble {
		c.record.add("the partition of the topic keyed.jobs is down for %v", outageTime)
		until := time.Now().Add(outageTime)
		c.store.setFault(func(r *http.Request) int {
			if r.URL.Query().Get("topic") == "keyed.jobs" && time.Now().Before(until) {
				return http.StatusServiceUnavailable
			}
			return 0
		})
	}
	for n := range jobs {
		for began := time.Now(); c.state(c.entries[0], jobID(n)) != "complete"; time.Sleep(200 * time.Millisecond) {
			if time.Since(began) > 15*time.Second {
				return giveUp(c, path, "a job did not complete")
			}
		}
		c.record.add("GET %s at %s: complete", jobID(n), c.entries[0].name)
	}
	time.Sleep(outageTime)
	c.record.add("the store is whole again; keys of keyed.jobs: %v", c.store.keys("keyed.jobs"))
	time.Sleep(2*statusTime + 3*time.Second)
	c.record.add("keys of keyed.jobs: %v", c.store.keys("keyed.jobs"))
	for _, e := range c.entries {
		c.record.add("%s gets SIGTERM and is started again", e.name)
		if err := e.restart(graceTime); err != nil {
			return giveUp(c, path, err.Error())
		}
		time.Sleep(2500 * time.Millisecond)
	}
	time.Sleep(4 * time.Second)
	for n := range jobs {
		c.record.add("GET %s at %s: %s", jobID(n), c.entries[0].name, c.state(c.entries[0], jobID(n)))
	}
	return finish(c, path, c.record.afterDone())
}

// jobID returns the identifier of a job.
func jobID(n int) string { return fmt.Sprintf("5c0e7a21d94b%04x", n) }

// smallDeployment starts three entries and some runners, a third of kind b. It returns why it could not.
func (c *cell) smallDeployment(runners int) string {
	zones := []string{"muc-nord", "muc-sued", "nue-hafen"}
	for n := range runners {
		kind := "a"
		if n >= runners*2/3 {
			kind = "b"
		}
		if err := c.addRunner(fmt.Sprintf("i-7f3a91%02d", n), zones[n%3], kind, fmt.Sprintf("r1-%d", n/3), 64000); err != nil {
			return err.Error()
		}
	}
	for n, zone := range zones {
		if err := c.addEntry(fmt.Sprintf("front-%s-%d", zone, n+1), zone); err != nil {
			return err.Error()
		}
	}
	if !c.awaitReady() {
		c.recordLogs()
		return "the entries did not get ready"
	}
	time.Sleep(2 * time.Second)
	return ""
}
