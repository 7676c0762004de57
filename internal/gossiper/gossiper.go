// Package gossiper is both client and server of the jsonrpc2 protocol between
// entries. It exchanges digests, hands resources over to another entry, reports
// the end of carried requests and fetches the configuration. Received messages
// become events for the control thread; the package makes no decisions.
package gossiper

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/jsonrpc2"
	"golang.org/x/sync/errgroup"

	"github.com/endivelock/endivelock/internal/framer"
	"github.com/endivelock/endivelock/internal/listener"
	"github.com/endivelock/endivelock/internal/scheduler"
)

const (
	// callTimeout bounds one call to a peer.
	callTimeout = 2 * time.Second
	// Fanout is the number of peers probed in one round.
	Fanout = 2
	// Period is the time between two rounds.
	Period = 500 * time.Millisecond
)

// Methods of the protocol between entries.
const (
	methodHello    = "hello"
	methodDigest   = "digest"
	methodHandover = "give"
	methodEnded    = "free"
	methodConfig   = "config"
)

// Sink accepts events.
type Sink interface {
	// Submit queues an event; it may block briefly.
	Submit(e scheduler.Event)
}

// Viewer returns the published control state.
type Viewer interface {
	// Snapshot returns the last published state.
	Snapshot() scheduler.State
}

// handoverMessage transfers the ownership of a resource and the requests that
// run on it.
type handoverMessage struct {
	From     scheduler.Entry            `json:"from"`
	Resource string                     `json:"resource"`
	Claim    scheduler.Claim            `json:"claim"`
	Running  []scheduler.CarriedRequest `json:"running"`
	Broken   bool                       `json:"broken,omitempty"`
}

// endedMessage reports the end of a carried request.
type endedMessage struct {
	Server  string `json:"server"`
	Request string `json:"request"`
}

// Gossiper calls peers and answers their calls. Create it with New.
type Gossiper struct {
	viewer Viewer
	sink   Sink
	logger logrus.FieldLogger
	bytes  atomic.Int64
	calls  atomic.Int64

	mu    sync.Mutex
	conns map[string]*jsonrpc2.Conn // by address
	round int
}

// New returns a gossiper.
func New(viewer Viewer, sink Sink, logger logrus.FieldLogger) *Gossiper {
	return &Gossiper{viewer: viewer, sink: sink, logger: logger, conns: map[string]*jsonrpc2.Conn{}}
}

// Traffic returns the bytes sent and received and the number of calls made.
func (g *Gossiper) Traffic() (bytes, calls int64) {
	return g.bytes.Load(), g.calls.Load()
}

// Listen serves peers on a listener until the context ends.
func (g *Gossiper) Listen(ctx context.Context, l net.Listener) error {
	return listener.Serve(ctx, l, g.serveConn)
}

func (g *Gossiper) serveConn(ctx context.Context, conn net.Conn) {
	rpc := jsonrpc2.NewConn(ctx, g.newStream(conn), jsonrpc2.HandlerWithError(g.handle))
	select {
	case <-rpc.DisconnectNotify():
	case <-ctx.Done():
		_ = rpc.Close()
	}
}

func (g *Gossiper) newStream(conn net.Conn) jsonrpc2.ObjectStream {
	counted := &countingConn{Conn: conn, bytes: &g.bytes}
	return jsonrpc2.NewBufferedStream(counted, framer.New(conn))
}

func (g *Gossiper) handle(_ context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	if r.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "params are missing"}
	}
	switch r.Method {
	case methodHello:
		return g.handleHello(*r.Params)
	case methodDigest:
		return g.handleDigest(*r.Params)
	case methodHandover:
		return g.handleHandover(*r.Params)
	case methodEnded:
		return g.handleEnded(*r.Params)
	case methodConfig:
		return g.viewer.Snapshot().Config, nil
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: fmt.Sprintf("method %.64q is not known", r.Method)}
}

