package main

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"time"
)

// kindOfJob is a kind of request of the traffic.
type kindOfJob struct {
	queue     queue
	policy    advice
	perSecond float64
	steps     float64 // mean, as the others
	width     float64
	maxWidth  int
	cpu, mem  float64
	work      time.Duration
	apart     float64 // share with one task a runner
	gang      float64
	lasts     bool
	fail      float64
	poison    float64
	cancel    float64
}

// deskTraffic is the traffic of a small deployment: urgent searches, deferred
// batches and feeds that last, a number of times over.
func deskTraffic(times float64) []kindOfJob {
	kinds := []kindOfJob{
		{
			queue: queue{"search", 0, 3}, policy: advice{19, 0.27, 2000, 0.7}, perSecond: 12, steps: 1.6, width: 6, maxWidth: 36,
			cpu: 2500, mem: 9300, work: 640 * time.Millisecond, apart: 0.15, fail: 0.02, poison: 0.03,
		},
		{
			queue: queue{"recon", 2, 2}, policy: advice{430, 6.1, 2000, 0.35}, perSecond: 1.2, steps: 2, width: 13, maxWidth: 64,
			cpu: 5500, mem: 16000, work: 3800 * time.Millisecond, gang: 0.08, fail: 0.05, poison: 0.01, cancel: 0.05,
		},
		{
			queue: queue{"watch", 1, 3}, policy: advice{450, 6.5, 2000, 0.35}, perSecond: 0.25, steps: 1, width: 8, maxWidth: 48,
			cpu: 6700, mem: 14000, work: 400 * time.Millisecond, apart: 0.7, lasts: true, cancel: 0.2,
		},
	}
	for i := range kinds {
		kinds[i].perSecond *= times
	}
	return kinds
}

// spread draws a figure around a mean.
func spread(r *rand.Rand, mean, sigma float64) float64 {
	return mean * math.Exp(r.NormFloat64()*sigma-sigma*sigma/2)
}

// draw draws a job.
func (k kindOfJob) draw(r *rand.Rand) job {
	j := job{failShare: k.fail, poisoned: r.Float64() < k.poison}
	for i := range max(1, int(spread(r, k.steps, 0.4)+0.5)) {
		s := step{
			Count: min(k.maxWidth, max(1, int(spread(r, k.width, 0.7)))), CPU: int(min(spread(r, k.cpu, 0.45), 3*k.cpu)),
			Memory: int(min(spread(r, k.mem, 0.5), 3*k.mem)), LongRunning: k.lasts, Gang: r.Float64() < k.gang,
		}
		if r.Float64() < k.apart {
			s.MaxPerServer = 1
		}
		if i > 0 {
			s.After = []int{i - 1}
		}
		if !k.lasts {
			took := time.Duration(min(spread(r, float64(k.work), 0.5), 2.5*float64(k.work)))
			s.Estimate = int(took.Milliseconds())
			j.Spec += fmt.Sprintf("%d=%d,", i, s.Estimate)
		}
		j.Steps = append(j.Steps, s)
	}
	return j
}

// traffic submits jobs of all kinds until the context ends.
func (s *soak) traffic(ctx context.Context, r *rand.Rand) error {
	rate := 0.0
	for _, k := range s.kinds {
		rate += k.perSecond
	}
	for n := 0; ; n++ {
		if pause(ctx, time.Duration(r.ExpFloat64()/rate*float64(time.Second))) != nil {
			return nil
		}
		at := r.Float64() * rate
		for _, k := range s.kinds {
			if at -= k.perSecond; at < 0 {
				s.submit(k, k.draw(r), fmt.Sprintf("%016x", r.Uint64()), n, r.Float64() < k.cancel)
				break
			}
		}
	}
}

// submitWide submits lasting jobs with a task for each runner, most of which the advice
// doesn't admit.
func (s *soak) submitWide(size cellSize) {
	k := s.kinds[len(s.kinds)-1]
	for n := range size.wide {
		wide := job{Steps: []step{{Count: size.runners, CPU: 500, Memory: 1000, MaxPerServer: 1, LongRunning: true}}}
		s.submit(k, wide, fmt.Sprintf("%016x", n+1), n, false)
	}
}

// submit has a client submit a job, and cancel it later. It doesn't wait for that.
func (s *soak) submit(k kindOfJob, j job, id string, n int, cancels bool) *tracked {
	t := s.cell.board.add(id, k.queue, &k.policy, j)
	s.group.Go(func() error {
		c := s.clients[n%len(s.clients)]
		for range maxTries {
			status := c.send(s, http.MethodPost, k.queue, id, j)
			switch {
			case status == http.StatusOK:
				s.cell.board.mu.Lock()
				t.accepted = time.Now()
				s.cell.board.mu.Unlock()
				if cancels && pause(s.ctx, cancelAfter) == nil {
					s.cancel(c, t)
				}
				return nil
			case status == 0, status >= http.StatusInternalServerError, status == http.StatusTooManyRequests:
				_ = pause(s.ctx, retryAfter)
			default:
				s.breaks("a job of %s is rejected with %d", k.queue.name, status)
				return nil
			}
		}
		return nil
	})
	return t
}

const (
	maxTries    = 10
	retryAfter  = 400 * time.Millisecond
	cancelAfter = 5 * time.Second
)

func (s *soak) cancel(c *client, t *tracked) {
	s.cell.board.mu.Lock()
	t.cancelled = time.Now()
	s.cell.board.mu.Unlock()
	for range maxTries {
		if status := c.send(s, http.MethodDelete, t.queue, t.id, nil); status == http.StatusOK || status == http.StatusGone {
			s.cell.board.acknowledge(t)
			return
		}
		_ = pause(s.ctx, retryAfter)
	}
}
