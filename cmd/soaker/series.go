package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// minTerm and maxTerm bound the time between the ends of two leaders that follow each
	// other. A lease lasts longer than maxTerm.
	minTerm = 3500 * time.Millisecond
	maxTerm = 5 * time.Second
	// minLeaders and maxLeaders bound how many leaders end in a series.
	minLeaders = 3
	maxLeaders = 5
	// minAway and maxAway bound how long the entry of a leader that has ended is away.
	minAway = 300 * time.Millisecond
	maxAway = 3 * time.Second
	// lossLead is how long before the first leader ends a runner may be lost.
	lossLead = 2 * time.Second
	// minLate and maxLate bound how long a lost runner is away that returns.
	minLate = 8 * time.Second
	maxLate = 20 * time.Second
	// leaderWait is how long a series waits for an entry to lead.
	leaderWait = 3 * time.Second
)

// playLeadersGone ends leaders that follow each other, and loses runners for good.
func playLeadersGone(s *soak, r *rand.Rand) { s.playLeaders(r, s.leaveForGood) }

// playLeadersLate ends leaders that follow each other, and has the runners that it loses
// return late.
func playLeadersLate(s *soak, r *rand.Rand) {
	s.playLeaders(r, func(r *rand.Rand, w *runner) { s.darken(w, between(r, minLate, maxLate)) })
}

// playLeaders ends the leaders one after another and loses one or two runners meanwhile.
func (s *soak) playLeaders(r *rand.Rand, lose func(r *rand.Rand, w *runner)) {
	ends := [][]func(*process){{(*process).kill}, {stop}, {(*process).kill, stop}}[r.IntN(3)]
	endAt := []time.Duration{lossLead}
	for range minLeaders + r.IntN(maxLeaders-minLeaders+1) - 1 {
		endAt = append(endAt, endAt[len(endAt)-1]+between(r, minTerm, maxTerm))
	}
	var group errgroup.Group
	for range 1 + r.IntN(2) {
		at, own := between(r, 0, endAt[len(endAt)-1]), rand.New(rand.NewPCG(r.Uint64(), r.Uint64()))
		group.Go(func() error {
			if pause(s.ctx, at) == nil {
				lose(own, s.cell.lastingRunner(own))
			}
			return nil
		})
	}
	began := time.Now()
	for _, at := range endAt {
		end, away := ends[r.IntN(len(ends))], between(r, minAway, maxAway)
		if pause(s.ctx, time.Until(began.Add(at))) != nil {
			break
		}
		if i, found := s.leader(); found {
			s.cell.record.add("the leader %s ends", entryName(i))
			s.playAway(s.cell.entries[i], away, end)
		}
	}
	_ = group.Wait()
}

// leader returns the index of the entry that leads, by the store. It returns false if none
// does for a while.
func (s *soak) leader() (int, bool) {
	for until := time.Now().Add(leaderWait); time.Now().Before(until); {
		var lead struct {
			Name string `json:"name"`
		}
		if value := s.cell.store.value("keyed.leads", "@lead"); value != nil {
			s.failed(json.Unmarshal(value, &lead))
		}
		for i, p := range s.cell.entries {
			if entryName(i) == lead.Name && p.runs() {
				return i, true
			}
		}
		_ = pause(s.ctx, poll)
	}
	return 0, false
}

// lastingRunner draws a runner that is up, one with a task that lasts if there is any.
func (c *cell) lastingRunner(r *rand.Rand) *runner {
	var found *runner
	all := c.allRunners()
	for _, i := range r.Perm(len(all)) {
		w := all[i]
		w.mu.Lock()
		up, lasts := w.up, false
		for _, t := range w.running {
			lasts = lasts || t.takes == 0
		}
		w.mu.Unlock()
		if up && lasts {
			return w
		}
		if up || found == nil {
			found = w
		}
	}
	return found
}

// restarts describes how long it took from the loss of a runner until each task that ran
// there had a run again. Tasks without a place to run don't count as never run again.
func (c *cell) restarts() string {
	places, _ := c.survey()
	runs := map[string][]start{}
	for _, w := range c.allRunners() {
		w.mu.Lock()
		for _, s := range w.starts {
			runs[s.task] = append(runs[s.task], s)
		}
		w.mu.Unlock()
	}
	longest, task, never := time.Duration(0), "", 0
	c.board.mu.Lock()
	defer c.board.mu.Unlock()
	for name, starts := range runs {
		slices.SortFunc(starts, func(a, b start) int { return a.at.Compare(b.at) })
		for i, s := range starts {
			if s.how != lostEnd {
				continue
			}
			if i+1 < len(starts) {
				if took := starts[i+1].at.Sub(s.until); took > longest {
					longest, task = took, name
				}
			} else if t, _ := c.board.find(name); t != nil && t.cancelled.IsZero() && !t.hopeless() && c.fits(t, parseTask(name).step, places) >= spareFactor {
				never++
			}
		}
	}
	return fmt.Sprintf("longest from the loss of a runner to the next run %.1f s (task %q), never %d", longest.Seconds(), task, never)
}
