package gossiper_test

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/jsonrpc2"
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

// A message that cannot be read is answered with an error, makes no event, and
// the connection goes on.
func TestBadMessages(t *testing.T) {
	b, gb := newSide("b")
	conn, err := net.Dial("tcp", listen(t, gb))
	assert.NilError(t, err)
	rpc := jsonrpc2.NewConn(context.Background(), jsonrpc2.NewBufferedStream(conn, jsonrpc2.VarintObjectCodec{}), nil)
	defer func() { _ = rpc.Close() }()
	cases := []struct {
		method string
		params any
		code   int64
	}{
		{"dance", struct{}{}, jsonrpc2.CodeMethodNotFound},
		{"digest", "text", jsonrpc2.CodeInvalidParams},
		{"digest", map[string]any{"id": 5}, jsonrpc2.CodeInvalidParams},
		{"digest", map[string]any{"id": "nobody#1"}, -32001},
		{"hello", []int{1}, jsonrpc2.CodeInvalidParams},
		{"give", map[string]any{"claim": 5}, jsonrpc2.CodeInvalidParams},
		{"free", 7, jsonrpc2.CodeInvalidParams},
	}
	for _, c := range cases {
		var fault *jsonrpc2.Error
		err := rpc.Call(context.Background(), c.method, c.params, nil)
		assert.Assert(t, errors.As(err, &fault), "%s: %v", c.method, err)
		assert.Equal(t, fault.Code, c.code, c.method)
	}
	assert.Equal(t, len(b.events), 0)
}
