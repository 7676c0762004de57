package gossiper

import "github.com/endivelock/endivelock/internal/scheduler"

// codeUnknownEntry is the jsonrpc2 error code for a compact digest from an
// entry whose addresses the receiver does not know.
const codeUnknownEntry = -32001

// Bits of compactDigest.State.
const (
	stateReady    = 1
	stateDraining = 2
)

// compactDigest is a digest without the fields that are constant during an
// incarnation of an entry. It is sent several times a second to every peer, so
// its JSON keys are short.
type compactDigest struct {
	ID      string `json:"id"`
	Config  int64  `json:"conf"`
	Acked   int64  `json:"ack"`
	Free    int    `json:"free,omitempty"`
	Queue   int    `json:"wait,omitempty"`
	Foreign int    `json:"lost,omitempty"`
	State   int    `json:"state,omitempty"`
}

// compact drops the constant fields of a digest.
func compact(d scheduler.Digest) compactDigest {
	c := compactDigest{ID: d.Entry.ID.String(), Config: d.Config, Acked: d.Acked, Free: d.Free, Queue: d.Queue, Foreign: d.Foreign}
	if d.Ready {
		c.State += stateReady
	}
	if d.Draining {
		c.State += stateDraining
	}
	return c
}

// digest returns the full digest, given the constant fields of the entry.
func (c compactDigest) digest(entry scheduler.Entry) scheduler.Digest {
	return scheduler.Digest{
		Entry:    entry,
		Config:   c.Config,
		Acked:    c.Acked,
		Free:     c.Free,
		Queue:    c.Queue,
		Foreign:  c.Foreign,
		Ready:    c.State&stateReady != 0,
		Draining: c.State&stateDraining != 0,
	}
}
