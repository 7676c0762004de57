package recorder

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/endivelock/endivelock/internal/classifier"
	"github.com/endivelock/endivelock/internal/encoder"
	"github.com/endivelock/endivelock/internal/keeper"
	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
	"github.com/endivelock/endivelock/internal/replicator"
	"github.com/endivelock/endivelock/internal/timer"
)

const (
	// Writer is the writer name of leaders in the stream of runs.
	Writer = "leader"
	// heartbeatPeriod is the longest time between two appends of a leader. Other
	// entries treat a leader that stops appending as failed.
	heartbeatPeriod = 200 * time.Millisecond
	// firstTimeout and longestTimeout bound the timeout of one append. The first
	// attempt gets timeoutFactor times the recent latency; each attempt without
	// an answer doubles the timeout of the next. Retries are safe, since the log
	// recognizes a repeated append by its sequence number.
	firstTimeout   = 250 * time.Millisecond
	longestTimeout = 2 * time.Second
	timeoutFactor  = 4
	// latencyWeight is the weight of a new sample in the moving average of the
	// append latency.
	latencyWeight = 0.2
	// retryPause is the pause before an append that the log refused is retried.
	retryPause = 60 * time.Millisecond
)

// Sink takes events.
type Sink interface {
	// Submit takes an event; it may block for a short while.
	Submit(e keeper.Event)
}

// Recorder writes the records of one leader in batches. Set the exported fields,
// then call Serve.
type Recorder struct {
	Log     Log
	Sink    Sink
	Logger  logrus.FieldLogger
	Lead    keeper.LeaderRecord
	End     int64 // end of the stream of runs when the leader had read all that earlier ones wrote
	Clock   keeper.Clock
	Leases  leader.Leases // written with the first append
	Renewal time.Duration // for how long the leader renews leases after LastConfirmed
	Grant   time.Duration // for how long its deputies go on without it
	Appends metrics.Timer

	mu       sync.Mutex
	pending  map[ledger.ID]pendingRecord
	order    []ledger.ID
	expired  []ledger.ID
	leases   *leader.Leases // not written yet
	leadAt   time.Time      // when the leader's own record was last part of a batch
	wake     chan struct{}
	sequence int64
	latency  time.Duration             // moving average of successful appends
	lastSent atomic.Pointer[time.Time] // when the last successful append was first sent
	lastAt   atomic.Int64              // offset of the last successful append
}

// pendingRecord is the latest unwritten record of a job, and the batch of the
// first one, which it may have replaced.
type pendingRecord struct {
	record     leader.Record
	firstBatch int64
}

// Put queues records. Each replaces an unwritten record of the same job. Records of one batch
// are put together, since a batch counts as written once none of its records is queued.
func (r *Recorder) Put(records ...leader.Record) { r.PutWithLeases(nil, records...) }

// PutWithLeases is like Put and also queues a record of leases, if there is one, in place of
// one that is not written yet.
func (r *Recorder) PutWithLeases(leases *leader.Leases, records ...leader.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if leases != nil {
		r.leases = leases
	}
	if r.pending == nil {
		r.pending = map[ledger.ID]pendingRecord{}
	}
	for _, record := range records {
		p := pendingRecord{record, record.Batch}
		if old, ok := r.pending[record.Job]; ok {
			p.firstBatch = old.firstBatch
		} else {
			r.order = append(r.order, record.Job)
		}
		r.pending[record.Job] = p
	}
	r.signal()
}

// Expire queues the deletion of a job's state.
func (r *Recorder) Expire(id ledger.ID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expired = append(r.expired, id)
}

// signal wakes Serve. The caller holds the lock.
func (r *Recorder) signal() {
	select {
	case r.wakeChannel() <- struct{}{}:
	default:
	}
}

func (r *Recorder) wakeChannel() chan struct{} {
	if r.wake == nil {
		r.wake = make(chan struct{}, 1)
	}
	return r.wake
}

// LastConfirmed returns the latest time since which the log is known to have accepted
// an append of this leader: when that append was first sent. Its answer may arrive
// much later, after another entry has taken over.
func (r *Recorder) LastConfirmed() time.Time {
	if sent := r.lastSent.Load(); sent != nil {
		return *sent
	}
	return time.Time{}
}

// Fence returns a fence for calls to workers. It rises with the leader's records, is
// higher than the fences of all earlier leaders and lower than those of all later ones:
// these begin with the end of the stream, which is past every record of this leader.
func (r *Recorder) Fence() int64 { return max(r.Lead.Epoch, r.End+1, r.lastAt.Load()+1) }

// batch is one append.
type batch struct {
	number  int64 // last batch of decisions that is written completely with it
	values  []replicator.Value
	changes []keeper.RunChange
}

// Serve appends the queued records until the context ends or the leader is
// deposed.
func (r *Recorder) Serve(ctx context.Context) error {
	r.mu.Lock()
	wake := r.wakeChannel()
	if r.leases == nil {
		r.leases = &r.Leases
	}
	r.mu.Unlock()
	started := time.Now()
	r.lastSent.Store(&started)
	heartbeat := time.NewTimer(0)
	defer heartbeat.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-wake:
		case <-heartbeat.C:
		}
		b := r.nextBatch()
		if !r.append(ctx, b) {
			return nil
		}
		heartbeat.Reset(heartbeatPeriod)
		r.Sink.Submit(keeper.Written{Batch: b.number, Changes: b.changes})
	}
}

