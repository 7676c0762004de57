package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// trafficTime is how long clients submit jobs in one round of the soak.
	trafficTime = 20 * time.Second
	// finishTime is how long after the traffic jobs are asked for, watchTime how long then.
	finishTime = 14 * time.Second
	watchTime  = 5 * time.Second
	// leadTime is how long the cell runs before the traffic.
	leadTime = 2 * time.Second
	// lookInterval is the time between two looks at the jobs that stand at the end, lastingInterval at lasting tasks.
	lookInterval    = 100 * time.Millisecond
	lastingInterval = 200 * time.Millisecond
	soakClients     = 24
	maxTroubles     = 10
)

// soak plays traffic and troubles on a cell of real processes and judges what clients and
// runners see.
type soak struct {
	ctx     context.Context
	cell    *cell
	clients []*client
	kinds   []kindOfJob
	group   errgroup.Group

	mu        sync.Mutex
	broken    verdict
	disturbed time.Time // when the last trouble ended
	ongoing   int       // troubles in progress
}

func (s *soak) breaks(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = append(s.broken, fmt.Sprintf(format, args...))
}

// failed notes what kept a trouble from being put right.
func (s *soak) failed(err error) {
	if err != nil && s.ctx.Err() == nil {
		s.breaks("the soak failed: %v", err)
	}
}

func (s *soak) queues() []queue {
	var all []queue
	for _, k := range s.kinds {
		all = append(all, k.queue)
	}
	return all
}

const (
	// cellRunners and cellEntries are the size of a small deployment.
	cellRunners = 48
	cellEntries = 9
	// longUptime is how long the runners have been up when the system starts.
	longUptime = time.Hour
)

// cellSize is the size of a cell, the number of lasting jobs at its start that want more
// runners than the advice admits, and the number of bursts of large jobs. The traffic grows with the runners.
type cellSize struct{ entries, runners, wide, large int }

// newSoak starts a cell whose queues have advice.
func newSoak(ctx context.Context, c *cell, r *rand.Rand, size cellSize, kinds []kindOfJob) (*soak, error) {
	s := &soak{ctx: ctx, cell: c, kinds: kinds, disturbed: time.Now()}
	c.board = newBoard()
	c.board.calmSince = s.calmSince
	c.advice = newAdviceService(c.board, r.Uint64())
	c.policies = map[string]*advice{}
	for _, k := range kinds {
		c.policies[k.queue.name] = &k.policy
	}
	platform, err := c.startStore()
	if err != nil {
		return nil, err
	}
	c.configure(s.queues()...)
	for i := range size.runners {
		kind, size := "a", room{CPU: 32000, Memory: 131072}
		if i%3 == 2 {
			kind = "b"
		}
		if i%4 == 3 {
			size = room{CPU: 16000, Memory: 65536}
		}
		if _, err := c.addRunner(i, kind, size, longUptime); err != nil {
			return nil, err
		}
	}
	c.group.Go(func() error { return c.workGangs(c.ctx) })
	if err := c.startEntries(ctx, size.entries, platform); err != nil {
		return nil, err
	}
	for i := range soakClients {
		s.clients = append(s.clients, newClient(i%size.entries))
	}
	return s, pause(ctx, leadTime)
}

// disturb plays troubles that overlap until the context ends, and waits until all are put
// right.
func (s *soak) disturb(ctx context.Context, r *rand.Rand) {
	var group errgroup.Group
	all := troubles()
	for range 3 + r.IntN(maxTroubles-3) {
		t, at, own := all[r.IntN(len(all))], between(r, 0, trafficTime), rand.New(rand.NewPCG(r.Uint64(), r.Uint64()))
		group.Go(func() error {
			if pause(ctx, at) != nil {
				return nil
			}
			s.cell.record.add("trouble %s begins", t.name)
			s.count(1)
			t.play(s, own)
			s.count(-1)
			s.cell.record.add("trouble %s ends", t.name)
			return nil
		})
	}
	_ = group.Wait()
}

func (s *soak) count(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ongoing += n
	s.disturbed = time.Now()
}

