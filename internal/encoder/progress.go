package encoder

import (
	"strconv"

	"github.com/endivelock/endivelock/internal/ledger"
	"github.com/endivelock/endivelock/internal/quoter"
	"github.com/endivelock/endivelock/internal/replicator"
)

// Progress encodes the progress of a job as a value of the stream of runs. It writes
// the JSON of ledger.Progress without reflection, since a leader writes the progress of
// a job with each change of its tasks. For the same reason it leaves out where a task
// was done, which nothing depends on.
func Progress(id ledger.ID, p ledger.Progress) replicator.Value {
	const taskBytes = 40 // a task in progress is about that long
	tasks := 0
	for _, r := range p.Rounds {
		for _, step := range r.Tasks {
			tasks += len(step)
		}
	}
	b := make([]byte, 0, 64+taskBytes*tasks)
	b = append(b, `{"state":`...)
	b = quoter.Append(b, string(p.State))
	if p.Began {
		b = append(b, `,"began":true`...)
	}
	if len(p.Rounds) > 0 {
		b = append(b, `,"rounds":`...)
		b = appendList(b, p.Rounds, appendRound)
	}
	return replicator.Value{Name: string(id), Data: append(b, '}')}
}

func appendList[T any](b []byte, list []T, appendItem func([]byte, T) []byte) []byte {
	b = append(b, '[')
	for i, item := range list {
		if i > 0 {
			b = append(b, ',')
		}
		b = appendItem(b, item)
	}
	return append(b, ']')
}

func appendRound(b []byte, r ledger.Round) []byte {
	b = append(b, '{')
	if r.Done {
		b = append(b, `"done":true`...)
	}
	if len(r.Tasks) > 0 {
		if r.Done {
			b = append(b, ',')
		}
		b = append(b, `"tasks":`...)
		b = appendList(b, r.Tasks, func(b []byte, step []ledger.Task) []byte { return appendList(b, step, appendTask) })
	}
	return append(b, '}')
}

func appendTask(b []byte, t ledger.Task) []byte {
	b = append(b, '{')
	start := len(b)
	name := func(name string) {
		if len(b) > start {
			b = append(b, ',')
		}
		b = append(b, name...)
	}
	for _, n := range [...]struct {
		name  string
		value int
	}{{`"p":`, int(t.Phase)}, {`"r":`, t.Run}, {`"f":`, t.Failures}} {
		if n.value != 0 {
			name(n.name)
			b = strconv.AppendInt(b, int64(n.value), 10)
		}
	}
	if t.LastRunFailed {
		name(`"x":true`)
	}
	if t.Worker != "" && t.Phase != ledger.Done {
		name(`"w":`)
		b = quoter.Append(b, t.Worker)
	}
	if t.Checkpoint != "" && t.Phase != ledger.Done {
		name(`"s":`)
		b = quoter.Append(b, t.Checkpoint)
	}
	return append(b, '}')
}
