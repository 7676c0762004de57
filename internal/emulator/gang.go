package emulator

import (
	"fmt"
	"time"

	"github.com/endivelock/endivelock/internal/leader"
)

// gangRun is one run of a gang.
type gangRun struct {
	at     []*workerState // of each member that has started
	began  time.Time      // when the last of them started, zero before
	broken bool           // a member has ended without being done
	done   bool
}

// gangKey identifies a run of a gang.
func gangKey(o leader.Order) string {
	return fmt.Sprintf("%s.%d.%d#%d", o.Task.Job, o.Task.Round, o.Task.Step, o.Run)
}

// gang returns the run of the gang that an order's task belongs to, or nil. The caller
// holds c.mu.
func (c *Cell) gang(o leader.Order) *gangRun {
	if c.Members == nil || c.Members(o.Task) == 0 {
		return nil
	}
	key := gangKey(o)
	g, ok := c.gangs[key]
	if !ok {
		g = &gangRun{}
		c.gangs[key] = g
	}
	return g
}

// join adds a member at a worker. The gang works once it has its size.
func (g *gangRun) join(w *workerState, size int) {
	if g.at = append(g.at, w); len(g.at) == size {
		g.began = time.Now()
	}
}

// note takes note of the end of a member.
func (g *gangRun) note(how leader.EndKind) {
	if how == leader.EndDone {
		g.done = true
		return
	}
	g.broken = true
}

// dueInGang is like due, for a member of a gang. The members work from when all of them are
// there, and only together. The caller holds c.mu.
func (c *Cell) dueInGang(g *gangRun, w *workerState, key string, now time.Time) leader.EndKind {
	for _, other := range g.at {
		if other != w {
			c.expire(other, now)
		}
	}
	complete := !g.began.IsZero()
	switch {
	case g.done:
		return leader.EndDone
	case complete && now.Sub(g.began) > c.RunTime:
		if how := c.endOf(w.tasks[key]); how != leader.EndDone || !g.broken {
			return how
		}
		return leader.EndGangBroken
	case g.broken:
		return leader.EndGangBroken
	case !complete && c.GangWait > 0 && now.Sub(w.running[key]) > c.GangWait:
		return leader.EndGangIncomplete
	}
	return ""
}