// handleHello submits a full digest and returns that of this entry.
func (g *Gossiper) handleHello(params json.RawMessage) (any, error) {
	d, err := decode[scheduler.Digest](params)
	if err != nil {
		return nil, err
	}
	g.sink.Submit(scheduler.DigestReceived{Digest: d})
	return g.viewer.Snapshot().Digest(), nil
}

// handleDigest submits a compact digest and returns that of this entry. A peer
// whose addresses are not known gets codeUnknownEntry and calls hello next.
func (g *Gossiper) handleDigest(params json.RawMessage) (any, error) {
	c, err := decode[compactDigest](params)
	if err != nil {
		return nil, err
	}
	s := g.viewer.Snapshot()
	if !g.submitCompact(s, c) {
		return nil, &jsonrpc2.Error{Code: codeUnknownEntry, Message: "entry is not known"}
	}
	return compact(s.Digest()), nil
}

// submitCompact submits a compact digest as an event. It reports false if the
// addresses of the entry are not known.
func (g *Gossiper) submitCompact(s scheduler.State, c compactDigest) bool {
	m, ok := s.Members.Get(c.ID)
	if !ok || m.Digest.Entry.Forward == "" {
		return false
	}
	g.sink.Submit(scheduler.DigestReceived{Digest: c.digest(m.Digest.Entry)})
	return true
}

func (g *Gossiper) handleHandover(params json.RawMessage) (any, error) {
	m, err := decode[handoverMessage](params)
	if err != nil {
		return nil, err
	}
	g.sink.Submit(scheduler.HandoverReceived(m))
	return g.viewer.Snapshot().Self.ID, nil
}

func (g *Gossiper) handleEnded(params json.RawMessage) (any, error) {
	m, err := decode[endedMessage](params)
	if err != nil {
		return nil, err
	}
	g.sink.Submit(scheduler.CarriedEnded(m))
	return struct{}{}, nil
}

