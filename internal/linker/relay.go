package linker

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/endivelock/endivelock/internal/classifier"
	"github.com/endivelock/endivelock/internal/replicator"
)

const (
	// relayTimeout bounds an append by way of one entry, on either side. The log
	// answers in some milliseconds; a slow one takes about 250.
	relayTimeout = 350 * time.Millisecond
	// maxRelays is how many entries are asked for one append.
	maxRelays = 3
)

// Appender adds values to streams.
type Appender interface {
	// Append adds values and returns where.
	Append(ctx context.Context, a replicator.Append) (replicator.Position, error)
}

// failure is what became of an append that failed at another entry.
type failure struct {
	Kind   classifier.Kind `json:"kind"`
	Number int64           `json:"number"`
}

// Append adds values to a stream by way of linked entries. The entry that could
// do it last is asked first.
func (l *Linker) Append(ctx context.Context, a replicator.Append) (replicator.Position, error) {
	a.Timeout = relayTimeout
	var err error = &classifier.Error{Kind: classifier.Unsent, Call: methodAppend, Reason: "no entry is linked"}
	for _, name := range l.carriers() {
		var position replicator.Position
		position, err = l.appendBy(ctx, name, a)
		if err == nil || classifier.Is(err, classifier.Fenced) || classifier.Is(err, classifier.Sequence) {
			l.setCarrier(name)
			return position, err
		}
		if a.Writer == "" && !classifier.Undone(err) {
			return position, err // a second try could add the values twice
		}
	}
	return replicator.Position{}, err
}

// carriers lists the entries that an append is tried by.
func (l *Linker) carriers() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var names []string
	if _, ok := l.entries[l.carrier]; ok {
		names = append(names, l.carrier)
	}
	for name := range l.entries {
		if len(names) >= maxRelays {
			break
		}
		if name != l.carrier {
			names = append(names, name)
		}
	}
	return names
}

func (l *Linker) setCarrier(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.carrier = name
}

// appendBy adds values by way of one entry.
func (l *Linker) appendBy(ctx context.Context, name string, a replicator.Append) (replicator.Position, error) {
	l.mu.Lock()
	p, ok := l.entries[name]
	l.mu.Unlock()
	if !ok {
		return replicator.Position{}, errNoLeader
	}
	bounded, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	var position replicator.Position
	err := p.rpc.Call(bounded, methodAppend, a, &position)
	var refused *jsonrpc2.Error
	if errors.As(err, &refused) && refused.Data != nil {
		var f failure
		if bad := json.Unmarshal(*refused.Data, &f); bad == nil {
			return position, &classifier.Error{Kind: f.Kind, Call: methodAppend, Number: f.Number, Reason: refused.Message}
		}
	}
	if err != nil {
		return position, &classifier.Error{Kind: classifier.Unanswered, Call: methodAppend, Cause: err}
	}
	return position, nil
}

// tellTimeout bounds the telling of a value that this entry has written.
const tellTimeout = 500 * time.Millisecond

// Tell tells the leader of values that this entry has added to the stream of
// jobs by itself: the leader may be unable to read them.
func (l *Linker) Tell(ctx context.Context, values []replicator.Value) error {
	bounded, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	return l.call(bounded, methodTell, values, nil)
}

func (l *Linker) hearTell(params json.RawMessage) (any, error) {
	values, err := decode[[]replicator.Value](params)
	if err != nil {
		return nil, err
	}
	l.Told(values)
	return struct{}{}, nil
}

// hearAppend adds values for another entry.
func (l *Linker) hearAppend(ctx context.Context, params json.RawMessage) (any, error) {
	a, err := decode[replicator.Append](params)
	if err != nil {
		return nil, err
	}
	bounded, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	position, err := l.Log.Append(bounded, a)
	if err == nil {
		return position, nil
	}
	f := failure{Kind: classifier.KindOf(err)}
	var failed *classifier.Error
	if errors.As(err, &failed) {
		f.Number = failed.Number
	}
	answer := &jsonrpc2.Error{Code: codeUnknown, Message: err.Error()}
	answer.SetError(f)
	return nil, answer
}
