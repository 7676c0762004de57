// Package linker connects the entries of a cell to their leader over JSON-RPC.
// Each entry holds one connection to the leader, its link. Over it the leader
// asks for advice and appends to the log through the entry, and the entry asks
// the leader for the state of a job or to write a value for it. A lost
// connection is only a hint that the leader has failed; the log decides who
// leads.
package linker

import (
	"context"
	"encoding/json"
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
	"github.com/endivelock/endivelock/internal/commands/delegator"
	"github.com/endivelock/endivelock/internal/framer"
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
	// redialDelay is the time between two attempts to connect to the leader.
	redialDelay = 200 * time.Millisecond
	// pingInterval is the time between two pings of the other side; pingTimeout
	// bounds each.
	pingInterval = time.Second
	pingTimeout  = 800 * time.Millisecond
	// maxReadAge is the age of the last read of the log beyond which an entry asks
	// the other entries who leads.
	maxReadAge = 1500 * time.Millisecond
	// writeTimeout bounds the writing of a value by the leader for an entry. It
	// covers two appends to a slow log: the one in flight and the value's own.
	writeTimeout = time.Second
	// writeMargin is how much longer the entry waits, so that the answer of a leader whose
	// time has run out still arrives: no answer means that the leader can't be reached.
	writeMargin = 200 * time.Millisecond
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

// Journal adds values to the stream of jobs.
type Journal interface {
	// Add returns when the value is in the log.
	Add(ctx context.Context, v replicator.Value) error
}

// Gate decides whether this entry takes in a job while it leads.
type Gate interface {
	// Admit returns an error if the job is turned away: of kind classifier.BeyondShare or with the cause
	// classifier.ErrCongested.
	Admit(id ledger.ID, c ledger.Claim) error
	// Withdraw takes back an admission after which nothing was written.
	Withdraw(id ledger.ID)
}

// Adviser asks the advice service on behalf of this instance.
type Adviser interface {
	// Advise returns which of the workers may run a step and how long that holds.
	Advise(ctx context.Context, step string, workers []string) ([]leader.Permit, time.Duration, error)
}

// Inspector answers the queries of other entries while this one leads.
type Inspector interface {
	// JobState returns the state of a job, and whether the job exists.
	JobState(ctx context.Context, id ledger.ID) (ledger.State, bool, error)
	// Counts returns how many jobs of each queue have not begun.
	Counts(ctx context.Context) (map[string]int, error)
}

// Deputy calls workers for the leader.
type Deputy interface {
	// Do accepts a batch of commands. The context bounds the work that follows.
	Do(ctx context.Context, c delegator.Commands) error
}

// Delegator takes the events of deputies while this entry leads.
type Delegator interface {
	// Report takes a batch and returns whether the deputy is confirmed.
	Report(entry string, e delegator.Events) (delegator.Confirmation, error)
}

// Linker is both ends of the protocol. Set the exported fields, then call Listen
// and Serve.
type Linker struct {
	Viewer      Viewer
	Sink        Sink
	Journal     Journal
	Adviser     Adviser
	Gate        Gate // nil admits all
	Inspector   Inspector
	Deputy      Deputy
	Delegator   func() (Delegator, bool)        // the delegator of this entry while it leads
	OnLinked    func()                          // called when an entry was linked or is no longer; may be nil
	Log         Appender                        // direct access to the log, without a relay
	OnAnnounced func(values []replicator.Value) // called with values that another entry has added to the stream of jobs
	Logger      logrus.FieldLogger
	Memory      int64 // bytes that requests of other entries may take while they wait

	requests   room       // of Memory
	submitting sync.Mutex // held from reading the linked entries until they are submitted, so that an older set never arrives last

	mu        sync.Mutex
	entries   map[string]peer   // entries linked to this one, by name
	version   int64             // rises with each change of entries
	standbys  []string          // entries that are to be able to take over
	chosenAt  time.Time         // when the standbys were last determined
	leader    *jsonrpc2.Conn    // link to the leader, nil if there is none
	ctx       context.Context   // of Listen, bounds the work for the leader
	lastRelay string            // entry that last relayed an append for this one
	addresses map[string]string // last known addresses of entries, by name
	known     int64             // version of the leader's entries in addresses

	leaderReadsLog bool // whether the log answers the leader, by its last pong
}

// peer is an entry that is linked to this one.
type peer struct {
	rpc      *jsonrpc2.Conn
	address  string
	zone     string
	strength float64
	readsLog bool
}

// Listen serves the connections of other entries until the context ends.
func (l *Linker) Listen(ctx context.Context, on net.Listener) error {
	l.mu.Lock()
	l.ctx = ctx
	l.mu.Unlock()
	return listener.Serve(ctx, on, l.serveConn)
}

// serveConn serves one entry and removes it when its connection is lost.
func (l *Linker) serveConn(ctx context.Context, conn net.Conn) {
	rpc := l.connect(ctx, conn)
	l.keepAlive(ctx, rpc)
	l.mu.Lock()
	name := ""
	for n, p := range l.entries {
		if p.rpc == rpc {
			name = n
			delete(l.entries, n)
			l.version++
		}
	}
	l.mu.Unlock()
	if name != "" {
		l.Logger.WithField("peer", name).Info("entry is no longer linked")
		l.SubmitLinked()
	}
}

// connect starts the protocol on a connection.
func (l *Linker) connect(ctx context.Context, conn net.Conn) *jsonrpc2.Conn {
	stream := jsonrpc2.NewBufferedStream(conn, framer.New(conn))
	return jsonrpc2.NewConn(ctx, stream, newAnswerer(l.handle, &l.requests, l.Memory))
}

// reportLead submits who leads if its epoch is later than the known one. An entry
// that cannot read the log can learn it only from other entries.
func (l *Linker) reportLead(lead keeper.LeaderRecord, from string) {
	if lead.Epoch > l.Viewer.Snapshot().Lead().Epoch {
		l.Sink.Submit(keeper.LeaderLearned{Lead: lead, From: from})
	}
}

// nameOf returns the name of the linked entry with a connection, or "". The caller
// holds the lock.
func (l *Linker) nameOf(rpc *jsonrpc2.Conn) string {
	for name, p := range l.entries {
		if p.rpc == rpc {
			return name
		}
	}
	return ""
}

// strongest returns the strength of the strongest of the linked entries and
// this one. The caller holds the lock.
func (l *Linker) strongest(self keeper.Identity) float64 {
	strongest := self.CPUShare
	for _, p := range l.entries {
		strongest = max(strongest, p.strength)
	}
	return strongest
}

// SubmitLinked submits which entries are linked, since these can ask for advice,
// and how strong the strongest of them is, since a stronger one may lead.
func (l *Linker) SubmitLinked() {
	l.submitting.Lock()
	defer l.submitting.Unlock()
	s := l.Viewer.Snapshot()
	l.mu.Lock()
	strongest := l.strongest(s.Self)
	l.mu.Unlock()
	if s.Role() == keeper.Leading {
		l.Sink.Submit(keeper.PeersSeen{MaxCPUShare: strongest})
	}
	l.Sink.Submit(keeper.LeaderEvent{Epoch: s.Lead().Epoch, Event: leader.CallersChanged{Callers: l.Callers()}})
	if l.OnLinked != nil {
		l.OnLinked()
	}
}

// Callers returns the sorted names of this entry and of those linked to it: the
// entries that can ask for advice.
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
			if s.Role() == keeper.Leading && time.Since(s.LastRead()) > maxReadAge {
				l.findLeader(ctx) // another entry, whose calls the log answers, may lead by now
			}
			timer.Sleep(ctx, redialDelay)
			continue
		}
		if err := l.runLink(ctx, lead); err != nil && ctx.Err() == nil {
			l.Logger.WithFields(logrus.Fields{"peer": lead.Name, "epoch": lead.Epoch}).WithError(err).Info("no link to the leader")
			l.Sink.Submit(keeper.LinkLost{
				Epoch: lead.Epoch, Unreachable: errors.Is(err, syscall.ECONNREFUSED), SteppedDown: errors.Is(err, errNotLeading),
			})
			if errors.Is(err, errConnectionLost) {
				continue // redialing at once shows whether the process still runs
			}
			if time.Since(s.LastRead()) > maxReadAge {
				l.findLeader(ctx)
			}
			timer.Sleep(ctx, redialDelay)
		}
	}
	return ctx.Err()
}

