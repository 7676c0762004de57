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

// node is the control state of one entry and the events submitted to it.
type node struct {
	state  scheduler.State
	events chan scheduler.Event
}

func (n *node) Submit(e scheduler.Event)  { n.events <- e }
func (n *node) Snapshot() scheduler.State { return n.state }

func newNode(name string) (*node, *gossiper.Gossiper) {
	self := scheduler.Entry{ID: scheduler.EntryID{Name: name, Incarnation: 1}, Zone: "z"}
	n := &node{state: scheduler.New(self, scheduler.Policy{}, time.Now()), events: make(chan scheduler.Event, 8)}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return n, gossiper.New(n, n, logger)
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

func TestProbeExchangesDigests(t *testing.T) {
	a, ga := newNode("a")
	b, gb := newNode("b")
	defer ga.Close()
	ga.Probe(context.Background(), scheduler.Entry{Peer: listen(t, gb)})
	heardByA := (<-a.events).(scheduler.DigestReceived)
	heardByB := (<-b.events).(scheduler.DigestReceived)
	assert.Equal(t, heardByA.Digest.Entry.ID.Name, "b")
	assert.Equal(t, heardByB.Digest.Entry.ID.Name, "a")
}

// A refused connection is evidence against an entry; a peer that accepts the
// connection and never answers gives none.
func TestProbeReportsOnlyRefusedConnections(t *testing.T) {
	a, ga := newNode("a")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	id := scheduler.EntryID{Name: "b", Incarnation: 1}
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	ga.Probe(ctx, scheduler.Entry{ID: id, Peer: l.Addr().String()})
	assert.Equal(t, len(a.events), 0, "a timeout is not evidence")
	assert.NilError(t, l.Close())
	ga.Probe(context.Background(), scheduler.Entry{ID: id, Peer: l.Addr().String()})
	assert.DeepEqual(t, <-a.events, scheduler.Event(scheduler.PeerRefused{Entry: id}))
}

func TestHandoverEndedRequestAndConfigArrive(t *testing.T) {
	a, ga := newNode("a")
	b, gb := newNode("b")
	defer ga.Close()
	b.state.Config = scheduler.Config{Offset: 7}
	to := scheduler.Entry{ID: b.state.Self.ID, Peer: listen(t, gb)}
	running := []scheduler.CarriedRequest{{Request: "r", Until: time.Unix(5, 0).UTC()}}
	claim := scheduler.Claim{Owner: to.ID, Epoch: 3, Handovers: 1}
	ga.HandOver(context.Background(), scheduler.SendHandover{To: to, From: a.state.Self, Resource: "server/s", Claim: claim, Running: running})
	received := (<-b.events).(scheduler.HandoverReceived)
	assert.DeepEqual(t, received, scheduler.HandoverReceived{From: a.state.Self, Resource: "server/s", Claim: claim, Running: running})
	assert.DeepEqual(t, <-a.events, scheduler.Event(scheduler.HandoverConfirmed{Resource: "server/s", To: to.ID}))
	ga.NotifyEnded(context.Background(), scheduler.ReleaseSlot{To: to, Server: "s", Request: "r"})
	assert.DeepEqual(t, <-b.events, scheduler.Event(scheduler.CarriedEnded{Server: "s", Request: "r"}))
	ga.Config(context.Background(), to.Peer)
	assert.Equal(t, (<-a.events).(scheduler.ConfigReceived).Config.Offset, int64(7))
}

// A malformed message is answered with an error and submits no event, and the
// connection stays usable.
func TestMalformedMessages(t *testing.T) {
	b, gb := newNode("b")
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
