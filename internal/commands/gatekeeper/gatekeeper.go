// Package gatekeeper decides for the leading entry whether a job that counts against a
// workspace is taken in, before anything of it is written. The decision itself is a query of
// the leader's published state; this package adds what must hold between two attempts of one
// client: a job that may already be in the log is never turned away.
package gatekeeper

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/endivelock/endivelock/internal/classifier"
	"github.com/endivelock/endivelock/internal/keeper"
	"github.com/endivelock/endivelock/internal/ledger"
)

// pendingTime is how long an admitted job counts as one that may get into the log without
// being in the published state yet. No attempt to write one takes as long.
const pendingTime = 15 * time.Second

// Viewer returns the published state.
type Viewer interface {
	// Snapshot returns the last published state.
	Snapshot() keeper.State
}

// Gatekeeper decides about jobs. Create it with New.
type Gatekeeper struct {
	viewer Viewer
	now    func() time.Time
	logger logrus.FieldLogger

	mu       sync.Mutex
	pending  map[ledger.ID]bool // admitted since the last turn
	older    map[ledger.ID]bool // admitted in the turn before
	turnedAt time.Time
}

// New returns a gatekeeper that asks the state of a viewer.
func New(v Viewer, now func() time.Time, logger logrus.FieldLogger) *Gatekeeper {
	return &Gatekeeper{viewer: v, now: now, logger: logger, pending: map[ledger.ID]bool{}}
}

// Admit returns an error of kind classifier.BeyondShare if a job is turned away. It admits
// all while this entry doesn't lead.
func (g *Gatekeeper) Admit(id ledger.ID, c ledger.Claim) error {
	s := g.viewer.Snapshot()
	if c.Workspace == "" || s.Role() != keeper.Leading {
		return nil
	}
	if _, known := s.Job(id); known || g.isPending(id) {
		return nil
	}
	r, refused := s.Leader().Refuses(c, g.now())
	if !refused {
		g.add(id)
		return nil
	}
	g.logger.WithFields(logrus.Fields{
		"what": "refuse", "job": string(id), "workspace": r.Workspace, "backlog": r.Backlog, "rate": r.Rate, "weight": r.Weight,
		"done": r.Done.String(), "after": r.RetryAfter.String(), "version": r.Version,
	}).Info("decision")
	return &classifier.Error{Kind: classifier.BeyondShare, Call: "accept", RetryAfter: r.RetryAfter}
}

func (g *Gatekeeper) isPending(id ledger.ID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pending[id] || g.older[id]
}

// add notes an admitted job. What was noted is forgotten after one to two pending times.
func (g *Gatekeeper) add(id ledger.ID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now := g.now(); now.Sub(g.turnedAt) >= pendingTime {
		g.older, g.pending, g.turnedAt = g.pending, map[ledger.ID]bool{}, now
	}
	g.pending[id] = true
}
