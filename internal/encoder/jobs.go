package encoder

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/endivelock/endivelock/internal/keeper"
	"github.com/endivelock/endivelock/internal/ledger"
	"github.com/endivelock/endivelock/internal/replicator"
)

// Job encodes an accepted job as a value of the stream of jobs.
func Job(j ledger.Job) (replicator.Value, error) {
	data, err := json.Marshal(j)
	return replicator.Value{Name: string(j.ID), Data: data}, errors.Wrapf(err, "encode job %s", j.ID)
}

// Cancellation encodes the cancellation of a job as a value of the stream of jobs.
func Cancellation(id ledger.ID) replicator.Value {
	return replicator.Value{Name: keeper.CancelName(id), Data: []byte("{}")}
}

// JobChange decodes a value of the stream of jobs. A job that can't be scheduled is an
// error.
func JobChange(v replicator.Value) (keeper.JobChange, error) {
	id, cancel := keeper.SplitName(v.Name)
	c := keeper.JobChange{Offset: v.Offset, ID: id, Cancel: cancel, Dropped: v.Data == nil}
	if c.Dropped || c.Cancel {
		return c, nil
	}
	c.Job = &ledger.Job{}
	err := json.Unmarshal(v.Data, c.Job)
	switch {
	case err != nil:
	case c.Job.ID != id:
		err = errors.Newf("the record is that of job %q", c.Job.ID)
	default:
		err = c.Job.Validate()
	}
	return c, errors.Wrapf(err, "decode job %s at offset %d", v.Name, v.Offset)
}

// Leader encodes the current leader as a value of the stream of runs.
func Leader(l keeper.LeaderRecord) (replicator.Value, error) {
	data, err := json.Marshal(l)
	return replicator.Value{Name: keeper.LeadName, Data: data}, errors.Wrap(err, "encode leader")
}

// Leases encodes which leases the leader doesn't renew as a value of the stream of runs.
func Leases(r keeper.LeaseRecord) (replicator.Value, error) {
	data, err := json.Marshal(r)
	return replicator.Value{Name: keeper.LeasesName, Data: data}, errors.Wrap(err, "encode leases")
}

// awaitsLeases begins the claims of entries that renew no leases before their own
// keeper.LeaseRecord is in the log. The claims of earlier versions are the name alone.
const awaitsLeases = "@"

// LeaderClaim encodes the claim of an entry to become leader as a value of the
// stream of runs.
func LeaderClaim(name string) replicator.Value {
	return replicator.Value{Name: keeper.ClaimName, Data: []byte(awaitsLeases + name)}
}

// RunChange decodes a value of the stream of runs. A value under a fallback name is
// a value of the stream of jobs.
func RunChange(v replicator.Value) (keeper.RunChange, error) {
	c := keeper.RunChange{Offset: v.Offset, ID: ledger.ID(v.Name), Claim: v.Name == keeper.ClaimName}
	if name, ok := keeper.SplitFallback(v.Name); ok {
		job, err := JobChange(replicator.Value{Offset: v.Offset, Name: name, Data: v.Data})
		job.InRuns = true
		c.Job = &job
		return c, err
	}
	switch {
	case c.Claim:
		c.Awaits = bytes.HasPrefix(v.Data, []byte(awaitsLeases))
		return c, nil
	case v.Data == nil:
		return c, nil
	case v.Name == keeper.LeasesName:
		c.Leases = &keeper.LeaseRecord{}
		err := json.Unmarshal(v.Data, c.Leases)
		if err == nil {
			err = c.Leases.Validate()
		}
		return c, errors.Wrapf(err, "decode leases at offset %d", v.Offset)
	case v.Name == keeper.LeadName:
		c.Lead = &keeper.LeaderRecord{}
		err := json.Unmarshal(v.Data, c.Lead)
		if err == nil {
			err = c.Lead.Validate()
		}
		return c, errors.Wrapf(err, "decode leader at offset %d", v.Offset)
	}
	c.Progress = &ledger.Progress{}
	err := json.Unmarshal(v.Data, c.Progress)
	return c, errors.Wrapf(err, "decode progress of job %s at offset %d", v.Name, v.Offset)
}
