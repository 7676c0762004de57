// Package keeper is the state machine of an entry. It holds a replica of the jobs
// and their progress and takes part in leader election: it tracks the leader's
// heartbeats and decides when the entry claims leadership and when it resigns.
// While the entry leads, State holds the state of package leader. Apply is a pure
// function of state, event and time; the effects that it returns are performed
// elsewhere.
package keeper

import (
	"strings"
	"time"

	"github.com/endivelock/endivelock/internal/container"
	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
)

// Identity describes an entry to its peers.
type Identity struct {
	Name    string
	Zone    string
	Address string // host:port for peers
	// CPUShare is the entry's share of a processor. A leader uses more processor
	// time than the other entries.
	CPUShare float64
}

// LeaderRecord records who leads the cell.
type LeaderRecord struct {
	Epoch      int64  `json:"epoch"`
	Name       string `json:"name"` // empty after the leader has resigned
	Address    string `json:"address"`
	Heartbeats int64  `json:"beat"` // rises with each heartbeat
	// Standbys names the entries that replicate the streams in order to take over. Only
	// the stream of leaders has it.
	Standbys []string `json:"standbys,omitempty"`
	// Clock is the reading of the clock of leases, only in the stream of runs.
	Clock int64 `json:"clock,omitempty"`
}

// Validate returns an error unless the reading of the clock of leases can be told as a time.
func (l LeaderRecord) Validate() error { return checkReading(l.Clock) }

// Role is the role of an entry in leader election.
type Role int

// The roles.
const (
	Following Role = iota
	Claiming
	Leading
)

// String returns the name of the role.
func (r Role) String() string { return [...]string{"following", "claiming", "leading"}[r] }

// Policy holds the settings that decisions depend on.
type Policy struct {
	Leader             leader.Policy
	LeaderTimeout      time.Duration // silence of the leader after which it is replaced
	LinkLostTimeout    time.Duration // the same if the link to the leader is lost
	UnreachableTimeout time.Duration // the same if no process answers at its address
	MaxGrant           time.Duration // how long entries that call workers for a leader go on when it has stopped
	Retention          time.Duration // how long the state of an ended job is kept
	// ReplicaDelay is how long an entry without a link to a leader waits before it
	// replicates the streams in order to be able to lead. An entry with a full
	// processor waits that long; a smaller share adds up to SmallShareDelay.
	ReplicaDelay, SmallShareDelay time.Duration
	// MinReplicaTime is how long an entry keeps a replica that it no longer needs,
	// so that a series of takeovers does not make it start over each time.
	MinReplicaTime time.Duration
	// WeakDelay is how much longer a weak entry waits before a claim, so that a
	// stronger one claims first. A weak leader hands over to a stronger entry, but
	// not before it has led for MinLeadTime.
	WeakDelay, MinLeadTime time.Duration
}

// maxReadAge is how old the last read of the runs may be for the leader's silence
// to count. A read waits up to a second for a record.
const maxReadAge = 2 * time.Second

// State is the state of an entry. It is immutable; create it with New.
type State struct {
	Self   Identity
	policy Policy
	role   Role
	lead   LeaderRecord
	leader leader.State

	jobs     container.Table[ledger.Job]
	weight   int64 // of all jobs
	progress container.Table[ledger.Progress]
	cancels  container.Table[bool]
	copies   container.Table[copies]
	discards container.Ranking      // ended jobs with copies by the next attempt to drop them, Unix milliseconds
	endedAt  container.Ranking      // ended jobs by when their end was read, Unix milliseconds
	offsets  container.Table[int64] // offset of the next read, by stream

	replica replica
	config  ConfigRead // the newest one

	lastHeartbeat time.Time // last heartbeat of a leader, or when the timeout started anew
	lastRead      time.Time // last successful read of the runs
	lastLeads     time.Time // last successful read of the stream of leaders
	lastJobsRead  time.Time // last successful read of the jobs
	lastClaim     time.Time // when another entry's claim was read, zero if it is decided
	claimOffset   int64     // offset of that claim
	leases        leases
	renewer       string // the leader whose renewals bound the leases that were inherited, if it may still send some
	linkLost      bool
	// leaderUnreachable means that no process answers at the leader's address,
	// leaderSteppedDown that it is known not to lead any more.
	leaderUnreachable, leaderSteppedDown bool
	jitter                               time.Duration // random part of the timeout, 0 if not drawn yet
	stopping                             bool
	maxPeerShare                         float64   // largest CPU share among the linked entries, as last reported
	leadingSince                         time.Time // when this entry became the leader
	lastHandover                         time.Time // when it last resigned in favor of a stronger entry
}

