package delegator

import (
	"time"

	"github.com/endivelock/endivelock/internal/leader"
)

// Command is one thing for a deputy to do. One field is set.
type Command struct {
	Watch   *leader.StartPolling `json:"watch,omitempty"`
	Unwatch string               `json:"unwatch,omitempty"`
	Poll    string               `json:"poll,omitempty"`
	Ack     *leader.Acknowledge  `json:"ack,omitempty"`
	Order   *leader.Order        `json:"order,omitempty"`
}

// Commands is a batch of commands to a deputy, to be done in order.
type Commands struct {
	Epoch   int64         `json:"epoch"`
	Session int64         `json:"session"` // a deputy begins anew in each session
	Lease   time.Duration `json:"lease"`   // length of the leases at workers
	List    []Command     `json:"list"`
}

// Event is something that a deputy reports. One of the pointers is set.
type Event struct {
	Sent   time.Duration         `json:"sent,omitempty"` // when the poll of a report was sent, since the start of the session
	Report *Report               `json:"report,omitempty"`
	Failed *leader.PollFailed    `json:"failed,omitempty"`
	Answer *leader.OrderAnswered `json:"answer,omitempty"`
}

// Report is the report of a worker that answered a poll.
type Report struct {
	Worker   string        `json:"worker"`
	Report   leader.Report `json:"report"`
	Deadline int64         `json:"deadline"` // as in leader.Reported
}

// Events is a batch of events from a deputy.
type Events struct {
	Epoch   int64   `json:"epoch"`
	Session int64   `json:"session"`
	List    []Event `json:"list,omitempty"`
}
