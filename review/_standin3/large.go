package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// largeJob returns the body of a job with many small tasks, each of which takes a time.
func largeJob(tasks int, lasts time.Duration) string {
	ms := lasts.Milliseconds()
	return fmt.Sprintf(`{"spec":"ms=%d","steps":[{"count":%d,"cpu":50,"mem_mb":16,"est_ms":%d}]}`, ms, tasks, ms)
}

// chain returns the body of a job whose steps of two tasks follow each other.
func chain(steps int, lasts time.Duration) string {
	ms, body := lasts.Milliseconds(), ""
	for i := range steps {
		after := ""
		if i > 0 {
			after = fmt.Sprintf(`,"after":[%d]`, i-1)
			body += ","
		}
		body += fmt.Sprintf(`{"count":2,"cpu":500,"mem_mb":64,"est_ms":%d%s}`, ms, after)
	}
	return fmt.Sprintf(`{"spec":"ms=%d","steps":[%s]}`, ms, body)
}

// accept submits a job until it is accepted, at one entry after the other, and reports whether
// it was.
func (c *cell) accept(first int, id, body string) bool {
	for attempt := range len(c.entries) {
		if status, _ := c.submit(c.entries[(first+attempt)%len(c.entries)], id, body); status == http.StatusOK {
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// stalled checks for jobs whether one has nothing running for 3 s while its tasks' turn has come.
// A task's turn comes when the steps before its own are done; no job here waits for a time.
func (c *cell) stalled(jobs map[string]int) bool { return c.stalledFor(jobs, 4*time.Second) }

// stalledFor is stalled for a given time.
func (c *cell) stalledFor(jobs map[string]int, lasts time.Duration) bool {
	broken := false
	idle := map[string]time.Time{}
	for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for id, tasks := range jobs {
			running, _, done := c.watch.counts(id)
			since, counts := idle[id]
			switch {
			case running > 0 || done >= tasks:
				delete(idle, id)
			case !counts:
				idle[id] = time.Now()
			case time.Since(since) > 3*time.Second:
				c.say("LOST: job %s has had nothing running for 3 s with %d of %d tasks done, while %d tasks run at all runners", id, done, tasks, c.watch.all())
				idle[id] = time.Now().Add(time.Hour)
				broken = true
			}
		}
	}
	return broken
}

// asked asks each entry for jobs, and reports whether one is not known or gets no answer in the
// time that the client waits, three times in a row.
func (c *cell) asked(jobs map[string]int) bool {
	var broken atomic.Bool
	var group errgroup.Group
	for _, e := range c.entries {
		for id := range jobs {
			group.Go(func() error {
				state := ""
				for range 3 {
					if state = c.state(e, id); state != "" {
						break
					}
				}
				_, starts, done := c.watch.counts(id)
				c.say("entry %s gives the state of job %s as %q; %d of its tasks were started, %d are done", e.name, id, state, starts, done)
				if state == "" || state == "gone" {
					c.say("LOST: job %s was accepted, and entry %s doesn't tell its state in time", id, e.name)
					broken.Store(true)
				}
				return nil
			})
		}
	}
	_ = group.Wait()
	return broken.Load()
}

// stuck says for each entry whether it ends at SIGTERM within grace_s.
func (c *cell) stuck() {
	var group errgroup.Group
	for _, e := range c.entries {
		group.Go(func() error {
			c.signal(e, syscall.SIGTERM)
			select {
			case <-e.exited:
			case <-time.After(6 * time.Second):
				c.say("entry %s has not ended 6 s after SIGTERM", e.name)
			}
			return nil
		})
	}
	_ = group.Wait()
}

// playCancel has two large jobs cancelled right after the leader was killed, while six others go
// on. Without the trouble nothing is killed.
func playCancel(out *recorder, program string, trouble bool) bool {
	const tasks = 2150
	c := newCell(out, program, 3, 48)
	c.begin()
	large := []string{id(0), id(1)}
	for i, job := range large {
		if !c.accept(i, job, largeJob(tasks, time.Minute)) {
			c.cannot(fmt.Errorf("job %s was not accepted", job))
		}
		if !c.until(15*time.Second, func() bool { running, _, _ := c.watch.counts(job); return running == tasks }) {
			c.cannot(fmt.Errorf("the tasks of job %s don't all run", job))
		}
	}
	const steps, others = 6, 6
	jobs := map[string]int{}
	for i := range others {
		job := id(10 + i)
		if !c.accept(0, job, chain(steps, 1500*time.Millisecond)) {
			c.cannot(fmt.Errorf("job %s was not accepted", job))
		}
		jobs[job] = 2 * steps
	}
	time.Sleep(time.Second)
	leader := c.leader()
	if leader == nil {
		c.cannot(fmt.Errorf("no entry leads"))
	}
	c.say("entry %s leads, %d tasks run", leader.name, c.watch.all())
	if trouble {
		c.signal(leader, syscall.SIGKILL)
	}
	for _, job := range large {
		for _, e := range c.entries {
			if e == leader {
				continue
			}
			if status, _ := c.call(e, http.MethodDelete, job, ""); status == http.StatusOK || status == http.StatusGone {
				break
			}
		}
	}
	if trouble {
		time.Sleep(500 * time.Millisecond)
		c.start(leader)
	}
	time.Sleep(finish)
	broken := c.stalled(jobs)
	if broken {
		for _, e := range c.entries {
			c.signal(e, syscall.SIGKILL)
			c.start(e)
		}
		c.say("all entries were started anew")
		time.Sleep(finish)
		c.stalled(jobs)
		if !c.accept(0, id(3), chain(1, 300*time.Millisecond)) {
			c.say("a job of two tasks is accepted by no entry")
		}
	}
	c.stuck()
	return broken
}

// outage is how long the store answers no calls.
const outage = 4200 * time.Millisecond

// playOutage has the store answer no calls, while the second steps of large jobs become ready one
// after the other. Without the trouble the store serves on.
func playOutage(out *recorder, program string, trouble bool) bool {
	const (
		count = 8
		tasks = 1500
		every = 400 * time.Millisecond
		first = count*every + 300*time.Millisecond
	)
	c := newCell(out, program, 3, 48)
	var down atomic.Bool
	c.store.silent = down.Load
	c.begin()
	jobs := map[string]int{}
	for i := range count {
		body := fmt.Sprintf(`{"spec":"ms=%d","steps":[{"count":1,"cpu":500,"mem_mb":64,"est_ms":%d},{"count":%d,"cpu":50,"mem_mb":16,"est_ms":%d,"after":[0]}]}`,
			first.Milliseconds(), first.Milliseconds(), tasks, first.Milliseconds())
		if !c.accept(i, id(i), body) {
			c.cannot(fmt.Errorf("job %s was not accepted", id(i)))
		}
		jobs[id(i)] = 1 + tasks
		time.Sleep(every)
	}
	if trouble {
		c.say("the store answers no calls")
		down.Store(true)
		time.Sleep(outage)
		down.Store(false)
		c.say("the store answers again")
	}
	time.Sleep(8 * time.Second)
	last := id(100)
	if !c.accept(0, last, chain(1, 300*time.Millisecond)) {
		c.cannot(fmt.Errorf("job %s was not accepted", last))
	}
	time.Sleep(finish)
	broken := c.asked(map[string]int{last: 2})
	broken = c.stalled(jobs) || broken
	c.stuck()
	return broken
}
