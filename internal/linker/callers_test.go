package linker_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/keeper"
	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/replicator"
)

// slowSink holds the first set of callers up for a while, as a scheduling delay does.
type slowSink struct {
	*entry
	slow atomic.Bool // has held one up
	held chan struct{}
}

func callersOf(e keeper.Event) ([]string, bool) {
	wrapped, ok := e.(keeper.LeaderEvent)
	if !ok {
		return nil, false
	}
	changed, ok := wrapped.Event.(leader.CallersChanged)
	return changed.Callers, ok
}

func (s *slowSink) Submit(e keeper.Event) {
	if _, ok := callersOf(e); ok && !s.slow.Swap(true) {
		close(s.held)
		time.Sleep(300 * time.Millisecond)
	}
	s.entry.Submit(e)
}

// writingSink writes through the leader as soon as the link is said to be made.
type writingSink struct {
	*entry
	wrote chan error
}

func (s *writingSink) Submit(e keeper.Event) {
	s.entry.Submit(e)
	if _, ok := e.(keeper.LinkEstablished); ok {
		s.wrote <- s.link.Add(context.Background(), replicator.Value{Name: "k"})
	}
}

// Guards against jobs that an entry turns away right after it has linked: the link was
// said to be made before it could be used.
func TestALinkCanBeUsedOnceItIsSaidToBeMade(t *testing.T) {
	lead, other := start(t, "lead"), start(t, "other")
	lead.becomeLeader(9)
	sink := &writingSink{entry: other, wrote: make(chan error, 1)}
	other.link.Sink = sink
	other.Submit(keeper.LeaderLearned{Lead: lead.Snapshot().Lead(), From: "test"})
	assert.NilError(t, <-sink.wrote)
}

// Guards against a leader that goes on with too few callers for advice: a set of callers
// that was held up replaced the newer one.
func TestAnOlderSetOfCallersDoesNotArriveLast(t *testing.T) {
	lead := start(t, "lead")
	lead.becomeLeader(9)
	sink := &slowSink{entry: lead, held: make(chan struct{})}
	lead.link.Sink = sink
	var group errgroup.Group
	hello := func(name string) {
		rpc := dial(t, lead.Snapshot().Self.Address)
		group.Go(func() error {
			return rpc.Call(context.Background(), "hello", map[string]any{"name": name, "epoch": 9}, nil)
		})
	}
	hello("a")
	<-sink.held
	hello("b")
	assert.NilError(t, group.Wait())
	var last []string
	lead.mu.Lock()
	defer lead.mu.Unlock()
	for _, e := range lead.events {
		if callers, ok := callersOf(e); ok {
			last = callers
		}
	}
	assert.DeepEqual(t, last, []string{"a", "b", "lead"})
}