// calls reports whether this entry calls workers as a leader.
func (l *Linker) calls() bool {
	if l.Delegator == nil {
		return false
	}
	_, leads := l.Delegator()
	return leads
}

// String names the linker for the supervisor.
func (l *Linker) String() string { return "link to the leader" }

// runLink connects to the leader and holds the connection until it is lost,
// which is an error, or another entry leads.
func (l *Linker) runLink(ctx context.Context, lead keeper.LeaderRecord) error {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", lead.Address)
	if err != nil {
		return errors.Wrap(err, "dial leader")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	rpc := l.connect(ctx, conn)
	self := l.Viewer.Snapshot().Self
	bounded, done := context.WithTimeout(ctx, dialTimeout)
	var answer helloAnswer
	hello := helloMessage{
		Name: self.Name, Address: self.Address, Epoch: lead.Epoch, Strength: self.CPUShare, Zone: self.Zone, ReadsLog: l.readsLog(), Follows: !l.calls(),
	}
	err = rpc.Call(bounded, methodHello, hello, &answer)
	done()
	if err != nil || !answer.Leading {
		_ = rpc.Close()
		if err == nil {
			return errNotLeading
		}
		return errors.Wrap(err, "send hello to leader")
	}
	l.mu.Lock()
	l.known = 0 // the versions of another leader say nothing
	l.mu.Unlock()
	l.setLeader(rpc)
	defer l.setLeader(nil)
	l.Sink.Submit(keeper.LinkEstablished{Epoch: lead.Epoch})
	l.Sink.Submit(keeper.StandbysLearned{Epoch: lead.Epoch, Standby: answer.Standby})
	l.Logger.WithFields(logrus.Fields{"peer": lead.Name, "epoch": lead.Epoch}).Info("linked to the leader")
	var group errgroup.Group
	group.Go(func() error {
		l.watchLead(ctx, lead, cancel)
		return nil
	})
	l.keepAlive(ctx, rpc)
	replaced := ctx.Err() != nil
	cancel()
	_ = group.Wait()
	if replaced {
		return nil
	}
	return errConnectionLost
}

var (
	errConnectionLost = errors.New("connection to the leader lost")
	errNotLeading     = errors.New("entry at the leader's address does not lead")
)

// watchLead calls end once another entry leads, or the same one with another
// epoch.
func (l *Linker) watchLead(ctx context.Context, lead keeper.LeaderRecord, end func()) {
	for ctx.Err() == nil {
		s := l.Viewer.Snapshot()
		if s.Lead().Epoch != lead.Epoch || s.Lead().Name != lead.Name || s.Role() == keeper.Leading {
			end()
			return
		}
		timer.Sleep(ctx, redialDelay)
	}
}

func (l *Linker) setLeader(rpc *jsonrpc2.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leader, l.leaderReadsLog = rpc, false
}

// LeaderReadsLog reports whether there is a link to a leader that the log answers.
func (l *Linker) LeaderReadsLog() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leaderReadsLog
}

