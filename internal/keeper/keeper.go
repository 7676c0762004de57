// Package keeper holds what an entry knows of its cell: a replica of the jobs
// and their progress, and who leads. It decides when the entry tries to become
// the leader. While the entry leads, the state of package leader is part of it.
// It is a pure function of state, event and time.
package keeper

import (
	"strings"
	"time"

	"github.com/endivelock/endivelock/internal/container"
	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
)

// Identity is an entry as others see it.
type Identity struct {
	Name    string
	Zone    string
	Address string // where peers reach it
	// Strength is its share of a processor. A leader needs more of it than the
	// other entries.
	Strength float64
}

// Lead is who leads the cell.
type Lead struct {
	Epoch   int64  `json:"epoch"`
	Name    string `json:"name"` // empty after the leader has resigned
	Address string `json:"address"`
	Beat    int64  `json:"beat"` // rises with each sign of life
}

// Role is what an entry does in its cell.
type Role int

// The roles.
const (
	Following Role = iota
	Claiming
	Leading
)

// String names the role.
func (r Role) String() string { return [...]string{"following", "claiming", "leading"}[r] }

// Policy is the part of the settings that decisions need.
type Policy struct {
	Leader   leader.Policy
	Patience time.Duration // silence of the leader after which it is replaced
	Suspect  time.Duration // the same, if the link to it is broken
	Gone     time.Duration // the same, if no process answers at its address
	Keep     time.Duration // how long the state of an ended job can be asked for
	// Deference is how much longer a weak entry lets a leader be silent, so that a
	// strong one claims first; a weak leader hands over to a strong entry after
	// Settle.
	Deference, Settle time.Duration
}

// readAge is how old the last read of the runs may be for the silence of the
// leader to mean anything. A read waits up to a second for a record.
const readAge = 2 * time.Second

// State is what an entry knows. Create it with New.
type State struct {
	Self   Identity
	policy Policy
	role   Role
	lead   Lead
	leader leader.State

	jobs     container.Table[ledger.Job]
	progress container.Table[ledger.Progress]
	cancels  container.Table[bool]
	spared   container.Table[bool] // jobs that are among the runs
	ended    container.Ranking     // jobs that have ended, by when that was learned
	offsets  container.Table[int64]

	pulse    time.Time // last sign of life of a leader, or when silence began to count
	lastRead time.Time // last successful read of the runs
	claimed  time.Time // when another entry's claim was read
	linkLost bool
	// leaderGone means that nothing answers at the leader's address, leaderOver
	// that it is known not to lead any more.
	leaderGone, leaderOver bool
	delay                  time.Duration // random part of the patience
	stopping               bool
	strongest              float64   // strength of the strongest linked entry, as last told
	led                    time.Time // when this entry took the lead
	handed                 time.Time // when it last handed the lead to a stronger one
}

// New returns the state of an entry that knows nothing.
func New(self Identity, p Policy) State { return State{Self: self, policy: p} }

// weakShare of the strength of the strongest entry makes an entry weak: a lead
// does not move for less.
const weakShare = 0.6

// Weak reports whether a much stronger entry could lead.
func (s State) Weak() bool { return s.Self.Strength < weakShare*s.strongest }

// Role returns what the entry does.
func (s State) Role() Role { return s.role }

// Lead returns who leads, as far as the entry knows.
func (s State) Lead() Lead { return s.lead }

// Leader returns the state of the leader while the entry leads.
func (s State) Leader() leader.State { return s.leader }

// Offset returns how far a stream was read.
func (s State) Offset(stream string) int64 {
	n, ok := s.offsets.Get(stream)
	if !ok {
		return -1
	}
	return n
}

// Synced reports whether both streams were read.
func (s State) Synced() bool { return s.offsets.Has(Jobs) && s.offsets.Has(Runs) }

// LastRead returns when the runs were last read.
func (s State) LastRead() time.Time { return s.lastRead }

// Job returns an accepted job that has not been let go.
func (s State) Job(id ledger.ID) (ledger.Job, bool) { return s.jobs.Get(string(id)) }

// JobState returns the state of a job as it is in the log.
func (s State) JobState(id ledger.ID) (ledger.State, bool) {
	if p, ok := s.progress.Get(string(id)); ok {
		return p.State, true
	}
	if s.jobs.Has(string(id)) {
		return ledger.Queued, true
	}
	return "", false
}

// Waiting returns how many accepted jobs of a queue have not begun.
func (s State) Waiting(queue string) int {
	n := 0
	for id, job := range s.jobs.All() {
		if job.Queue.Name != queue || s.cancels.Has(id) {
			continue
		}
		if p, ok := s.progress.Get(id); !ok || !p.State.Final() && !p.Begun() {
			n++
		}
	}
	return n
}

// Streams of the log.
const (
	Jobs = "jobs" // accepted and cancelled jobs, written by every entry
	Runs = "runs" // progress of jobs and who leads, written by the leader
)

// cancelSuffix marks the name of a cancelling.
const cancelSuffix = "!"

// CancelName returns the name in the stream of jobs that cancels one.
func CancelName(id ledger.ID) string { return string(id) + cancelSuffix }

// SplitName returns the job that a name in the stream of jobs is about, and
// whether it cancels it.
func SplitName(name string) (ledger.ID, bool) {
	id, cancels := strings.CutSuffix(name, cancelSuffix)
	return ledger.ID(id), cancels
}

// sparePrefix marks a value of the stream of jobs that the leader wrote to the
// runs, since its own stream refused it.
const sparePrefix = "+"

// SpareName returns the name in the runs of a value of the stream of jobs.
func SpareName(name string) string { return sparePrefix + name }

// SplitSpare returns the name in the stream of jobs of a value of the runs, and
// whether it is such a one.
func SplitSpare(name string) (string, bool) { return strings.CutPrefix(name, sparePrefix) }

// Names in the stream of runs that are no jobs.
const (
	LeadName  = "@lead"
	ClaimName = "@claim"
)
