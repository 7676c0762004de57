// Package gatekeeper decides whether a job is taken in, before anything of it is written: by
// the share of its workspace, which the leading entry knows, and by the memory of this entry. Both are
// queries of the published state; this package adds what must hold between two attempts of one
// client: a job that may already be in the log is never turned away.
package gatekeeper

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/endivelock/endivelock/internal/classifier"
	"github.com/endivelock/endivelock/internal/keeper"
	"github.com/endivelock/endivelock/internal/ledger"
)

// pendingTime is how long an admitted job counts as one that may get into the log without
// being in the published state yet. No attempt to write one takes as long.
const pendingTime = 15 * time.Second

// sweepInterval is the time between two looks for jobs that are awaited no longer.
const sweepInterval = time.Second

// Jobs may take up a part of the memory: largePart whatever their size, and smallPart more as far as they are small. The
// part that is left shrinks with the weight of a job, by half at smallWeight, so that those that have taken up all of it
// leave room for smaller ones.
const (
	largePart, smallPart = 8, 16
	smallWeight          = 64 << 10
)

// Viewer returns the published state.
type Viewer interface {
	// Snapshot returns the last published state.
	Snapshot() keeper.State
}

// Gatekeeper decides about jobs. Create it with New.
type Gatekeeper struct {
	Memory int64 // memory of the entry in bytes, of which jobs take up a part; 0 for any

	viewer Viewer
	now    func() time.Time
	logger logrus.FieldLogger

	mu      sync.Mutex
	awaited map[ledger.ID]awaited
	weight  int64     // of the awaited jobs
	sweptAt time.Time // when those that are awaited no longer were last forgotten
}

// awaited is a job that was admitted and is not known to be in the published state.
type awaited struct {
	weight   int64
	attempts int // that were not withdrawn
	at       time.Time
}

// New returns a gatekeeper that asks the state of a viewer.
func New(v Viewer, now func() time.Time, logger logrus.FieldLogger) *Gatekeeper {
	return &Gatekeeper{viewer: v, now: now, logger: logger, awaited: map[ledger.ID]awaited{}}
}

// Admit returns an error if a job is turned away: of kind classifier.BeyondShare, only while this entry leads, or
// with the cause classifier.ErrCongested.
func (g *Gatekeeper) Admit(id ledger.ID, c ledger.Claim) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.viewer.Snapshot()
	if a, ok := g.awaited[id]; ok {
		a.attempts++
		g.awaited[id] = a
		return nil
	}
	if _, known := s.JobState(id); known {
		return nil
	}
	if c.Workspace != "" && s.Role() == keeper.Leading {
		if err := g.judge(s, id, c); err != nil {
			return err
		}
	}
	return g.add(s, id, c.Weight)
}

// judge decides by the share of a workspace.
func (g *Gatekeeper) judge(s keeper.State, id ledger.ID, c ledger.Claim) error {
	r, refused := s.Leader().Refuses(c, g.now())
	if !refused {
		return nil
	}
	g.logger.WithFields(logrus.Fields{
		"what": "refuse", "job": string(id), "workspace": r.Workspace, "backlog": r.Backlog, "rate": r.Rate, "weight": r.Weight,
		"done": r.Done.String(), "after": r.RetryAfter.String(), "version": r.Version,
	}).Info("decision")
	return &classifier.Error{Kind: classifier.BeyondShare, Call: "accept", RetryAfter: r.RetryAfter}
}

// Withdraw takes back an admission after which nothing was written. A job that no other attempt
// may have written is admitted anew the next time.
func (g *Gatekeeper) Withdraw(id ledger.ID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	a, ok := g.awaited[id]
	if !ok {
		return
	}
	if a.attempts--; a.attempts > 0 {
		g.awaited[id] = a
		return
	}
	g.forget(id)
}

// forget ends the wait for a job. The caller holds the lock.
func (g *Gatekeeper) forget(id ledger.ID) {
	g.weight -= g.awaited[id].weight
	delete(g.awaited, id)
}

// sweep forgets the jobs that are in the state or were admitted long ago. The caller holds the lock.
func (g *Gatekeeper) sweep(s keeper.State, now time.Time) {
	for id, a := range g.awaited {
		if _, known := s.JobState(id); known || now.Sub(a.at) >= pendingTime {
			g.forget(id)
		}
	}
	g.sweptAt = now
}

// fits reports whether there is memory for a job. The caller holds the lock.
func (g *Gatekeeper) fits(s keeper.State, weight int64) bool {
	taken := s.Weight() + g.weight
	return g.Memory == 0 || taken == 0 || taken+weight <= allowed(g.Memory, weight)
}

// add notes a job as admitted if there is memory for it. The caller holds the lock.
func (g *Gatekeeper) add(s keeper.State, id ledger.ID, weight int64) error {
	now := g.now()
	if now.Sub(g.sweptAt) >= sweepInterval || !g.fits(s, weight) {
		g.sweep(s, now)
	}
	if !g.fits(s, weight) {
		g.logger.WithFields(logrus.Fields{"what": "refuse", "job": string(id), "bytes": weight, "taken": s.Weight() + g.weight, "memory": g.Memory}).Info("decision")
		return &classifier.Error{Kind: classifier.Busy, Call: "accept", Cause: errFull}
	}
	g.awaited[id] = awaited{weight, 1, now}
	g.weight += weight
	return nil
}

// errFull is the cause of a refusal for want of memory.
var errFull = errors.Mark(errors.New("the accepted jobs take up their part of the memory"), classifier.ErrCongested)

// allowed returns how many bytes all jobs may take up once one of a weight is among them.
func allowed(memory, weight int64) int64 {
	return memory/largePart + int64(float64(memory/smallPart)*smallWeight/float64(smallWeight+weight))
}
