package keeper

import (
	"time"

	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
)

// Event is an input of Apply.
type Event interface{ apply(t *transition) }

// JobChange is a change in the stream of jobs.
type JobChange struct {
	Offset  int64
	ID      ledger.ID
	Job     *ledger.Job // nil for a cancellation, when the name was dropped, or if the job was known before
	Cancel  bool        // the record cancels the job
	Dropped bool        // the name was dropped
	InRuns  bool        // it is in the stream of runs, since that of jobs refused it; Offset is one of that stream
}

// JobsRead reports changes of the stream of jobs.
type JobsRead struct {
	Changes  []JobChange
	Next     int64 // offset of the next read
	Snapshot bool  // the newest values of all names instead of changes
}

// RunChange is a change in the stream of runs.
type RunChange struct {
	Offset   int64
	ID       ledger.ID
	Progress *ledger.Progress // nil when the name was dropped
	Lead     *LeaderRecord    // set if the record names the leader, not a job
	Claim    bool             // the record is an entry's claim of leadership
	Awaits   bool             // with Claim: the entry renews no leases before its LeaseRecord is in the log
	Leases   *LeaseRecord     // set if the record says which leases the leader doesn't renew
	Job      *JobChange       // set if the record is a change that the stream of jobs refused
}

// RunsRead reports changes of the stream of runs.
type RunsRead struct {
	Changes  []RunChange
	Next     int64 // offset of the next read
	Snapshot bool  // the newest values of all names instead of changes
}

// jobChanges returns the changes that the stream of jobs refused.
func (e RunsRead) jobChanges() []JobChange {
	var changes []JobChange
	for _, c := range e.Changes {
		if c.Job != nil {
			changes = append(changes, *c.Job)
		}
	}
	return changes
}

// ConfigRead reports the workspaces of a version of the configuration that came into force.
type ConfigRead struct {
	Version    int64
	Workspaces []ledger.Workspace
}

// ReadFailed reports that the stream of runs could not be read.
type ReadFailed struct{}

// Claimed reports that this entry's claim succeeded with an epoch. Earlier leaders
// were fenced off, and after that both streams were read to their ends.
type Claimed struct {
	Epoch      int64
	Jobs, Runs int64 // offsets of the ends of the streams
}

// ClaimFailed reports that the claim did not succeed.
type ClaimFailed struct{ Why string }

// Deposed reports that a later leader has fenced this one off.
type Deposed struct{ Why string }

// LinkLost reports that the connection to the leader was lost.
type LinkLost struct {
	Epoch       int64
	Unreachable bool // no process answers at the leader's address
	SteppedDown bool // the leader is known not to lead any more
}

// LinkEstablished reports that the connection to the leader is up.
type LinkEstablished struct{ Epoch int64 }

// LeaderLearned reports who leads according to another entry.
type LeaderLearned struct {
	Lead LeaderRecord
	From string // name of the other entry
}

// EntryFollows reports that an entry has linked to this one as the leader of an epoch, and
// sends no calls as a leader of an earlier one any more.
type EntryFollows struct {
	Name  string
	Epoch int64
}

// LeadsRead reports a read of the stream of leaders, with its newest record, if it
// has one that was not read before. A record without a name is a resignation.
type LeadsRead struct{ Lead *LeaderRecord }

// StandbysLearned reports whether the leader of an epoch wants this entry to
// replicate the streams, so that it can take over.
type StandbysLearned struct {
	Epoch   int64
	Standby bool
}

// PeersSeen reports the largest CPU share among the linked entries.
type PeersSeen struct{ MaxCPUShare float64 }

// Written reports that the leader's records up to a batch are in the log.
type Written struct {
	Batch   int64
	Changes []RunChange
}

// LeaderEvent wraps an event for package leader. It is dropped unless the entry leads with
// this epoch.
type LeaderEvent struct {
	Epoch int64
	Event leader.Event
}

// Stopping reports that the process was asked to stop.
type Stopping struct{}

// Ticked reports that time has passed.
type Ticked struct {
	Sent   time.Time     // when it was submitted, zero if that is not known
	Jitter time.Duration // random delay for the next claim
}
