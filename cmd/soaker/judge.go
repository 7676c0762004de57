package main

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// stillTime is how long a job has nothing running before it counts as lost.
	stillTime = 3 * time.Second
	// lastingGrace is how long after its last run a lasting task may wait for another, and
	// calmTime how long nothing was disturbed before that counts.
	lastingGrace = 6 * time.Second
	calmTime     = stillTime + 4*time.Second
	// spareFactor is how often over there is room for what waits.
	spareFactor = 2
)

// place is the room left at a runner.
type place struct {
	runner  *runner
	id      string
	free    room
	running map[string]int // runs by step
}

// survey returns the room left at the runners that are up, and the share that is used.
func (c *cell) survey() ([]place, float64) {
	var places []place
	used, all := 0, 0
	for _, w := range c.allRunners() {
		w.mu.Lock()
		if w.up {
			p := place{runner: w, id: w.id, free: w.room, running: map[string]int{}}
			for _, t := range w.running {
				p.free.CPU, p.free.Memory = p.free.CPU-t.size.CPU, p.free.Memory-t.size.Memory
				p.running[stepOf(t.name)]++
			}
			places = append(places, p)
			used, all = used+w.room.CPU-p.free.CPU, all+w.room.CPU
		}
		w.mu.Unlock()
	}
	return places, float64(used) / float64(max(all, 1))
}

// fits returns how many tasks of a step fit, at runners that the advice admits.
func (c *cell) fits(t *tracked, step int, places []place) int {
	s := t.job.Steps[step]
	name := fmt.Sprintf("%s.0.%d", t.id, step)
	n := 0
	for _, p := range places {
		if !c.advice.admits(name, p.id, t.policy.good) {
			continue
		}
		here := s.Count
		if s.CPU > 0 {
			here = min(here, p.free.CPU/s.CPU)
		}
		if s.Memory > 0 {
			here = min(here, p.free.Memory/s.Memory)
		}
		if s.MaxPerServer > 0 {
			here = min(here, s.MaxPerServer-p.running[name])
		}
		n += max(here, 0)
	}
	return n
}

// standing returns the accepted jobs of which nothing runs for stillTime though a task
// could, by the rule for the end of a day.
func (c *cell) standing(now time.Time) verdict {
	places, used := c.survey()
	var found verdict
	if used >= 0.5 {
		return nil
	}
	c.board.mu.Lock()
	defer c.board.mu.Unlock()
	for _, t := range c.board.jobs {
		if t.accepted.IsZero() || !t.cancelled.IsZero() || t.hopeless() || len(t.running) > 0 {
			continue
		}
		since := t.stillFrom
		if since.Before(t.accepted) {
			since = t.accepted
		}
		if now.Sub(since) < stillTime {
			continue
		}
		for step, s := range t.job.Steps {
			want := 1
			if s.Gang {
				want = s.Count
			}
			if t.stepDone(step) || !t.stepReady(step) || c.fits(t, step, places) < spareFactor*want {
				continue
			}
			found = append(found, fmt.Sprintf("LOST: %s of %s has nothing running for %.1f s, step %d could run (%d runs so far, %d at once, room for %d, %.0f%% in use)",
				t.id, t.queue.name, now.Sub(since).Seconds(), step, t.runs, want, c.fits(t, step, places), 100*used))
			break
		}
	}
	slices.Sort(found)
	return found
}

// contradicts returns what is broken if a job that was not cancelled is shown in a state. It is
// called once the answer is there, as what that says has happened by then.
func (b *board) contradicts(t *tracked, state string) verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	done := true
	for step := range t.job.Steps {
		done = done && t.stepDone(step)
	}
	if found := t.failed.Contradicts(state, done, t.queue.attempt); found != "" {
		return verdict{fmt.Sprintf("%s (%s of %s)", found, t.id, t.queue.name)}
	}
	return nil
}

// lastingDown returns the lasting tasks that are down for too long in a calm time.
func (c *cell) lastingDown(now, disturbed time.Time) verdict {
	if now.Sub(disturbed) < calmTime {
		return nil
	}
	places, _ := c.survey()
	c.board.mu.Lock()
	defer c.board.mu.Unlock()
	var found verdict
	for _, t := range c.board.jobs {
		if t.accepted.IsZero() || !t.cancelled.IsZero() || !t.job.Steps[0].LongRunning {
			continue
		}
		for _, name := range t.taskNames(0) {
			since, ended := t.idleSince[name]
			if ended && t.running[name] == 0 && now.Sub(since) > lastingGrace+stillTime && c.fits(t, 0, places) >= spareFactor {
				found = append(found, fmt.Sprintf("LOST: %s is to last and is down for %.1f s", name, now.Sub(since).Seconds()))
			}
		}
	}
	slices.Sort(found)
	return found
}

// stepOf returns the step of a task, ID.K.STEP.
func stepOf(task string) string { return task[:strings.LastIndexByte(task, '.')] }
