package keeper

import (
	"time"

	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
)

// Effect is an action that Apply asks its caller to perform.
type Effect interface{ effect() }

// Claim tries to become the leader. The claim succeeds only if the stream of runs
// still ends at the expected offset.
type Claim struct{ Expected int64 }

// StartReplicating follows the streams of jobs and runs from their newest values on.
type StartReplicating struct{}

// StopReplicating ends the following of both streams.
type StopReplicating struct{}

// StartLeading starts the services of a leader, which goes on with the clock of leases. The
// leases are those that it writes to the log with its first record.
type StartLeading struct {
	Epoch  int64
	Clock  Clock
	Leases leader.Leases
}

// Resign stops the services of a leader.
type Resign struct {
	Epoch    int64
	Graceful bool          // record the resignation in the log
	Leases   leader.Leases // to be written with it
}

// LeaderEffect wraps an effect of package leader.
type LeaderEffect struct {
	Epoch  int64
	Effect leader.Effect
}

// Discard drops the records of a job that has ended from the streams that have them. It is
// emitted again until the changes show that they were dropped.
type Discard struct {
	Job      ledger.ID
	FromJobs []string // names in the stream of jobs
	FromRuns []string // names in the stream of runs
}

// Expire drops the state of a job that ended long ago.
type Expire struct{ Job ledger.ID }

// LogLeadership logs a change in what the entry knows about the leader.
type LogLeadership struct {
	What    string
	Lead    LeaderRecord
	Why     string
	Silence time.Duration // time since the leader's last heartbeat
}

func (Claim) effect()            {}
func (StartReplicating) effect() {}
func (StopReplicating) effect()  {}
func (StartLeading) effect()     {}
func (Resign) effect()           {}
func (LeaderEffect) effect()     {}
func (Discard) effect()          {}
func (Expire) effect()           {}
func (LogLeadership) effect()    {}
