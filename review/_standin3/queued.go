package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	cancelTime = 3 * time.Second // cancel_ms
	lateEvery  = 19              // one in so many orders is left unanswered: 0.053 of them
	lateFor    = 5500 * time.Millisecond
)

// playQueued cancels a large job half a second after it was accepted, while the runners leave a
// share of the orders unanswered and carry them out late. Without the trouble they answer all.
func playQueued(out *recorder, program string, trouble bool) bool {
	c := newCell(out, program, 3, 8)
	var late atomic.Bool
	luck, mu, orders := rand.New(rand.NewPCG(3, 11)), sync.Mutex{}, 0
	for _, r := range c.runners {
		r.late = func(string, string) time.Duration {
			mu.Lock()
			defer mu.Unlock()
			if !late.Load() {
				return 0
			}
			if orders++; orders%lateEvery != 0 {
				return 0
			}
			return 2*time.Second + time.Duration(luck.Int64N(int64(10*time.Second)))
		}
	}
	c.begin()
	const tasks = 3500
	job := id(0)
	late.Store(trouble)
	time.AfterFunc(lateFor, func() { late.Store(false) })
	if !c.accept(0, job, fmt.Sprintf(`{"spec":"ms=60000","steps":[{"count":%d,"cpu":100,"mem_mb":32,"est_ms":60000}]}`, tasks)) {
		c.cannot(fmt.Errorf("job %s was not accepted", job))
	}
	time.Sleep(500 * time.Millisecond)
	status, _ := c.call(c.entries[0], http.MethodDelete, job, "")
	acked := time.Now()
	if status != http.StatusOK {
		c.cannot(fmt.Errorf("the cancelling is answered with %d", status))
	}
	c.say("job %s is cancelled", job)
	var after, last int64
	c.watch.mu.Lock()
	c.watch.onStart = func(r *runner, e *execution, late bool) {
		if since := time.Since(acked); !late && since > cancelTime {
			after, last = after+1, since.Milliseconds()
			c.note("UNASKED: runner %s is told to start %s run %d, %d ms after its cancelling was acknowledged", r.id, e.task, e.run, last)
		}
	}
	c.watch.mu.Unlock()
	time.Sleep(15 * time.Second)
	c.watch.mu.Lock()
	defer c.watch.mu.Unlock()
	if after > 0 {
		c.say("UNASKED: %d starts that runners carried out at once came later than %d ms after the cancelling was acknowledged, the last one %d ms after it", after, cancelTime.Milliseconds(), last)
	}
	return after > 0
}

// savedLength is how long the values of saved are: the hexadecimal digits of a hash of 256 bits.
const savedLength = 64

// playSaved kills all entries, so that all leases lapse, while a large job runs whose tasks save
// checkpoints. Without the trouble no entry is killed.
func playSaved(out *recorder, program string, trouble bool) bool {
	const tasks = 3500
	c := newCell(out, program, 3, 48)
	for _, r := range c.runners {
		r.saved = func(e *execution, worked time.Duration) string {
			return fmt.Sprintf("%0*x", savedLength, worked/saveTime)
		}
	}
	c.begin()
	job := id(0)
	if !c.accept(0, job, fmt.Sprintf(`{"spec":"ms=12000","steps":[{"count":%d,"cpu":50,"mem_mb":16,"est_ms":12000,"checkpoint":true}]}`, tasks)) {
		c.cannot(fmt.Errorf("job %s was not accepted", job))
	}
	if !c.until(10*time.Second, func() bool { running, _, _ := c.watch.counts(job); return running == tasks }) {
		c.cannot(fmt.Errorf("the tasks of job %s don't all run", job))
	}
	time.Sleep(2 * time.Second)
	if trouble {
		for _, e := range c.entries {
			c.signal(e, syscall.SIGKILL)
		}
		time.Sleep(9500 * time.Millisecond)
		for _, e := range c.entries {
			c.start(e)
		}
	}
	time.Sleep(12 * time.Second) // recover_s
	jobs := map[string]int{job: tasks}
	second := id(1)
	if c.accept(0, second, chain(1, 300*time.Millisecond)) {
		jobs[second] = 2
	} else {
		c.say("a job of two tasks is accepted by no entry")
	}
	time.Sleep(finish)
	broken := c.stalled(jobs)
	for id := range jobs {
		_, starts, done := c.watch.counts(id)
		c.say("job %s: %d of %d tasks done, %d starts", id, done, jobs[id], starts)
	}
	return broken
}
