package emulator

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/endivelock/endivelock/internal/classifier"
	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/replicator"
	"github.com/endivelock/endivelock/internal/router"
)

// Workers is the stream that lists the workers.
const Workers = "workers"

// Log is a stand-in of the platform's log in memory. The zero value is empty.
type Log struct {
	mu      sync.Mutex
	changed chan struct{}
	streams map[string][]replicator.Value
	epochs  map[string]int64
	next    map[string]int64
	ignored int64 // epoch of the appends that get no answer, 0 for none
}

var _ replicator.Log = (*Log)(nil)

// prepare makes the zero value usable. The caller holds the lock.
func (l *Log) prepare() {
	if l.changed == nil {
		l.changed = make(chan struct{})
		l.streams, l.epochs, l.next = map[string][]replicator.Value{}, map[string]int64{}, map[string]int64{}
	}
}

// Ignore has the log leave appends of a leader without an answer, whichever entry
// sends them, as if the leader was cut off with all that it is linked to.
func (l *Log) Ignore(epoch int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ignored = epoch
}

// Append adds values to a stream, under the conditions that the append names.
func (l *Log) Append(_ context.Context, a replicator.Append) (replicator.Position, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prepare()
	if a.Writer != "" && a.Epoch == l.ignored {
		return replicator.Position{}, &classifier.Error{Kind: classifier.Unanswered}
	}
	end := int64(len(l.streams[a.Stream]))
	if a.Expected != nil && *a.Expected != end {
		return replicator.Position{}, &classifier.Error{Kind: classifier.Moved, Number: end}
	}
	if a.Writer != "" {
		switch epoch := l.epochs[a.Writer]; {
		case a.Epoch < epoch:
			return replicator.Position{}, &classifier.Error{Kind: classifier.Fenced}
		case a.Epoch == epoch && a.Sequence != l.next[a.Writer]:
			return replicator.Position{}, &classifier.Error{Kind: classifier.Sequence, Number: l.next[a.Writer]}
		}
		l.epochs[a.Writer], l.next[a.Writer] = a.Epoch, a.Sequence+1
	}
	for i, v := range a.Values {
		v.Offset = end + int64(i)
		l.streams[a.Stream] = append(l.streams[a.Stream], v)
	}
	close(l.changed)
	l.changed = make(chan struct{})
	return replicator.Position{First: end, End: end + int64(len(a.Values))}, nil
}

// Read returns the values of a stream from an offset on, and its end. Without
// any, it waits.
func (l *Log) Read(ctx context.Context, stream string, from int64, wait time.Duration) ([]replicator.Value, int64, error) {
	deadline := time.After(wait)
	for {
		l.mu.Lock()
		l.prepare()
		all, changed := l.streams[stream], l.changed
		l.mu.Unlock()
		if int64(len(all)) > from || wait == 0 {
			return all[min(from, int64(len(all))):], int64(len(all)), nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-deadline:
			return nil, int64(len(all)), nil
		case <-changed:
		}
	}
}

// Newest returns the newest value of each name in a stream, and its end.
func (l *Log) Newest(_ context.Context, stream string) ([]replicator.Value, int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := map[string]replicator.Value{}
	for _, v := range l.streams[stream] {
		newest[v.Name] = v
	}
	var values []replicator.Value
	for _, v := range newest {
		if v.Data != nil {
			values = append(values, v)
		}
	}
	return values, int64(len(l.streams[stream])), nil
}

// Way is the way of one entry to a log. It can be cut.
type Way struct {
	Log *Log

	mu     sync.Mutex
	cut    bool
	behind string
}

var _ replicator.Log = (*Way)(nil)

// SetBehind names a stream whose waiting reads bring nothing, as over a link that
// has much to catch up on.
func (w *Way) SetBehind(stream string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.behind = stream
}

func (w *Way) isBehind(stream string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.behind == stream
}

// SetCut cuts the way, so that calls end without an answer, or mends it.
func (w *Way) SetCut(cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = cut
}

// silence is how long a call over a cut way waits.
const silence = 200 * time.Millisecond

// way waits as a silent connection does if the way is cut.
func (w *Way) way(ctx context.Context) error {
	w.mu.Lock()
	cut := w.cut
	w.mu.Unlock()
	if !cut {
		return nil
	}
	select {
	case <-ctx.Done():
	case <-time.After(silence):
	}
	return &classifier.Error{Kind: classifier.Unanswered}
}

// Append adds values to a stream.
func (w *Way) Append(ctx context.Context, a replicator.Append) (replicator.Position, error) {
	if err := w.way(ctx); err != nil {
		return replicator.Position{}, err
	}
	return w.Log.Append(ctx, a)
}

// Read returns the values of a stream from an offset on.
func (w *Way) Read(ctx context.Context, stream string, from int64, wait time.Duration) ([]replicator.Value, int64, error) {
	if err := w.way(ctx); err != nil {
		return nil, 0, err
	}
	if wait > 0 && w.isBehind(stream) {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	return w.Log.Read(ctx, stream, from, wait)
}

// Newest returns the newest value of each name in a stream.
func (w *Way) Newest(ctx context.Context, stream string) ([]replicator.Value, int64, error) {
	if err := w.way(ctx); err != nil {
		return nil, 0, err
	}
	return w.Log.Newest(ctx, stream)
}

// Worker reads a worker's entry in the list.
func (w *Way) Worker(id string, data []byte) (leader.Listing, error) {
	l := leader.Listing{}
	err := json.Unmarshal(data, &l)
	l.ID = id
	return l, err
}

// Config returns the configuration.
func (w *Way) Config([]byte) (router.Config, error) { return router.Config{Version: 1}, nil }

// ConfigName returns where the configuration is.
func (w *Way) ConfigName() (string, string) { return "op", "config" }

// WorkerStream returns the stream that lists the workers.
func (w *Way) WorkerStream() string { return Workers }
