package main

import (
	"fmt"
	"time"
)

// playLong sends jobs for three seconds, of which one in twenty takes sixty times as long as the
// others do at most, and needs runners of the kind that a third of the runners have. Without the
// trouble these take the usual time.
func playLong(out *recorder, program string, trouble bool) bool {
	const (
		usual, longer = 15 * time.Second, 60
		lasts         = 3 * time.Second
		count, share  = 40, 20
	)
	c := newCell(out, program, 3, 6)
	c.begin()
	ms := usual.Milliseconds()
	if trouble {
		ms *= longer
	}
	jobs := map[string]int{}
	for i := range count {
		body := `{"spec":"ms=1000","steps":[{"count":2,"cpu":1000,"mem_mb":1000,"est_ms":1000}]}`
		if i%share == 0 {
			body = fmt.Sprintf(`{"spec":"ms=%d","steps":[{"count":1,"cpu":11000,"mem_mb":31000,"est_ms":%d,"required_label":"b"}]}`, ms, ms)
			jobs[id(i)] = 1
		}
		sent := time.Now()
		if !c.accept(i, id(i), body) {
			c.cannot(fmt.Errorf("job %s was not accepted", id(i)))
		}
		time.Sleep(lasts/count - time.Since(sent))
	}
	c.say("the last job is accepted")
	time.Sleep(finish)
	broken := c.stalledFor(jobs, 60*time.Second)
	for job := range jobs {
		running, starts, done := c.watch.counts(job)
		c.say("job %s: its task was started %d times, %d runs now, %d done", job, starts, running, done)
	}
	return broken
}