// New returns the state of an entry that has read nothing yet.
func New(self Identity, p Policy) State { return State{Self: self, policy: p} }

// weakRatio is the ratio of an entry's CPU share to the largest one among the linked
// entries below which it is weak. A smaller difference does not justify a change of
// leader.
const weakRatio = 0.6

// Weak reports whether a linked entry has a much larger CPU share and should lead
// instead.
func (s State) Weak() bool { return s.Self.CPUShare < weakRatio*s.maxPeerShare }

// Role returns the role of the entry.
func (s State) Role() Role { return s.role }

// Lead returns the last leader that the entry knows of.
func (s State) Lead() LeaderRecord { return s.lead }

// Leader returns the state of the leader while the entry leads.
func (s State) Leader() leader.State { return s.leader }

// Offset returns the offset up to which a stream was read, or -1 if it was not.
func (s State) Offset(stream string) int64 {
	n, ok := s.offsets.Get(stream)
	if !ok {
		return -1
	}
	return n
}

// Synced reports whether both streams were read.
func (s State) Synced() bool { return s.offsets.Has(Jobs) && s.offsets.Has(Runs) }

// LastRead returns when the log last showed who leads. A leader's own appends
// count as reads.
func (s State) LastRead() time.Time {
	if s.role != Leading && s.lastLeads.After(s.lastRead) {
		return s.lastLeads
	}
	return s.lastRead
}

// Job returns an accepted job that has not been dropped.
func (s State) Job(id ledger.ID) (ledger.Job, bool) { return s.jobs.Get(string(id)) }

// Weight returns about how many bytes of memory the jobs take that have not ended.
func (s State) Weight() int64 { return s.weight }

// JobState returns the state of a job according to the log.
func (s State) JobState(id ledger.ID) (ledger.State, bool) {
	if p, ok := s.progress.Get(string(id)); ok {
		return p.State, true
	}
	if s.jobs.Has(string(id)) {
		return ledger.Queued, true
	}
	return "", false
}

// Waiting returns how many accepted jobs of each queue have not begun.
func (s State) Waiting() map[string]int {
	counts := map[string]int{}
	for id, job := range s.jobs.All() {
		if s.cancels.Has(id) {
			continue
		}
		if p, ok := s.progress.Get(id); !ok || !p.State.Final() && !p.Begun() {
			counts[job.Queue.Name]++
		}
	}
	return counts
}

// Complete reports whether the state holds all jobs that were accepted up to a
// time: that of a leader whom the log has confirmed since, or of a replica that has
// read both streams since.
func (s State) Complete(since time.Time) bool {
	if s.lastRead.Before(since) {
		return false
	}
	return s.role == Leading || s.Synced() && !s.lastJobsRead.Before(since)
}

// Streams of the log.
const (
	Jobs  = "jobs"  // accepted jobs and cancellations, written by every entry
	Runs  = "runs"  // progress of jobs, claims and the leader's heartbeats
	Leads = "leads" // who leads, a record for each change
)

// cancelSuffix marks the name of a cancellation.
const cancelSuffix = "!"

// CancelName returns the name of a job's cancellation in the stream of jobs.
func CancelName(id ledger.ID) string { return string(id) + cancelSuffix }

// SplitName returns the job of a name in the stream of jobs, and whether the name
// is that of a cancellation.
func SplitName(name string) (ledger.ID, bool) {
	id, cancels := strings.CutSuffix(name, cancelSuffix)
	return ledger.ID(id), cancels
}

// fallbackPrefix marks a value of the stream of jobs that the leader wrote to the
// stream of runs, since the stream of jobs refused it.
const fallbackPrefix = "+"

// FallbackName returns the name in the stream of runs for a value of the stream of
// jobs.
func FallbackName(name string) string { return fallbackPrefix + name }

// SplitFallback is the inverse of FallbackName. It reports whether the name was one.
func SplitFallback(name string) (string, bool) { return strings.CutPrefix(name, fallbackPrefix) }

// Names in the stream of runs that do not stand for a job.
const (
	LeadName   = "@lead"
	ClaimName  = "@claim"
	LeasesName = "@leases"
)
