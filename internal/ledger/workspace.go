package ledger

import "time"

// Workspace is an account that jobs count against. Jobs without one are not limited.
type Workspace struct {
	Name   string
	Weight float64   // share of a full cell, and the jobs a second that its objectives cover; 0 for 1
	Cap    Resources // most that its tasks may use at a time; 0 for no limit of that resource
}

// usefulFactor is the multiple of its objective up to which a job is of use to its client.
const usefulFactor = 3

// Claim is what a job asks of the share of its workspace and of the memory of the entries.
type Claim struct {
	Workspace string
	Priority  int
	Chain     time.Duration // the shortest time that the job takes
	Limit     time.Duration // the time after which it is of no use, 0 for never
	Weight    int64         // bytes of memory, as estimated
}

// Claim returns the claim of a job. One that is meant to last or waits for its times is of
// use for ever.
func (j Job) Claim() Claim {
	c := Claim{Workspace: j.Workspace, Priority: j.Queue.Priority, Chain: j.CriticalPath(), Limit: usefulFactor * j.ObjectiveTime(), Weight: j.Weight()}
	for _, s := range j.Steps {
		if s.LongRunning || j.Schedule != nil {
			c.Limit = 0
		}
	}
	return c
}

// ObjectiveTime returns the time within which a job is to be done.
func (j Job) ObjectiveTime() time.Duration {
	return time.Duration(max(j.Queue.Stretch, 1)*float64(j.CriticalPath())) + j.Queue.Objective
}
