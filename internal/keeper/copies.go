package keeper

import (
	"time"

	"github.com/endivelock/endivelock/internal/ledger"
)

// copies are the records of one job in the log that have not been dropped: the job and its
// cancellation, each in the stream of jobs, in the stream of runs or in both. Each element is
// 1 more than the offset of a record, or 0 if there is none.
type copies [4]int64

// copyIndex returns the index of the record that a change is about.
func copyIndex(c JobChange) int {
	i := 0
	if c.Cancel {
		i++
	}
	if c.InRuns {
		i += 2
	}
	return i
}

// With returns the copies with the record of a change.
func (c copies) With(change JobChange) copies {
	i := copyIndex(change)
	c[i] = max(c[i], change.Offset+1)
	return c
}

// Without returns the copies without the record that a change has dropped. A record that was
// appended after the change stays.
func (c copies) Without(change JobChange) copies {
	if i := copyIndex(change); c[i] <= change.Offset {
		c[i] = 0
	}
	return c
}

// job reports whether a stream has the job itself.
func (c copies) job() bool {
	return c[copyIndex(JobChange{})] != 0 || c[copyIndex(JobChange{InRuns: true})] != 0
}

// cancel reports whether a stream has the cancellation of the job.
func (c copies) cancel() bool {
	return c[copyIndex(JobChange{Cancel: true})] != 0 || c[copyIndex(JobChange{Cancel: true, InRuns: true})] != 0
}

// discard returns the effect that drops all copies of a job.
func (c copies) discard(id ledger.ID) Discard {
	d := Discard{Job: id}
	for _, change := range []JobChange{{}, {Cancel: true}, {InRuns: true}, {Cancel: true, InRuns: true}} {
		if c[copyIndex(change)] == 0 {
			continue
		}
		name := string(id)
		if change.Cancel {
			name = CancelName(id)
		}
		if change.InRuns {
			d.FromRuns = append(d.FromRuns, FallbackName(name))
		} else {
			d.FromJobs = append(d.FromJobs, name)
		}
	}
	return d
}

// Holds reports whether a record of a job is known to be in one of the streams.
func (s State) Holds(id ledger.ID, cancel, inRuns bool) bool {
	c, _ := s.copies.Get(string(id))
	return c[copyIndex(JobChange{Cancel: cancel, InRuns: inRuns})] != 0
}

const (
	// discardInterval is the time between two attempts to drop the copies of an ended job. It
	// is longer than one attempt.
	discardInterval = 4 * time.Second
	// maxDiscards bounds the repeated attempts that begin with one tick.
	maxDiscards = 16
)

// setCopies stores the copies of a job. Once none is left, no reader can take it for new.
func (t *transition) setCopies(id string, c copies) {
	if c == (copies{}) {
		t.copies, t.discards = t.copies.Without(id), t.discards.Without(id)
		return
	}
	t.copies = t.copies.With(id, c)
}

// dropCopy applies that a record of a job was dropped from its stream.
func (t *transition) dropCopy(change JobChange) {
	id := string(change.ID)
	c, _ := t.copies.Get(id)
	c = c.Without(change)
	t.setCopies(id, c)
	if !c.job() {
		t.dropJob(id)
	}
	if !c.cancel() {
		t.cancels = t.cancels.Without(id)
	}
}

// dropJob drops a job, but not its progress.
func (t *transition) dropJob(id string) {
	if j, ok := t.jobs.Get(id); ok {
		t.jobs, t.weight = t.jobs.Without(id), t.weight-j.Weight()
	}
}

// discardJob drops an ended job from each stream that it was written to. Its end stays in
// the log until that is done, since whoever finds the job without it would run it.
func (t *transition) discardJob(id ledger.ID) {
	key := string(id)
	t.dropJob(key)
	t.cancels = t.cancels.Without(key)
	if c, ok := t.copies.Get(key); ok {
		t.discards = t.discards.With(key, t.now.Add(discardInterval).UnixMilli())
		t.emit(c.discard(id))
	}
}

// retryDiscards drops the copies again that are still there.
func (t *transition) retryDiscards() {
	var due []ledger.ID
	for id, at := range t.discards.From(0) {
		if at > t.now.UnixMilli() || len(due) >= maxDiscards {
			break
		}
		due = append(due, ledger.ID(id))
	}
	for _, id := range due {
		t.discardJob(id)
	}
}

// discardEnded drops what earlier leaders have left of ended jobs.
func (t *transition) discardEnded() {
	for id := range t.copies.All() {
		if p, ok := t.progress.Get(id); ok && p.Terminated() {
			t.discardJob(ledger.ID(id))
		}
	}
}

// forgetMissing forgets the copies in a stream that a read of its newest values up to an
// offset doesn't show: they were dropped by changes that were trimmed before they were read.
func (t *transition) forgetMissing(changes []JobChange, inRuns bool, next int64) {
	shown := map[ledger.ID]copies{}
	for _, c := range changes {
		if c.InRuns == inRuns && !c.Dropped {
			shown[c.ID] = shown[c.ID].With(c)
		}
	}
	for id, known := range t.copies.All() {
		for _, cancel := range []bool{false, true} {
			change := JobChange{Offset: next, ID: ledger.ID(id), Cancel: cancel, InRuns: inRuns, Dropped: true}
			if i := copyIndex(change); known[i] != 0 && shown[change.ID][i] == 0 {
				t.dropCopy(change)
			}
		}
	}
}
