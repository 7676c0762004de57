package delegator

import (
	"time"

	"github.com/endivelock/endivelock/internal/leader"
)

// Command is one thing for a deputy to do. One field is set.
type Command struct {
	Watch    *leader.StartPolling
	Unwatch  string
	Poll     string
	Renew    *leader.Renew
	Ack      *leader.Acknowledge
	Order    *leader.Order
	Withdraw *leader.Withdraw
}

// Commands is a batch of commands to a deputy, to be done in order.
type Commands struct {
	Epoch   int64
	Session int64         // a deputy begins anew in each session
	Lease   time.Duration // length of the leases at workers
	Fence   int64         // highest fence that calls to workers may have
	List    []Command
}

// Event is something that a deputy reports. One of the pointers is set.
type Event struct {
	Sent   time.Duration // when the poll of a report was sent, since the start of the session
	Report *Report
	Failed *leader.PollFailed
	Answer *leader.OrderAnswered
}

// since returns the leader's event for that of a deputy whose session began at a time
// or later, or nil if it reports nothing. A poll thus counts as sent too early and an
// answer, whose time is that of the event, as arrived too late: what a report lacks
// must not count as over if it was started by way of another entry while the worker
// was polled.
func (e Event) since(began time.Time) leader.Event {
	switch {
	case e.Report != nil:
		return leader.Reported{Worker: e.Report.Worker, Report: e.Report.Report, Sent: began.Add(e.Sent), Deadline: e.Report.Deadline, Silence: e.Report.Silence}
	case e.Failed != nil:
		return *e.Failed
	case e.Answer != nil:
		answer := *e.Answer
		answer.At = time.Time{}
		return answer
	}
	return nil
}

// Report is the report of a worker that answered a poll.
type Report struct {
	Worker   string
	Report   leader.Report
	Deadline int64 // as in leader.Reported
	Silence  int64 // as in leader.Reported
}

// Events is a batch of events from a deputy.
type Events struct {
	Epoch   int64
	Session int64
	List    []Event
}

// Confirmation is the leader's answer to a batch of events.
type Confirmation struct {
	Confirmed bool  // the deputy may go on for MaxGrant
	Fence     int64 // as in Commands
}
