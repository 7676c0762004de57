package gossiper

import "github.com/endivelock/endivelock/internal/scheduler"

// codeUnknownEntry is the jsonrpc2 error for a brief digest of an entry whose
// addresses are not known.
const codeUnknownEntry = -32001

// States of an entry in a brief digest.
const (
	stateReady    = 1
	stateDraining = 2
)

// brief is a digest without what does not change in the life of an entry. It is
// sent several times a second to every peer, so its names are short.
type brief struct {
	ID     string `json:"id"`
	Config int64  `json:"conf"`
	Acked  int64  `json:"ack"`
	Free   int    `json:"free,omitempty"`
	Queue  int    `json:"wait,omitempty"`
	Lost   int    `json:"lost,omitempty"`
	State  int    `json:"state,omitempty"`
}

func briefOf(d scheduler.Digest) brief {
	b := brief{ID: d.Entry.ID.String(), Config: d.Config, Acked: d.Acked, Free: d.Free, Queue: d.Queue, Lost: d.Foreign}
	if d.Ready {
		b.State += stateReady
	}
	if d.Draining {
		b.State += stateDraining
	}
	return b
}

// digest returns the whole digest of an entry with known addresses.
func (b brief) digest(entry scheduler.Entry) scheduler.Digest {
	return scheduler.Digest{
		Entry:    entry,
		Config:   b.Config,
		Acked:    b.Acked,
		Free:     b.Free,
		Queue:    b.Queue,
		Foreign:  b.Lost,
		Ready:    b.State&stateReady != 0,
		Draining: b.State&stateDraining != 0,
	}
}
