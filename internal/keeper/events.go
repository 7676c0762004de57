package keeper

import (
	"time"

	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
)

// Event is something that happened.
type Event interface{ apply(t *turn) }

// JobChange is a change in the stream of jobs.
type JobChange struct {
	Offset int64
	ID     ledger.ID
	Job    *ledger.Job // nil for a cancelling or when the name was dropped
	Cancel bool
	Gone   bool
	Spared bool // it is among the runs, since the stream of jobs refused it
}

// JobsRead brings changes of the stream of jobs.
type JobsRead struct {
	Changes []JobChange
	Next    int64
	Whole   bool
}

// RunChange is a change in the stream of runs.
type RunChange struct {
	Offset   int64
	ID       ledger.ID
	Progress *ledger.Progress // nil when the name was dropped
	Lead     *Lead            // instead of a job, who leads
	Claim    bool             // instead of a job, an entry claims the lead
	Job      *JobChange       // instead of progress, a change of the jobs that their stream refused
}

// RunsRead brings changes of the stream of runs.
type RunsRead struct {
	Changes []RunChange
	Next    int64
	Whole   bool
}

// ReadFailed tells that the runs could not be read.
type ReadFailed struct{}

// Claimed tells that this entry's claim won with an epoch. Both streams were
// read to their ends after earlier leaders were shut out.
type Claimed struct{ Epoch int64 }

// ClaimFailed tells that the claim did not win.
type ClaimFailed struct{ Why string }

// Deposed tells that a later leader has shut this one out.
type Deposed struct{ Why string }

// LinkLost tells that the connection to the leader broke.
type LinkLost struct {
	Epoch int64
	Gone  bool // no process answers at its address
	Over  bool // it is known not to lead any more
}

// LinkMade tells that the leader answers.
type LinkMade struct{ Epoch int64 }

// LeadHeard tells who leads, as another entry knows it.
type LeadHeard struct {
	Lead Lead
	From string
}

// PeersSeen tells how strong the strongest of the linked entries is.
type PeersSeen struct{ Strongest float64 }

// Written tells that the leader's records up to a batch are in the log.
type Written struct {
	Batch   int64
	Changes []RunChange
}

// Led wraps an event for the leader. It is dropped while the entry does not
// lead with the epoch.
type Led struct {
	Epoch int64
	Event leader.Event
}

// Stopping tells that the process is asked to stop.
type Stopping struct{}

// Ticked tells that time has passed.
type Ticked struct {
	Delay time.Duration // random delay for the next claim
}
