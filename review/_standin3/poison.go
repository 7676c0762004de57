package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"
)

// playPoison sends jobs for three seconds, of which one in twenty can never be done, and these
// need runners of the kind that a third of the runners have. Without the trouble all can be done.
func playPoison(out *recorder, program string, trouble bool) bool {
	const (
		lasts    = 3 * time.Second
		count    = 160
		share    = 20 // one in so many can't be done
		poisoned = "00ff"
	)
	c := newCell(out, program, 3, 48)
	for _, r := range c.runners {
		r.fails = func(task string, _ int) bool { return trouble && strings.HasPrefix(task, poisoned) }
	}
	c.begin()
	var group errgroup.Group
	for i := range count {
		name, body := id(i), `{"spec":"ms=200","steps":[{"count":2,"cpu":1000,"mem_mb":256,"est_ms":200,"required_label":"a"}]}`
		if i%share == 0 {
			name = poisoned + id(i)[4:]
			body = `{"spec":"ms=200","steps":[{"count":32,"cpu":1000,"mem_mb":256,"est_ms":200,"required_label":"b","max_per_server":2}]}`
		}
		group.Go(func() error {
			if status, _ := c.submit(c.entries[i%len(c.entries)], name, body); status != http.StatusOK {
				c.note("job %s was not accepted", name)
			}
			return nil
		})
		time.Sleep(lasts / count)
	}
	_ = group.Wait()
	jobs := map[string]int{}
	for i := range 3 {
		const body = `{"spec":"ms=13000","steps":[{"count":1,"cpu":1000,"mem_mb":256,"est_ms":13000},{"count":1,"cpu":1000,"mem_mb":256,"est_ms":13000,"after":[0]},` +
			`{"count":2,"cpu":1000,"mem_mb":256,"est_ms":13000,"after":[1],"required_label":"b"}]}`
		job := id(1000 + i)
		if !c.accept(i, job, body) {
			c.cannot(fmt.Errorf("job %s was not accepted", job))
		}
		jobs[job] = 4
	}
	c.say("the last job is accepted")
	time.Sleep(finish)
	broken := c.stalledFor(jobs, 22*time.Second)
	for job := range jobs {
		_, starts, done := c.watch.counts(job)
		c.say("job %s: %d starts, %d tasks done", job, starts, done)
	}
	return broken
}
