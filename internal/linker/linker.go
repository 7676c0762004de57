// Package linker connects the entries of a cell to their leader over jsonrpc2.
// Each entry holds one connection to the leader. Over it the leader asks for
// advice through the entry, and the entry asks the leader for the state of a
// job or to write for it. A broken connection is a hint that the leader died;
// the log decides.
package linker

import (
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/jsonrpc2"
	"golang.org/x/sync/errgroup"

	"github.com/endivelock/endivelock/internal/classifier"
	"github.com/endivelock/endivelock/internal/keeper"
	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
	"github.com/endivelock/endivelock/internal/listener"
	"github.com/endivelock/endivelock/internal/replicator"
	"github.com/endivelock/endivelock/internal/timer"
)

const (
	// dialTimeout bounds the opening of a connection to the leader.
	dialTimeout = 500 * time.Millisecond
	// redialPause is the time between two attempts.
	redialPause = 200 * time.Millisecond
	// pingPeriod is the time between two questions whether the other side is
	// there; pingTimeout is how long the answer may take.
	pingPeriod  = time.Second
	pingTimeout = 800 * time.Millisecond
	// readAge is how long ago the log was last read when an entry asks others who
	// leads.
	readAge = 1500 * time.Millisecond
	// writeTimeout bounds a value that the leader writes for an entry. A slow log
	// takes two appends, the one under way and the value's own.
	writeTimeout = time.Second
)

// Methods of the protocol.
const (
	methodHello  = "hello"
	methodPing   = "ping"
	methodState  = "state"
	methodWrite  = "write"
	methodAdvise = "advise"
	methodResign = "resign"
	methodLead   = "lead"
	methodAppend = "append"
	methodTell   = "tell"
)

type helloMessage struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Epoch   int64  `json:"epoch"` // with which the other side is thought to lead
	// Strength is the sender's share of a processor.
	Strength float64 `json:"strength"`
}

// pongMessage lists the entries that are linked to the one that answers.
type pongMessage struct {
	Peers     map[string]string `json:"peers,omitempty"` // addresses by name
	Strongest float64           `json:"strongest,omitempty"`
	Lead      keeper.Lead       `json:"lead"` // who leads, as the answering entry knows it
}

type helloAnswer struct {
	Leading bool `json:"leading"` // with this epoch or a later one
}

type stateMessage struct {
	Job ledger.ID `json:"job"`
}

type stateAnswer struct {
	State ledger.State `json:"state,omitempty"`
	Epoch int64        `json:"epoch"`
}

type writeMessage struct {
	Name string `json:"name"`
	Data []byte `json:"data"`
}

type adviseMessage struct {
	Step    string   `json:"step"`
	Workers []string `json:"workers"`
}

type adviseAnswer struct {
	Permits []leader.Permit `json:"permits"`
	Valid   time.Duration   `json:"valid"`
}

// Codes of errors between entries.
const (
	codeNotLeading = 1 // the entry does not lead
	codeUndone     = 2 // the call is known to have done nothing
	codeUnknown    = 3 // the call may have been carried out
)

// Viewer returns the published state.
type Viewer interface {
	// Snapshot returns the last published state.
	Snapshot() keeper.State
}

// Sink takes events.
type Sink interface {
	// Submit takes an event; it may block for a short while.
	Submit(e keeper.Event)
}

// Journal adds a value to the stream of jobs.
type Journal interface {
	// Add returns when the value is in the log.
	Add(ctx context.Context, v replicator.Value) error
}

// Adviser asks for advice from this instance.
type Adviser interface {
	// Advise returns which of the workers may run a step and how long that holds.
	Advise(ctx context.Context, step string, workers []string) ([]leader.Permit, time.Duration, error)
}

// Linker is both ends of the protocol. Fill in the fields, then call Listen and
// Serve.
type Linker struct {
	Viewer  Viewer
	Sink    Sink
	Journal Journal
	Adviser Adviser
	Log     Appender                        // the own way to the log
	Told    func(values []replicator.Value) // gets what another entry added to the stream of jobs
	Logger  logrus.FieldLogger

	mu      sync.Mutex
	entries map[string]peer   // linked to this entry, by name
	leader  *jsonrpc2.Conn    // of this entry to the leader
	carrier string            // entry that last appended for this one
	known   map[string]string // addresses of entries, as the last leader told them
}

// peer is an entry that is linked to this one.
type peer struct {
	rpc      *jsonrpc2.Conn
	address  string
	strength float64
}

// Listen answers other entries until the context ends.
func (l *Linker) Listen(ctx context.Context, on net.Listener) error {
	return listener.Serve(ctx, on, l.answer)
}

