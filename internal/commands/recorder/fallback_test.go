package recorder_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/endivelock/endivelock/internal/classifier"
	"github.com/endivelock/endivelock/internal/commands/recorder"
	"github.com/endivelock/endivelock/internal/replicator"
)

// A leader is replaced while it writes to the fallback stream. That it is fenced off then
// may be the answer to a repeat, after a first attempt that was carried out: its clients
// must not hear that their jobs don't run.
func TestValuesOfAFencedFallbackMayBeInTheLog(t *testing.T) {
	l := &log{}
	l.fail = func(n int) error {
		if l.all()[n-1].Stream == "jobs" {
			return &classifier.Error{Kind: classifier.Busy}
		}
		return &classifier.Error{Kind: classifier.Fenced}
	}
	j := serveJournal(t, l)
	j.Fallback = func() (recorder.Fallback, bool) {
		return recorder.Fallback{Stream: "runs", Epoch: 9, Name: func(name string) string { return "+" + name }}, true
	}
	err := j.Add(context.Background(), replicator.Value{Name: "a"})
	assert.Assert(t, classifier.Is(err, classifier.Unanswered), "%v", err)
}

func TestRefusedValuesGoToTheFallbackStream(t *testing.T) {
	l := &log{}
	l.fail = func(n int) error {
		switch l.all()[n-1].Stream {
		case "jobs":
			return &classifier.Error{Kind: classifier.Busy}
		default:
			if n == 2 {
				return &classifier.Error{Kind: classifier.Unanswered}
			}
			if n == 4 {
				return &classifier.Error{Kind: classifier.OutOfSequence, Number: 1}
			}
		}
		return nil
	}
	j := serveJournal(t, l)
	j.Fallback = func() (recorder.Fallback, bool) {
		return recorder.Fallback{Stream: "runs", Epoch: 9, Name: func(name string) string { return "+" + name }}, true
	}
	assert.Assert(t, classifier.Is(j.Add(context.Background(), replicator.Value{Name: "a"}), classifier.Unanswered))
	j.MarkAvailable()
	assert.NilError(t, j.Add(context.Background(), replicator.Value{Name: "b"}))
	all := l.all()
	assert.Equal(t, len(all), 5)
	assert.Equal(t, all[1].Sequence, int64(1))
	assert.Equal(t, all[3].Sequence, int64(2), "not a repeat of the unanswered append")
	assert.Equal(t, all[4].Sequence, int64(1), "the sequence number that the log expects")
	assert.Equal(t, all[4].Values[0].Name, "+b")
	assert.Equal(t, all[4].Epoch, int64(9))
}

// A drop that goes to the fallback stream leaves the value in the stream that refused it
// (review/8), so that it must not count as done.
func TestADropThatItsStreamRefusesFails(t *testing.T) {
	l := &log{}
	l.fail = func(n int) error {
		if l.all()[n-1].Stream == "jobs" {
			return &classifier.Error{Kind: classifier.Busy}
		}
		return nil
	}
	j := serveJournal(t, l)
	j.Fallback = func() (recorder.Fallback, bool) {
		return recorder.Fallback{Stream: "runs", Epoch: 9, Name: func(name string) string { return "+" + name }}, true
	}
	assert.Assert(t, classifier.Is(j.Drop(context.Background(), "a"), classifier.Busy))
	j.MarkAvailable()
	assert.NilError(t, j.Add(context.Background(), replicator.Value{Name: "b", Data: []byte("{}")}))
	for _, a := range l.all() {
		for _, v := range a.Values {
			assert.Assert(t, a.Stream == "jobs" || v.Name != "+a", "the drop went to stream %s", a.Stream)
		}
	}
}

// While its stream is refused, a journal that had to drop a value first turned away all values
// that the fallback stream would have taken.
func TestARefusedDropKeepsNoValueFromTheFallbackStream(t *testing.T) {
	l := &log{}
	l.fail = func(n int) error {
		if l.all()[n-1].Stream == "jobs" {
			return &classifier.Error{Kind: classifier.Busy}
		}
		return nil
	}
	j := serveJournal(t, l)
	j.Fallback = func() (recorder.Fallback, bool) {
		return recorder.Fallback{Stream: "runs", Epoch: 9, Name: func(name string) string { return "+" + name }}, true
	}
	for range 3 {
		assert.Assert(t, classifier.Is(j.Drop(context.Background(), "a"), classifier.Busy))
		assert.NilError(t, j.Add(context.Background(), replicator.Value{Name: "b", Data: []byte("{}")}))
	}
}

// Both streams are refused, and the fallback stream is the first that answers again.
func TestAnOutageEndsOnceTheFallbackStreamAnswers(t *testing.T) {
	l := &log{}
	var recovered atomic.Bool
	l.fail = func(n int) error {
		if l.all()[n-1].Stream == "jobs" || !recovered.Load() {
			return &classifier.Error{Kind: classifier.Busy}
		}
		return nil
	}
	j := serveJournal(t, l)
	j.Fallback = func() (recorder.Fallback, bool) {
		return recorder.Fallback{Stream: "runs", Epoch: 9, Name: func(name string) string { return "+" + name }}, true
	}
	value := replicator.Value{Name: "b", Data: []byte("{}")}
	assert.Assert(t, classifier.Is(j.Add(context.Background(), value), classifier.Busy))
	assert.Assert(t, j.Outage() > 0)
	recovered.Store(true)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if j.Outage() > 0 {
			return poll.Continue("the journal refuses values")
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
	assert.NilError(t, j.Add(context.Background(), value))
}

// The partition of the jobs doesn't answer while that of the runs does: later values don't wait
// for it. Once it answers again they go there.
func TestValuesDoNotWaitForASilentStream(t *testing.T) {
	l := &log{}
	var answers atomic.Bool
	l.fail = func(n int) error {
		if l.all()[n-1].Stream == "jobs" && !answers.Load() {
			return &classifier.Error{Kind: classifier.Unanswered}
		}
		return nil
	}
	j := serveJournal(t, l)
	j.Fallback = func() (recorder.Fallback, bool) {
		return recorder.Fallback{Stream: "runs", Epoch: 9, Name: func(name string) string { return "+" + name }}, true
	}
	value := replicator.Value{Name: "b", Data: []byte("{}")}
	assert.Assert(t, classifier.Is(j.Add(context.Background(), value), classifier.Unanswered))
	assert.NilError(t, j.Add(context.Background(), value))
	assert.Assert(t, classifier.Is(j.Drop(context.Background(), "a"), classifier.Busy), "no drop goes to the fallback stream")
	answers.Store(true)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if err := j.Add(context.Background(), value); err != nil {
			return poll.Error(err)
		}
		if all := l.all(); all[len(all)-1].Stream != "jobs" {
			return poll.Continue("values go to the fallback stream")
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
}
