package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// cancelTime is how long after its cancelling was acknowledged a task of a job may start.
	cancelTime = 3 * time.Second
	// leastLarge and mostLarge bound the tasks of a large job, mostInBurst the jobs of a burst.
	leastLarge  = 1000
	mostLarge   = 3500
	mostInBurst = 4
	// keptShare is the share of the bursts that are not cancelled.
	keptShare = 0.25
	// takeoverShare is the share of the others that are cancelled right after the leader was
	// killed, and silentShare that of those cancelled while runners answer few orders.
	takeoverShare = 0.4
	silentShare   = 0.5
	// lostEvery is one in how many orders is lost meanwhile.
	lostEvery = 19
	// askTries is how often in a row an entry is asked for a job at the end.
	askTries = 3
)

var (
	largeAt      = span{0, trafficTime - 8*time.Second}
	largeWork    = span{200 * time.Millisecond, 20 * time.Second}
	cancelMoment = span{50 * time.Millisecond, 4 * time.Second} // from a job's acceptance
	ordersLost   = span{2 * time.Second, 5500 * time.Millisecond}
)

// submitLarge submits bursts of large jobs in the course of the traffic. Most are cancelled, those
// of a burst together.
func (s *soak) submitLarge(r *rand.Rand, bursts int) {
	for range bursts {
		at, own := largeAt.draw(r), rand.New(rand.NewPCG(r.Uint64(), r.Uint64()))
		s.group.Go(func() error {
			if pause(s.ctx, at) != nil {
				return nil
			}
			var burst []*tracked
			for n := range 1 + own.IntN(mostInBurst) {
				work := largeWork.draw(own).Milliseconds()
				large := job{Spec: fmt.Sprintf("0=%d", work), Steps: []step{{
					Count: leastLarge + own.IntN(mostLarge-leastLarge+1), CPU: 50, Memory: 16, Estimate: int(work),
				}}}
				burst = append(burst, s.submit(s.kinds[1], large, fmt.Sprintf("%016x", own.Uint64()), n, false))
			}
			if own.Float64() >= keptShare {
				s.cancelLarge(own, burst)
			}
			return nil
		})
	}
}

// cancelLarge cancels jobs some time after they were accepted: in calm, while orders are lost, or
// right after the leader was killed.
func (s *soak) cancelLarge(r *rand.Rand, burst []*tracked) {
	moment, killed, silent, away := cancelMoment.draw(r), r.Float64() < takeoverShare, r.Float64() < silentShare, notRunning.draw(r)
	for _, t := range burst {
		for !s.cell.board.isAccepted(t) {
			if pause(s.ctx, readyInterval) != nil {
				return
			}
		}
	}
	if silent {
		s.loseOrders(ordersLost.draw(r))
	}
	if pause(s.ctx, moment) != nil {
		return
	}
	if i, found := s.leader(); killed && found {
		s.cell.record.add("the leader %s ends, and %d large jobs are cancelled", entryName(i), len(burst))
		s.count(1)
		s.cell.entries[i].kill()
		s.group.Go(func() error {
			_ = pause(s.ctx, away)
			s.failed(s.cell.entries[i].start())
			s.count(-1)
			return nil
		})
	}
	for n, t := range burst {
		s.group.Go(func() error {
			s.cancel(s.clients[n%len(s.clients)], t)
			return nil
		})
	}
}

// loseOrders has all runners lose a share of the orders for a time.
func (s *soak) loseOrders(length time.Duration) {
	s.count(1)
	s.cell.ordersLost.Add(1)
	s.group.Go(func() error {
		_ = pause(s.ctx, length)
		s.cell.ordersLost.Add(-1)
		s.count(-1)
		return nil
	})
}

// losses counts orders, some of which are lost while it is on.
type losses struct {
	atomic.Int64 // on if it is over 0
	orders       atomic.Int64
}

// lose reports whether the next order is lost.
func (l *losses) lose() bool {
	return l != nil && l.Load() > 0 && l.orders.Add(1)%lostEvery == 0
}

// acknowledge notes that the cancelling of a job was acknowledged.
func (b *board) acknowledge(t *tracked) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t.acked.IsZero() {
		t.acked = time.Now()
	}
}

func (b *board) isAccepted(t *tracked) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !t.accepted.IsZero()
}

// checkCancelled notes a start that comes too late after its job's cancelling, in a calm time.
// The caller holds the lock.
func (b *board) checkCancelled(t *tracked, name string, run int) {
	now := time.Now()
	if t.acked.IsZero() || now.Sub(t.acked) <= cancelTime || b.calmSince == nil || now.Sub(b.calmSince()) < calmTime {
		return
	}
	b.breaks("UNASKED: %s run %d begins %.1f s after its cancelling was acknowledged", name, run, now.Sub(t.acked).Seconds())
}

// left returns the cancelled jobs of which tasks still run at the end, after a calm time.
func (b *board) left() verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	var broken verdict
	for _, t := range b.jobs {
		if !t.acked.IsZero() && len(t.running) > 0 {
			broken = append(broken, fmt.Sprintf("UNASKED: %d tasks of %s run at the end, %.1f s after its cancelling was acknowledged", len(t.running), t.id, time.Since(t.acked).Seconds()))
		}
	}
	return broken
}

// askEach asks each entry for a job that was accepted and not cancelled. All are up.
func (s *soak) askEach() verdict {
	var asked *tracked
	s.cell.board.mu.Lock()
	for _, t := range s.cell.board.jobs {
		if !t.accepted.IsZero() && t.cancelled.IsZero() && (asked == nil || t.accepted.After(asked.accepted)) {
			asked = t
		}
	}
	s.cell.board.mu.Unlock()
	if asked == nil {
		return nil
	}
	answers := make([]int, len(s.cell.entries))
	var group errgroup.Group
	for i := range s.cell.entries {
		group.Go(func() error {
			c := newClient(i)
			for range askTries {
				if answers[i], _, _, _ = c.call(s, i, http.MethodGet, asked.queue, asked.id, nil); answers[i] == http.StatusOK {
					return nil
				}
			}
			return nil
		})
	}
	_ = group.Wait()
	var broken verdict
	for i, status := range answers {
		if status != http.StatusOK {
			broken = append(broken, fmt.Sprintf("LOST: entry %d is asked for %s %d times and answers %d", i+1, asked.id, askTries, status))
		}
	}
	return broken
}

// endEach asks all entries to stop and returns those that don't end in their grace time.
func (s *soak) endEach() verdict {
	stuck := make([]bool, len(s.cell.entries))
	var group errgroup.Group
	for i, p := range s.cell.entries {
		group.Go(func() error {
			stuck[i] = !p.stop()
			return nil
		})
	}
	_ = group.Wait()
	var broken verdict
	for i, is := range stuck {
		if is {
			broken = append(broken, fmt.Sprintf("LOST: entry %d has not ended %v after SIGTERM", i+1, graceTime))
		}
	}
	return broken
}