// nextBatch encodes the queued records. Records that do not fit into one append
// go into the next; a batch of decisions that is split this way counts as
// written only with its last part.
func (r *Recorder) nextBatch() batch {
	r.mu.Lock()
	defer r.mu.Unlock()
	var b batch
	size, taken := 0, 0
	if r.leases != nil {
		v := r.leasesValue(*r.leases)
		size += len(v.Data)
		b.values = append(b.values, v)
		r.leases = nil
	}
	for _, id := range r.order {
		if size > maxBatchBytes {
			break
		}
		record := r.pending[id].record
		delete(r.pending, id)
		taken++
		b.number = max(b.number, record.Batch)
		if id == "" {
			continue
		}
		v := encoder.Progress(id, record.Progress)
		size += len(v.Data)
		b.values = append(b.values, v)
		progress := record.Progress
		b.changes = append(b.changes, keeper.RunChange{ID: id, Progress: &progress})
	}
	r.order = r.order[taken:]
	for _, p := range r.pending {
		b.number = min(b.number, p.firstBatch-1)
	}
	if len(r.order) > 0 {
		r.signal()
	}
	r.addExpired(&b)
	r.addHeartbeat(&b)
	return b
}

// leasesValue returns the value of the stream of runs for leases.
func (r *Recorder) leasesValue(l leader.Leases) replicator.Value {
	v, err := encoder.Leases(keeper.NewLeaseRecord(r.Lead.Epoch, r.Clock, l).WithRenewals(r.Renewal, r.Grant))
	if err != nil {
		panic("recorder: leases can't be encoded: " + err.Error())
	}
	return v
}

// addExpired adds the deletions of expired jobs.
func (r *Recorder) addExpired(b *batch) {
	for _, id := range r.expired {
		b.values = append(b.values, replicator.Value{Name: string(id)})
		b.changes = append(b.changes, keeper.RunChange{ID: id})
	}
	r.expired = nil
}

// addHeartbeat adds a heartbeat if the batch is empty or the last one is long ago: other
// records don't show the clock of leases.
func (r *Recorder) addHeartbeat(b *batch) {
	now := time.Now()
	if len(b.values) > 0 && now.Sub(r.leadAt) < heartbeatPeriod {
		return
	}
	r.leadAt = now
	r.Lead.Heartbeats++
	r.Lead.Clock = r.Clock.Reading(now)
	v, err := encoder.Leader(r.Lead)
	if err != nil {
		panic("recorder: leader can't be encoded: " + err.Error())
	}
	b.values = append(b.values, v)
}

// append retries a batch until the log accepts it. It returns false if the
// context has ended or the leader is deposed.
func (r *Recorder) append(ctx context.Context, b batch) bool {
	r.sequence++
	timeout := min(max(firstTimeout, timeoutFactor*r.latency), longestTimeout)
	firstSent := time.Now()
	for attempt := 0; ; attempt++ {
		began := time.Now()
		position, err := r.Log.Append(ctx, replicator.Append{
			Stream: keeper.Runs, Values: b.values, Writer: Writer, Epoch: r.Lead.Epoch, Sequence: r.sequence, Timeout: timeout,
		})
		r.Appends.UpdateSince(began)
		logSlowAppend(r.Logger, keeper.Runs, len(b.values), began, err)
		if err == nil {
			if attempt > 0 {
				r.Logger.WithField("attempt", attempt).Info("log accepts records again")
			}
			r.lastSent.Store(&firstSent)
			r.lastAt.Store(max(r.lastAt.Load(), position.First))
			r.latency += time.Duration(latencyWeight * float64(time.Since(began)-r.latency))
			return true
		}
		if ctx.Err() != nil {
			return false
		}
		if attempt == 0 {
			r.Logger.WithError(err).WithField("sequence", r.sequence).Warn("records not written")
		}
		switch classifier.KindOf(err) {
		case classifier.Fenced:
			r.Sink.Submit(keeper.Deposed{Why: err.Error()})
			return false
		case classifier.Unanswered:
			timeout = min(2*timeout, longestTimeout)
		case classifier.OutOfSequence:
			if !r.resume(err) {
				return false
			}
		default:
			timer.Sleep(ctx, retryPause)
		}
	}
}

// resume adopts the sequence number that the log expects, which is valid only
// for the first append of a leader. Later, a lower number means that the log has
// lost appends, and a higher one that another writer uses this epoch: both
// depose the leader. It reports whether the leader may go on.
func (r *Recorder) resume(err error) bool {
	var failed *classifier.Error
	if !errors.As(err, &failed) || r.sequence > 1 {
		r.Sink.Submit(keeper.Deposed{Why: err.Error()})
		return false
	}
	r.sequence = failed.Number
	return true
}

// Resign records that this leader has stopped, and the leases that it did not renew. Call it
// after Serve has returned.
func (r *Recorder) Resign(ctx context.Context, leases leader.Leases) {
	lead := r.Lead
	lead.Name, lead.Address = "", ""
	lead.Heartbeats++
	lead.Clock = r.Clock.Reading(time.Now())
	v, err := encoder.Leader(lead)
	if err != nil {
		panic("recorder: leader can't be encoded: " + err.Error())
	}
	_, err = r.Log.Append(ctx, replicator.Append{
		Stream: keeper.Runs, Values: []replicator.Value{r.leasesValue(leases), v}, Writer: Writer, Epoch: lead.Epoch, Sequence: r.sequence + 1, Timeout: firstTimeout,
	})
	if err != nil {
		r.Logger.WithError(err).Warn("resignation not written; other entries will detect the missing heartbeats")
	}
}