// errNoLeader is the error of a call while there is no link to a leader.
var errNoLeader = &classifier.Error{Kind: classifier.Unsent, Call: "leader", Reason: "no link to the leader"}

// callLeader calls a method of the leader. An error of kind Unanswered means that
// the call may have been carried out.
func (l *Linker) callLeader(ctx context.Context, method string, params, result any) error {
	l.mu.Lock()
	rpc := l.leader
	l.mu.Unlock()
	if rpc == nil {
		return errNoLeader
	}
	if ctx.Err() != nil {
		return &classifier.Error{Kind: classifier.Unsent, Call: method, Cause: ctx.Err()}
	}
	err := rpc.Call(ctx, method, params, result)
	if err == nil {
		return nil
	}
	var refused *jsonrpc2.Error
	if errors.As(err, &refused) {
		switch refused.Code {
		case codeUnknown:
			if isWaiting(refused) {
				return &classifier.Error{Kind: classifier.Unanswered, Call: method, Reason: refused.Message, Cause: classifier.ErrCongested}
			}
		case codeBeyond:
			return &classifier.Error{Kind: classifier.BeyondShare, Call: method, Reason: refused.Message, RetryAfter: retryAfter(refused)}
		case codeCongested:
			return &classifier.Error{Kind: classifier.Busy, Call: method, Reason: refused.Message, Cause: classifier.ErrCongested}
		default:
			return &classifier.Error{Kind: classifier.Refused, Call: method, Reason: refused.Message}
		}
	}
	return &classifier.Error{Kind: classifier.Unanswered, Call: method, Cause: err}
}

// isWaiting reports whether the error of a write says that the log has not answered yet.
func isWaiting(failed *jsonrpc2.Error) bool {
	var f writeFailure
	return failed.Data != nil && json.Unmarshal(*failed.Data, &f) == nil && f.Waiting
}

// JobState asks the leader for the state of a job, as it is in the log, which is
// empty if there is no such job.
func (l *Linker) JobState(ctx context.Context, id ledger.ID) (ledger.State, error) {
	var a stateAnswer
	err := l.callLeader(ctx, methodState, stateMessage{id}, &a)
	return a.State, err
}

// Counts asks the leader how many jobs of each queue have not begun.
func (l *Linker) Counts(ctx context.Context) (map[string]int, error) {
	var a countsAnswer
	err := l.callLeader(ctx, methodCounts, struct{}{}, &a)
	return a.Waiting, err
}

// Consult asks for advice through the entry that c names, which may be this one.
// It returns the permits and how long they are valid.
func (l *Linker) Consult(ctx context.Context, c leader.RequestAdvice) ([]leader.Permit, time.Duration, error) {
	if c.Caller == l.Viewer.Snapshot().Self.Name {
		return l.Adviser.Advise(ctx, c.Step, c.Workers)
	}
	l.mu.Lock()
	p, ok := l.entries[c.Caller]
	l.mu.Unlock()
	if !ok {
		return nil, 0, errors.Newf("entry %q is not linked", c.Caller)
	}
	var a adviseAnswer
	err := p.rpc.Call(ctx, methodAdvise, adviseMessage{c.Step, c.Workers}, &a)
	return a.Permits, a.Valid, errors.Wrapf(err, "ask for advice through entry %q", c.Caller)
}
