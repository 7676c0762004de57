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

// WorkersStream is the name of the stream that lists the workers.
const WorkersStream = "workers"

// writer identifies a writer. Each stream has writers of its own.
type writer struct{ stream, name string }

// Log emulates the platform's log in memory. The zero value is empty.
type Log struct {
	mu           sync.Mutex
	changed      chan struct{}
	streams      map[string][]replicator.Value
	epochs       map[writer]int64 // highest epoch
	next         map[writer]int64 // expected sequence number
	droppedEpoch int64            // epoch whose appends are dropped without an answer, 0 for none
}

var _ replicator.Log = (*Log)(nil)

// prepare makes the zero value usable. The caller holds the lock.
func (l *Log) prepare() {
	if l.changed == nil {
		l.changed = make(chan struct{})
		l.streams, l.epochs, l.next = map[string][]replicator.Value{}, map[writer]int64{}, map[writer]int64{}
	}
}

// DropAppends makes the log drop appends of an epoch without an answer, whichever
// entry sends them, as if the leader and all entries linked to it were
// partitioned from the log.
func (l *Log) DropAppends(epoch int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.droppedEpoch = epoch
}

// Append adds values to a stream if the append's expected end, epoch and sequence
// number match.
func (l *Log) Append(_ context.Context, a replicator.Append) (replicator.Position, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prepare()
	if a.Writer != "" && a.Epoch == l.droppedEpoch {
		return replicator.Position{}, &classifier.Error{Kind: classifier.Unanswered}
	}
	end := int64(len(l.streams[a.Stream]))
	if a.Expected != nil && *a.Expected != end {
		return replicator.Position{}, &classifier.Error{Kind: classifier.OffsetMismatch, Number: end}
	}
	if a.Writer != "" {
		w := writer{a.Stream, a.Writer}
		switch epoch := l.epochs[w]; {
		case a.Epoch < epoch:
			return replicator.Position{}, &classifier.Error{Kind: classifier.Fenced}
		case a.Epoch == epoch && a.Sequence != l.next[w]:
			return replicator.Position{}, &classifier.Error{Kind: classifier.OutOfSequence, Number: l.next[w]}
		}
		l.epochs[w], l.next[w] = a.Epoch, a.Sequence+1
	}
	for i, v := range a.Values {
		v.Offset = end + int64(i)
		l.streams[a.Stream] = append(l.streams[a.Stream], v)
	}
	close(l.changed)
	l.changed = make(chan struct{})
	return replicator.Position{First: end, End: end + int64(len(a.Values))}, nil
}

// Read returns the values of a stream from an offset on, and its end. If there
// are none, it waits for them for at most wait.
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

// Newest returns the newest value of each name in a stream, without deleted
// names, and the stream's end.
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

// LogClient is one entry's connection to a log. It can be cut, to emulate a network
// partition.
type LogClient struct {
	Log *Log

	mu      sync.Mutex
	cut     bool
	lagging string // name of a stream, empty for none
}

var _ replicator.Log = (*LogClient)(nil)

// SetLagging names a stream whose long-polling reads return nothing, as on a
// connection that lags far behind.
func (c *LogClient) SetLagging(stream string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lagging = stream
}

func (c *LogClient) isLagging(stream string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lagging == stream
}

// SetCut cuts the connection, so that calls fail unanswered, or restores it.
func (c *LogClient) SetCut(cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = cut
}

// cutCallDelay is how long a call on a cut connection blocks before it fails.
const cutCallDelay = 200 * time.Millisecond

// checkCut fails after cutCallDelay if the connection is cut.
func (c *LogClient) checkCut(ctx context.Context) error {
	c.mu.Lock()
	cut := c.cut
	c.mu.Unlock()
	if !cut {
		return nil
	}
	select {
	case <-ctx.Done():
	case <-time.After(cutCallDelay):
	}
	return &classifier.Error{Kind: classifier.Unanswered}
}

// Append adds values to a stream, unless the connection is cut.
func (c *LogClient) Append(ctx context.Context, a replicator.Append) (replicator.Position, error) {
	if err := c.checkCut(ctx); err != nil {
		return replicator.Position{}, err
	}
	return c.Log.Append(ctx, a)
}

// Read returns the values of a stream from an offset on, unless the connection is
// cut.
func (c *LogClient) Read(ctx context.Context, stream string, from int64, wait time.Duration) ([]replicator.Value, int64, error) {
	if err := c.checkCut(ctx); err != nil {
		return nil, 0, err
	}
	if wait > 0 && c.isLagging(stream) {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	return c.Log.Read(ctx, stream, from, wait)
}

// Newest returns the newest value of each name in a stream, unless the connection
// is cut.
func (c *LogClient) Newest(ctx context.Context, stream string) ([]replicator.Value, int64, error) {
	if err := c.checkCut(ctx); err != nil {
		return nil, 0, err
	}
	return c.Log.Newest(ctx, stream)
}

// Worker decodes a worker's record in the worker list.
func (c *LogClient) Worker(id string, data []byte) (leader.Listing, error) {
	l := leader.Listing{}
	err := json.Unmarshal(data, &l)
	l.ID = id
	return l, err
}

// Config returns a fixed configuration.
func (c *LogClient) Config([]byte) (router.Config, error) { return router.Config{Version: 1}, nil }

// ConfigName returns the stream and the name of the configuration.
func (c *LogClient) ConfigName() (string, string) { return "op", "config" }

// WorkerStream returns the name of the stream that lists the workers.
func (c *LogClient) WorkerStream() string { return WorkersStream }
