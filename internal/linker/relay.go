package linker

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/endivelock/endivelock/internal/classifier"
	"github.com/endivelock/endivelock/internal/keeper"
	"github.com/endivelock/endivelock/internal/replicator"
)

const (
	// relayTimeout bounds an append through another entry, on both sides. The platform
	// guarantees that even a slow log answers sooner.
	relayTimeout = 600 * time.Millisecond
	// maxRelayAttempts bounds the entries that are tried for one append.
	maxRelayAttempts = 3
)

// Appender adds values to streams.
type Appender interface {
	// Append adds values and returns their position in the stream.
	Append(ctx context.Context, a replicator.Append) (replicator.Position, error)
}

// appendError says how an append failed at another entry. It is the data of the
// JSON-RPC error.
type appendError struct {
	Kind   classifier.Kind `json:"kind"`
	Number int64           `json:"number"`
}

// Append adds values to a stream through linked entries.
func (l *Linker) Append(ctx context.Context, a replicator.Append) (replicator.Position, error) {
	a.Timeout = relayTimeout
	var err, unanswered error = &classifier.Error{Kind: classifier.Unsent, Call: methodAppend, Reason: "no entry is linked"}, nil
	for _, name := range l.relayCandidates() {
		var position replicator.Position
		position, err = l.appendVia(ctx, name, a)
		if err == nil || classifier.Is(err, classifier.Fenced) || classifier.Is(err, classifier.OutOfSequence) {
			l.setLastRelay(name)
			return position, err
		}
		l.setLastRelay("")
		if classifier.NotExecuted(err) {
			continue
		}
		if unanswered = err; a.Writer == "" {
			break // without a sequence number, a retry could add the values twice
		}
	}
	if unanswered != nil {
		return replicator.Position{}, unanswered // the values may be in the log
	}
	return replicator.Position{}, err
}

// relayCandidates returns the entries to try for an append, in order.
func (l *Linker) relayCandidates() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return keeper.ChooseRelays(l.Viewer.Snapshot().Self, l.candidates(), l.lastRelay, maxRelayAttempts)
}

func (l *Linker) setLastRelay(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastRelay = name
}

// appendVia adds values through one entry.
func (l *Linker) appendVia(ctx context.Context, name string, a replicator.Append) (replicator.Position, error) {
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
		var f appendError
		if invalid := json.Unmarshal(*refused.Data, &f); invalid == nil {
			return position, &classifier.Error{Kind: f.Kind, Call: methodAppend, Number: f.Number, Reason: refused.Message}
		}
	}
	if err != nil {
		return position, &classifier.Error{Kind: classifier.Unanswered, Call: methodAppend, Cause: err}
	}
	return position, nil
}

// tellTimeout bounds one call of Announce.
const tellTimeout = 500 * time.Millisecond

// Announce informs the leader of values that this entry has itself added to the
// stream of jobs, since the leader may be unable to read them from the log.
func (l *Linker) Announce(ctx context.Context, values []replicator.Value) error {
	bounded, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	return l.callLeader(bounded, methodTell, values, nil)
}

func (l *Linker) handleTell(params json.RawMessage) (any, error) {
	values, err := decode[[]replicator.Value](params)
	if err != nil {
		return nil, err
	}
	l.OnAnnounced(values)
	return struct{}{}, nil
}

// handleAppend adds values to the log for another entry.
func (l *Linker) handleAppend(ctx context.Context, params json.RawMessage) (any, error) {
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
	f := appendError{Kind: classifier.KindOf(err)}
	var failed *classifier.Error
	if errors.As(err, &failed) {
		f.Number = failed.Number
	}
	answer := &jsonrpc2.Error{Code: codeUnknown, Message: err.Error()}
	answer.SetError(f)
	return nil, answer
}
