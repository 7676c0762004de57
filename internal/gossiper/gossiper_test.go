package gossiper_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/gossiper"
	"github.com/endivelock/endivelock/internal/scheduler"
)

// side is one entry as its gossiper sees it.
type side struct {
	state  scheduler.State
	events chan scheduler.Event
}

func (s *side) Submit(e scheduler.Event)  { s.events <- e }
func (s *side) Snapshot() scheduler.State { return s.state }

func newSide(name string) (*side, *gossiper.Gossiper) {
	self := scheduler.Entry{ID: scheduler.EntryID{Name: name, Incarnation: 1}, Zone: "z"}
	s := &side{state: scheduler.New(self, scheduler.Policy{}, time.Now()), events: make(chan scheduler.Event, 8)}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return s, gossiper.New(s, s, logger)
}

func listen(t *testing.T, g *gossiper.Gossiper) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return g.Listen(ctx, l) })
	t.Cleanup(func() {
		cancel()
		_ = group.Wait()
		g.Close()
	})
	return l.Addr().String()
}

func TestDigestsGoBothWays(t *testing.T) {
	a, ga := newSide("a")
	b, gb := newSide("b")
	defer ga.Close()
	ga.Probe(context.Background(), scheduler.Entry{Peer: listen(t, gb)})
	heardByA := (<-a.events).(scheduler.DigestHeard)
	heardByB := (<-b.events).(scheduler.DigestHeard)
	assert.Equal(t, heardByA.Digest.Entry.ID.Name, "b")
	assert.Equal(t, heardByB.Digest.Entry.ID.Name, "a")
}

func TestRefusalIsEvidenceAndSilenceIsNot(t *testing.T) {
	a, ga := newSide("a")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	id := scheduler.EntryID{Name: "b", Incarnation: 1}
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	ga.Probe(ctx, scheduler.Entry{ID: id, Peer: l.Addr().String()})
	assert.Equal(t, len(a.events), 0, "a listener that does not answer is silent")
	assert.NilError(t, l.Close())
	ga.Probe(context.Background(), scheduler.Entry{ID: id, Peer: l.Addr().String()})
	assert.DeepEqual(t, <-a.events, scheduler.Event(scheduler.PeerRefused{Entry: id}))
}

func TestGiftsEndsAndConfigurationArrive(t *testing.T) {
	a, ga := newSide("a")
	b, gb := newSide("b")
	defer ga.Close()
	b.state.Config = scheduler.Config{Offset: 7}
	to := scheduler.Entry{ID: b.state.Self.ID, Peer: listen(t, gb)}
	running := []scheduler.Carried{{Request: "r", Until: time.Unix(5, 0).UTC()}}
	claim := scheduler.Claim{Owner: to.ID, Epoch: 3, Hand: 1}
	ga.Give(context.Background(), scheduler.Give{To: to, From: a.state.Self, Resource: "server/s", Claim: claim, Running: running})
	gift := (<-b.events).(scheduler.GiftReceived)
	assert.DeepEqual(t, gift, scheduler.GiftReceived{From: a.state.Self, Resource: "server/s", Claim: claim, Running: running})
	assert.DeepEqual(t, <-a.events, scheduler.Event(scheduler.GiftConfirmed{Resource: "server/s", To: to.ID}))
	ga.Free(context.Background(), scheduler.Free{To: to, Server: "s", Request: "r"})
	assert.DeepEqual(t, <-b.events, scheduler.Event(scheduler.CarriedEnded{Server: "s", Request: "r"}))
	ga.Config(context.Background(), to.Peer)
	assert.Equal(t, (<-a.events).(scheduler.ConfigHeard).Config.Offset, int64(7))
}
