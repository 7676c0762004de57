package main

import (
	"context"
	"strconv"
	"strings"
	"time"
)

// gangTime is how long the members of a gang wait for the others.
const gangTime = 3 * time.Second

// poll is the time between two looks at what runs.
const poll = 20 * time.Millisecond

// member is a run of a task of a gang.
type member struct {
	at  *runner
	key string
	t   *task
}

// workGangs ends the runs of gangs: done, or some failed and the others broken, together once
// all have worked long enough, broken when one is gone, alone when the others don't come.
func (c *cell) workGangs(ctx context.Context) error {
	full := map[string]time.Time{} // since when all members of a gang were there
	for ctx.Err() == nil {
		if pause(ctx, poll) != nil {
			return nil
		}
		gangs := c.findGangs()
		for name, members := range gangs {
			since, wasFull := full[name]
			switch size := members[0].t.behavior.gang; {
			case len(members) == size && !wasFull:
				full[name] = time.Now()
			case len(members) == size && time.Since(since) >= members[0].t.takes:
				finishWork(members)
			case len(members) < size && wasFull:
				finishAll(members, "broken")
			case len(members) < size:
				for _, m := range members {
					if time.Since(m.t.began) > gangTime {
						finishAll([]member{m}, "alone")
					}
				}
			}
		}
		for name := range full {
			if gangs[name] == nil {
				delete(full, name)
			}
		}
	}
	return nil
}

// findGangs returns the members that run, by step and number of the run.
func (c *cell) findGangs() map[string][]member {
	gangs := map[string][]member{}
	for _, w := range c.allRunners() {
		w.mu.Lock()
		for key, t := range w.running {
			if t.behavior.gang > 0 && !t.stopping {
				name := t.name[:strings.LastIndexByte(t.name, '.')] + "#" + strconv.Itoa(t.run)
				gangs[name] = append(gangs[name], member{w, key, t})
			}
		}
		w.mu.Unlock()
	}
	return gangs
}

// finishWork ends the members of a gang that have worked long enough.
func finishWork(members []member) {
	if !members[0].t.behavior.atOnce {
		finishAll(members, "done")
		return
	}
	var failing, others []member
	for _, m := range members {
		if m.t.behavior.fails {
			failing = append(failing, m)
		} else {
			others = append(others, m)
		}
	}
	finishAll(failing, "failed")
	finishAll(others, "broken")
}

func finishAll(members []member, how string) {
	for _, m := range members {
		m.at.mu.Lock()
		if m.at.running[m.key] == m.t {
			m.at.finish(m.key, m.t, how)
		}
		m.at.mu.Unlock()
	}
}