// answer serves one entry and forgets it when its connection breaks.
func (l *Linker) answer(ctx context.Context, conn net.Conn) {
	rpc := l.connect(ctx, conn)
	l.keep(ctx, rpc)
	l.mu.Lock()
	name := ""
	for n, p := range l.entries {
		if p.rpc == rpc {
			name = n
			delete(l.entries, n)
		}
	}
	l.mu.Unlock()
	if name != "" {
		l.Logger.WithField("peer", name).Info("entry is no longer linked")
		l.tell()
	}
}

// connect speaks the protocol on a connection. Requests run on their own.
func (l *Linker) connect(ctx context.Context, conn net.Conn) *jsonrpc2.Conn {
	stream := jsonrpc2.NewBufferedStream(conn, jsonrpc2.VarintObjectCodec{})
	return jsonrpc2.NewConn(ctx, stream, jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(l.handle)))
}

// keep asks the other side whether it is there until it is not, or the context
// ends. A connection may go silent without an error.
func (l *Linker) keep(ctx context.Context, rpc *jsonrpc2.Conn) {
	defer func() { _ = rpc.Close() }()
	for {
		pause := time.NewTimer(pingPeriod)
		select {
		case <-ctx.Done():
			pause.Stop()
			return
		case <-rpc.DisconnectNotify():
			pause.Stop()
			return
		case <-pause.C:
		}
		bounded, cancel := context.WithTimeout(ctx, pingTimeout)
		var pong pongMessage
		err := rpc.Call(bounded, methodPing, struct{}{}, &pong)
		cancel()
		if err != nil {
			return
		}
		l.learn(pong)
	}
}

// learn keeps the addresses of other entries.
func (l *Linker) learn(pong pongMessage) {
	l.hear(pong.Lead, "answer to a ping")
	if len(pong.Peers) == 0 {
		return
	}
	l.Sink.Submit(keeper.PeersSeen{Strongest: pong.Strongest})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.known = pong.Peers
}

// hear takes up who leads if it is news. An entry that cannot read the log has
// no other way to learn it.
func (l *Linker) hear(lead keeper.Lead, from string) {
	if lead.Epoch > l.Viewer.Snapshot().Lead().Epoch {
		l.Sink.Submit(keeper.LeadHeard{Lead: lead, From: from})
	}
}

// hearPing tells a linked entry the addresses of the others, so that they find
// a new leader without the log.
func (l *Linker) hearPing() pongMessage {
	s := l.Viewer.Snapshot()
	if s.Role() != keeper.Leading {
		return pongMessage{Lead: s.Lead()}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	pong := pongMessage{Peers: map[string]string{}, Strongest: l.strongest(s.Self), Lead: s.Lead()}
	for name, p := range l.entries {
		pong.Peers[name] = p.address
	}
	return pong
}

// strongest returns the strength of the strongest of the linked entries and
// this one. The caller holds the lock.
func (l *Linker) strongest(self keeper.Identity) float64 {
	most := self.Strength
	for _, p := range l.entries {
		most = max(most, p.strength)
	}
	return most
}

// tell submits which entries are linked: they can ask for advice, or lead.
func (l *Linker) tell() {
	s := l.Viewer.Snapshot()
	l.mu.Lock()
	strongest := l.strongest(s.Self)
	l.mu.Unlock()
	if s.Role() == keeper.Leading {
		l.Sink.Submit(keeper.PeersSeen{Strongest: strongest})
	}
	l.Sink.Submit(keeper.Led{Epoch: s.Lead().Epoch, Event: leader.CallersChanged{Callers: l.Callers()}})
}

// Callers returns the entries that are linked to this one, and this one.
func (l *Linker) Callers() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	callers := []string{l.Viewer.Snapshot().Self.Name}
	for name := range l.entries {
		callers = append(callers, name)
	}
	slices.Sort(callers)
	return callers
}

// Serve keeps a connection to the leader until the context ends.
func (l *Linker) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		s := l.Viewer.Snapshot()
		lead := s.Lead()
		if s.Role() == keeper.Leading || lead.Address == "" || lead.Name == s.Self.Name {
			if s.Role() == keeper.Leading && time.Since(s.LastRead()) > readAge {
				l.seek(ctx) // another entry may lead that the log does not turn away
			}
			timer.Sleep(ctx, redialPause)
			continue
		}
		if err := l.link(ctx, lead); err != nil && ctx.Err() == nil {
			l.Logger.WithFields(logrus.Fields{"peer": lead.Name, "epoch": lead.Epoch}).WithError(err).Info("no link to the leader")
			l.Sink.Submit(keeper.LinkLost{
				Epoch: lead.Epoch, Gone: errors.Is(err, syscall.ECONNREFUSED), Over: errors.Is(err, errNotLeading),
			})
			if errors.Is(err, errBroken) {
				continue // the next attempt shows whether the process is there
			}
			if time.Since(s.LastRead()) > readAge {
				l.seek(ctx)
			}
			timer.Sleep(ctx, redialPause)
		}
	}
	return ctx.Err()
}