// calmSince returns when the last trouble ended, or now during one.
func (s *soak) calmSince() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ongoing > 0 {
		return time.Now()
	}
	return s.disturbed
}

// play plays one round and returns what was broken.
func (s *soak) play(r *rand.Rand, disturbed bool) verdict {
	ctx, cancel := context.WithTimeout(s.ctx, trafficTime)
	defer cancel()
	draws := rand.New(rand.NewPCG(r.Uint64(), r.Uint64()))
	var group errgroup.Group
	group.Go(func() error { return s.traffic(ctx, draws) })
	if disturbed {
		group.Go(func() error {
			s.disturb(ctx, r)
			return nil
		})
	}
	watching, stop := context.WithCancel(s.ctx)
	var watch errgroup.Group
	watch.Go(func() error { return s.watchLasting(watching) })
	_ = group.Wait()
	s.cell.record.add("the traffic has ended")
	var broken verdict
	if pause(s.ctx, finishTime) == nil {
		for until := time.Now().Add(watchTime); time.Now().Before(until) && len(broken) == 0; {
			broken = append(broken, s.cell.standing(time.Now())...)
			_ = pause(s.ctx, lookInterval)
		}
	}
	stop()
	_ = watch.Wait()
	_ = s.group.Wait()
	broken = append(broken, s.cell.board.left()...)
	broken = append(broken, s.ask()...)
	broken = append(broken, s.askEach()...)
	broken = append(broken, s.endEach()...)
	return append(broken, s.collect()...)
}

// watchLasting looks for lasting tasks that are down, until the context ends.
func (s *soak) watchLasting(ctx context.Context) error {
	for pause(ctx, lastingInterval) == nil {
		if down := s.cell.lastingDown(time.Now(), s.calmSince()); len(down) > 0 {
			s.mu.Lock()
			s.broken = append(s.broken, down...)
			s.mu.Unlock()
			return nil
		}
	}
	return nil
}

// ask asks for all jobs at the end.
func (s *soak) ask() verdict {
	var asked []*tracked
	s.cell.board.mu.Lock()
	for _, t := range s.cell.board.jobs {
		if !t.accepted.IsZero() && t.cancelled.IsZero() {
			asked = append(asked, t)
		}
	}
	s.cell.board.mu.Unlock()
	var broken verdict
	for i, t := range asked {
		status, state := s.clients[i%len(s.clients)].exchange(s, http.MethodGet, t.queue, t.id, nil)
		switch {
		case status == 0 || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout:
			broken = append(broken, fmt.Sprintf("LOST: %s is asked for and gets no answer in time (%d)", t.id, status))
		case status != http.StatusOK:
			broken = append(broken, fmt.Sprintf("LOST: %s was accepted and is answered %d", t.id, status))
		default:
			broken = append(broken, s.cell.board.contradicts(t, state)...)
		}
	}
	slices.Sort(broken)
	return broken
}

// collect returns what was noted during the round.
func (s *soak) collect() verdict {
	s.mu.Lock()
	broken := slices.Clone(s.broken)
	s.mu.Unlock()
	for i, p := range s.cell.entries {
		p.mu.Lock()
		if p.ownEnds > 0 {
			broken = append(broken, fmt.Sprintf("entry %d has ended by itself %d times", i+1, p.ownEnds))
		}
		p.mu.Unlock()
	}
	s.cell.board.mu.Lock()
	defer s.cell.board.mu.Unlock()
	return append(broken, s.cell.board.broken...)
}

// summary describes a round.
func (s *soak) summary() string {
	restarts := s.cell.restarts()
	s.cell.board.mu.Lock()
	defer s.cell.board.mu.Unlock()
	accepted, runs, done, failed, together := 0, 0, 0, 0, 0
	for _, t := range s.cell.board.jobs {
		if !t.accepted.IsZero() {
			accepted++
		}
		runs, done = runs+t.runs, done+len(t.done)
		f, several := t.failedTogether()
		failed, together = failed+f, together+several
	}
	return fmt.Sprintf("%d jobs, %d accepted, %d runs, %d tasks done, %d gang runs failed, %d of them with several members; %s",
		len(s.cell.board.jobs), accepted, runs, done, failed, together, restarts)
}
