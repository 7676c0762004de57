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
	"github.com/endivelock/endivelock/internal/timer"
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
	answers      map[writer][]answer
	appendTime   time.Duration        // how long a stream takes for an append, one at a time
	freeAt       map[string]time.Time // when a stream has taken all its appends
	refused      int                  // appends that were refused as too much waited
	down         map[string]bool      // streams that refuse all appends
}

// answer is the position of an append of a writer, whose repeat gets it again.
type answer struct {
	epoch, sequence int64
	position        replicator.Position
}

const (
	// keptAnswers is the number of last appends of a writer whose repeats are recognized.
	keptAnswers = 5
	// maxQueued is the time that appends to a stream may wait; more are refused.
	maxQueued = 2 * time.Second
)

var _ replicator.Log = (*Log)(nil)

// prepare makes the zero value usable. The caller holds the lock.
func (l *Log) prepare() {
	if l.changed == nil {
		l.changed = make(chan struct{})
		l.streams, l.epochs, l.next = map[string][]replicator.Value{}, map[writer]int64{}, map[writer]int64{}
		l.answers, l.freeAt, l.down = map[writer][]answer{}, map[string]time.Time{}, map[string]bool{}
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

// SetAppendTime has each stream take its appends one at a time, each for a time, and answer
// after the same time again. Appends behind more than maxQueued are refused. Those whose
// callers have given up are taken nevertheless.
func (l *Log) SetAppendTime(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appendTime = d
}

// SetDown sets whether a stream refuses all appends.
func (l *Log) SetDown(stream string, down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prepare()
	l.down[stream] = down
}

// Refused returns how many appends were refused as too much waited.
func (l *Log) Refused() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refused
}

// queue takes an append's turn and returns when it is answered.
func (l *Log) queue(stream string) (time.Time, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prepare()
	now := time.Now()
	if l.down[stream] {
		return now, &classifier.Error{Kind: classifier.Busy, Call: "append", Reason: "the stream is down"}
	}
	if l.appendTime == 0 {
		return now, nil
	}
	begins := l.freeAt[stream]
	if begins.Before(now) {
		begins = now
	}
	if begins.Sub(now) > maxQueued {
		l.refused++
		return now, &classifier.Error{Kind: classifier.Busy, Call: "append", Reason: "too much waits"}
	}
	l.freeAt[stream] = begins.Add(l.appendTime)
	return l.freeAt[stream].Add(l.appendTime), nil
}

// Append adds values to a stream if the append's expected end, epoch and sequence
// number match.
func (l *Log) Append(ctx context.Context, a replicator.Append) (replicator.Position, error) {
	due, err := l.queue(a.Stream)
	if err != nil {
		return replicator.Position{}, err
	}
	position, err := l.add(a)
	if wait := time.Until(due); wait > 0 {
		if a.Timeout > 0 && a.Timeout < wait {
			timer.Sleep(ctx, a.Timeout)
			return replicator.Position{}, &classifier.Error{Kind: classifier.Unanswered, Call: "append"}
		}
		if timer.Sleep(ctx, wait); ctx.Err() != nil {
			return replicator.Position{}, &classifier.Error{Kind: classifier.Unanswered, Call: "append", Cause: ctx.Err()}
		}
	}
	return position, err
}

// add adds the values of an append.
func (l *Log) add(a replicator.Append) (replicator.Position, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.Writer != "" && a.Epoch == l.droppedEpoch {
		return replicator.Position{}, &classifier.Error{Kind: classifier.Unanswered}
	}
	end := int64(len(l.streams[a.Stream]))
	if a.Expected != nil && *a.Expected != end {
		return replicator.Position{}, &classifier.Error{Kind: classifier.OffsetMismatch, Number: end}
	}
	w := writer{a.Stream, a.Writer}
	if a.Writer != "" {
		for _, kept := range l.answers[w] {
			if kept.epoch == a.Epoch && kept.sequence == a.Sequence && len(a.Values) > 0 {
				return kept.position, nil
			}
		}
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
	position := replicator.Position{First: end, End: end + int64(len(a.Values))}
	if a.Writer != "" {
		kept := append(l.answers[w], answer{a.Epoch, a.Sequence, position})
		l.answers[w] = kept[max(0, len(kept)-keptAnswers):]
	}
	return position, nil
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