// String names the linker for the supervisor.
func (l *Linker) String() string { return "link to the leader" }

// link keeps one connection until it breaks or another entry leads.
func (l *Linker) link(ctx context.Context, lead keeper.Lead) error {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", lead.Address)
	if err != nil {
		return errors.Wrap(err, "dial leader")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	rpc := l.connect(ctx, conn)
	self := l.Viewer.Snapshot().Self
	hello, done := context.WithTimeout(ctx, dialTimeout)
	var greeting helloAnswer
	err = rpc.Call(hello, methodHello, helloMessage{self.Name, self.Address, lead.Epoch, self.Strength}, &greeting)
	done()
	if err != nil || !greeting.Leading {
		_ = rpc.Close()
		if err == nil {
			return errNotLeading
		}
		return errors.Wrap(err, "greet leader")
	}
	l.Sink.Submit(keeper.LinkMade{Epoch: lead.Epoch})
	l.Logger.WithFields(logrus.Fields{"peer": lead.Name, "epoch": lead.Epoch}).Info("linked to the leader")
	l.setLeader(rpc)
	defer l.setLeader(nil)
	var group errgroup.Group
	group.Go(func() error {
		l.follow(ctx, lead, cancel)
		return nil
	})
	l.keep(ctx, rpc)
	replaced := ctx.Err() != nil
	cancel()
	_ = group.Wait()
	if replaced {
		return nil
	}
	return errBroken
}

var (
	errBroken     = errors.New("the connection broke")
	errNotLeading = errors.New("the entry at the leader's address does not lead")
)

// follow ends a link once another entry leads.
func (l *Linker) follow(ctx context.Context, lead keeper.Lead, end func()) {
	for ctx.Err() == nil {
		s := l.Viewer.Snapshot()
		if s.Lead().Epoch != lead.Epoch || s.Lead().Name != lead.Name || s.Role() == keeper.Leading {
			end()
			return
		}
		timer.Sleep(ctx, redialPause)
	}
}

func (l *Linker) setLeader(rpc *jsonrpc2.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leader = rpc
}

// errNoLeader tells that there is no link to a leader.
var errNoLeader = &classifier.Error{Kind: classifier.Unsent, Call: "leader", Reason: "no link to the leader"}

// call asks the leader.
func (l *Linker) call(ctx context.Context, method string, params, result any) error {
	l.mu.Lock()
	rpc := l.leader
	l.mu.Unlock()
	if rpc == nil {
		return errNoLeader
	}
	err := rpc.Call(ctx, method, params, result)
	var refused *jsonrpc2.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &refused) && refused.Code != codeUnknown:
		return &classifier.Error{Kind: classifier.Refused, Call: method, Reason: refused.Message}
	}
	return &classifier.Error{Kind: classifier.Unanswered, Call: method, Cause: err}
}

// JobState returns the state of a job as the leader has it in the log.
func (l *Linker) JobState(ctx context.Context, id ledger.ID) (ledger.State, error) {
	var a stateAnswer
	err := l.call(ctx, methodState, stateMessage{id}, &a)
	return a.State, err
}

// Add has the leader add a value to the stream of jobs.
func (l *Linker) Add(ctx context.Context, v replicator.Value) error {
	bounded, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return l.call(bounded, methodWrite, writeMessage{v.Name, v.Data}, nil)
}

// Consult has an entry ask for advice, this one included.
func (l *Linker) Consult(ctx context.Context, c leader.Consult) ([]leader.Permit, time.Duration, error) {
	if c.Caller == l.Viewer.Snapshot().Self.Name {
		return l.Adviser.Advise(ctx, c.Step, c.Workers)
	}
	l.mu.Lock()
	p, ok := l.entries[c.Caller]
	l.mu.Unlock()
	if !ok {
		return nil, 0, errors.Newf("entry %s is not linked", c.Caller)
	}
	var a adviseAnswer
	err := p.rpc.Call(ctx, methodAdvise, adviseMessage{c.Step, c.Workers}, &a)
	return a.Permits, a.Valid, errors.Wrapf(err, "ask entry %s", c.Caller)
}