func decode[T any](params json.RawMessage) (T, error) {
	var message T
	if err := json.Unmarshal(params, &message); err != nil {
		return message, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	return message, nil
}

// Round exchanges digests with the next Fanout peers in round-robin order, so
// that the traffic per entry does not grow with the number of entries. An
// exchange goes both ways, so peers with a recent digest are skipped.
func (g *Gossiper) Round(ctx context.Context) {
	peers := g.peers()
	if len(peers) == 0 {
		return
	}
	group, ctx := errgroup.WithContext(ctx)
	for i := range min(Fanout, len(peers)) {
		peer := peers[(g.round+i)%len(peers)]
		group.Go(func() error {
			g.Probe(ctx, peer)
			return nil
		})
	}
	g.round += Fanout
	_ = group.Wait()
}

// peers returns the candidates of a round: all entries of this zone and one
// entry of each other zone, which rotates from round to round.
func (g *Gossiper) peers() []scheduler.Entry {
	s := g.viewer.Snapshot()
	recent := g.recentlyHeard(s)
	other := map[scheduler.Zone][]scheduler.Entry{}
	var peers []scheduler.Entry
	for _, i := range s.Entries.All() {
		if i.Name == s.Self.ID.Name || recent[i.Name] {
			continue
		}
		e := scheduler.Entry{ID: scheduler.EntryID{Name: i.Name}, Zone: i.Zone, Peer: i.Address}
		if i.Zone == s.Self.Zone {
			peers = append(peers, e)
			continue
		}
		other[i.Zone] = append(other[i.Zone], e)
	}
	for _, z := range s.Policy.Zones {
		if entries := other[z]; len(entries) > 0 {
			peers = append(peers, entries[g.round/Fanout%len(entries)])
		}
	}
	return peers
}

// recentlyHeard returns the names of the entries whose last digest arrived less
// than a Period ago.
func (g *Gossiper) recentlyHeard(s scheduler.State) map[string]bool {
	recent := map[string]bool{}
	for _, m := range s.Members.All() {
		if time.Since(m.Heard) < Period {
			recent[m.Digest.Entry.ID.Name] = true
		}
	}
	return recent
}

// Probe exchanges digests with one entry: compact ones where both sides know
// each other's addresses, else full ones. A refused connection is submitted as
// evidence against the given incarnation of the entry.
func (g *Gossiper) Probe(ctx context.Context, entry scheduler.Entry) {
	s := g.viewer.Snapshot()
	var answer compactDigest
	err := g.call(ctx, entry.Peer, methodDigest, compact(s.Digest()), &answer)
	var unknown *jsonrpc2.Error
	switch {
	case err == nil && g.submitCompact(s, answer):
	case err == nil || errors.As(err, &unknown):
		err = g.hello(ctx, entry, s.Digest())
	}
	if errors.Is(err, syscall.ECONNREFUSED) && entry.ID.Incarnation != 0 {
		g.sink.Submit(scheduler.PeerRefused{Entry: entry.ID})
	}
}

// hello exchanges full digests.
func (g *Gossiper) hello(ctx context.Context, entry scheduler.Entry, own scheduler.Digest) error {
	var answer scheduler.Digest
	if err := g.call(ctx, entry.Peer, methodHello, own, &answer); err != nil {
		return err
	}
	g.sink.Submit(scheduler.DigestReceived{Digest: answer})
	return nil
}

// HandOver transfers a resource to another entry and submits the confirmation.
// A failed call submits nothing.
func (g *Gossiper) HandOver(ctx context.Context, e scheduler.SendHandover) {
	var receiver scheduler.EntryID
	message := handoverMessage{From: e.From, Resource: e.Resource, Claim: e.Claim, Running: e.Running, Broken: e.Broken}
	if err := g.call(ctx, e.To.Peer, methodHandover, message, &receiver); err != nil {
		return
	}
	g.sink.Submit(scheduler.HandoverConfirmed{Resource: e.Resource, To: receiver})
}

// NotifyEnded reports to the owner of a server that a carried request ended. A
// failed call is logged and not retried.
func (g *Gossiper) NotifyEnded(ctx context.Context, e scheduler.ReleaseSlot) {
	message := endedMessage{Server: e.Server, Request: e.Request}
	if err := g.call(ctx, e.To.Peer, methodEnded, message, nil); err != nil {
		g.logger.WithField("peer", e.To.ID.Name).WithError(err).Debug("end of carried request not delivered")
	}
}

// Config fetches the configuration of a peer and submits it as an event. A
// failed call submits nothing.
func (g *Gossiper) Config(ctx context.Context, address string) {
	var c scheduler.Config
	if err := g.call(ctx, address, methodConfig, struct{}{}, &c); err == nil {
		g.sink.Submit(scheduler.ConfigReceived{Config: c})
	}
}

func (g *Gossiper) call(ctx context.Context, address, method string, params, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	g.calls.Add(1)
	conn, err := g.conn(ctx, address)
	if err != nil {
		return err
	}
	err = conn.Call(ctx, method, params, answer)
	var replied *jsonrpc2.Error // the peer answered, so the connection works
	if err != nil && !errors.As(err, &replied) {
		g.dropConn(address, conn)
	}
	return errors.Wrapf(err, "call %s of peer", method)
}

// conn returns the cached connection to an address or dials a new one.
func (g *Gossiper) conn(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	g.mu.Lock()
	known := g.conns[address]
	g.mu.Unlock()
	if known != nil {
		return known, nil
	}
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "dial peer")
	}
	conn := jsonrpc2.NewConn(context.WithoutCancel(ctx), g.newStream(raw), jsonrpc2.HandlerWithError(g.handle))
	g.mu.Lock()
	defer g.mu.Unlock()
	if other := g.conns[address]; other != nil {
		_ = conn.Close()
		return other, nil
	}
	g.conns[address] = conn
	return conn, nil
}

func (g *Gossiper) dropConn(address string, conn *jsonrpc2.Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.conns[address] == conn {
		delete(g.conns, address)
	}
	_ = conn.Close()
}

// Close closes all connections to peers.
func (g *Gossiper) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for address, conn := range g.conns {
		_ = conn.Close()
		delete(g.conns, address)
	}
}

// countingConn counts the bytes read and written.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read reads from the connection and counts the bytes.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}
