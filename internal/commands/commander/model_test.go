package commander_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/endivelock/endivelock/internal/classifier"
	"github.com/endivelock/endivelock/internal/commands/commander"
	"github.com/endivelock/endivelock/internal/leader"
)

const (
	callTimeout = 600 * time.Millisecond
	workTime    = 50 * time.Millisecond
	// latestArrival bounds the time from the end of a cut to the arrival of a call that was
	// sent before.
	latestArrival = 3 * time.Second
	lease         = 6 * time.Second
	longestHold   = 10 * time.Second // longest lease that the worker grants
	longUptime    = time.Hour        // of the first incarnation
)

// fate is what becomes of a call.
type fate struct {
	executed bool          // it is executed when it is sent
	answered bool          // and answered
	again    time.Duration // 0, or how long after it was sent it is executed, for the first time or again
}

// incarnation is one life of the model worker.
type incarnation struct {
	number  int64
	began   time.Time
	fence   int64
	lease   int64 // deadline on its clock
	lastEnd int64
	ends    []leader.RunEnd
	running map[int]bool
	gone    chan struct{}
	changed chan struct{}

	accepted bool           // a report of it has reached the leader
	first    int64          // its clock in that report
	told     int64          // latest lease deadline that the leader was told
	read     map[int64]bool // ends that the leader was told
	direct   map[int]bool   // runs that were started by a call to this incarnation
	stopped  map[int]bool   // runs that were stopped
}

func (i *incarnation) clock() int64 { return time.Since(i.began).Milliseconds() }

// model is the worker of the platform's page: it restarts under its id, and calls to it
// are lost, delayed and doubled. It takes note of what an incarnation must not receive.
type model struct {
	mu         sync.Mutex
	current    *incarnation // nil while it is down
	lives      []*incarnation
	fates      []fate            // of the next calls; further ones are executed and answered
	cutEnd     time.Time         // until then no call arrives and no answer leaves
	givenUp    map[int]bool      // runs that the leader has given up; nil if it gives none up
	refused    map[int]time.Time // when the leader no longer wanted runs, so that no start of them may be sent later
	startsLost bool              // all starts are lost
	expires    map[int]time.Time // when the tickets of starts run out
	broken     []string
}

// cut reports whether the worker is cut off. The caller holds the lock.
func (m *model) cut() bool { return time.Now().Before(m.cutEnd) }

// cutOff cuts the worker off for a time.
func (m *model) cutOff(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cutEnd = time.Now().Add(d)
}

func (m *model) begin(uptime time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.current = &incarnation{
		number: int64(len(m.lives) + 1), began: time.Now().Add(-uptime), running: map[int]bool{}, gone: make(chan struct{}), changed: make(chan struct{}, 1),
		read: map[int64]bool{}, direct: map[int]bool{},
	}
	m.lives = append(m.lives, m.current)
}

func (m *model) crash() {
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.current.gone)
	m.current = nil
}

func (m *model) nextFate() fate {
	if len(m.fates) == 0 {
		return fate{executed: true, answered: true}
	}
	f := m.fates[0]
	m.fates = m.fates[1:]
	return f
}

func (m *model) violate(format string, args ...any) {
	m.broken = append(m.broken, fmt.Sprintf(format, args...))
}

// transport is a connection to the model worker.
type transport struct {
	model  *model
	mu     sync.Mutex
	to     *incarnation // that accepted it, nil before the first call
	broken bool
}

// Connect returns a connection.
func (m *model) Connect(string) commander.Connection { return &transport{model: m} }

// Close breaks the connection off.
func (c *transport) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = true
}

// open returns the incarnation that the connection leads to.
func (c *transport) open() (*incarnation, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.model.mu.Lock()
	defer c.model.mu.Unlock()
	if c.to == nil {
		c.to = c.model.current
	}
	if c.broken || c.to == nil {
		return nil, &classifier.Error{Kind: classifier.Unsent}
	}
	return c.to, nil
}

// unanswered breaks the connection off once the caller has waited for an answer.
func (c *transport) unanswered(ctx context.Context, to *incarnation) error {
	select {
	case <-ctx.Done():
	case <-time.After(callTimeout):
	case <-to.gone:
	}
	c.Close()
	return &classifier.Error{Kind: classifier.Unanswered}
}

// call sends a call that an incarnation executes as apply, and returns whether it was
// answered, in its fate.
func (c *transport) call(ctx context.Context, apply func(at, sentTo *incarnation) error) (*incarnation, error) {
	to, err := c.open()
	if err != nil {
		return nil, err
	}
	m := c.model
	m.mu.Lock()
	f := m.nextFate()
	if m.cut() {
		f.executed, f.answered = false, false
		if f.again > 0 {
			f.again = time.Until(m.cutEnd) + f.again%latestArrival
		}
	}
	if m.current == to && f.executed {
		err = apply(to, to)
	}
	lost := m.current != to || !f.answered
	m.mu.Unlock()
	if f.again > 0 {
		time.AfterFunc(f.again, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			if m.current != nil {
				_ = apply(m.current, to)
			}
		})
	}
	if lost {
		return nil, c.unanswered(ctx, to)
	}
	return to, err
}

// Poll polls the incarnation that the connection leads to.
func (c *transport) Poll(ctx context.Context, to commander.Target, wait time.Duration) (leader.Report, error) {
	at, err := c.call(ctx, func(at, sentTo *incarnation) error { return c.model.hold(at, sentTo, to) })
	if err != nil {
		return leader.Report{}, err
	}
	c.model.mu.Lock()
	pending := len(at.ends)
	c.model.mu.Unlock()
	if pending == 0 && wait > 0 {
		select {
		case <-ctx.Done():
		case <-at.changed:
		case <-time.After(wait):
		case <-at.gone:
			return leader.Report{}, c.unanswered(ctx, at)
		}
	}
	c.model.mu.Lock()
	cut := c.model.cut()
	c.model.mu.Unlock()
	if cut {
		return leader.Report{}, c.unanswered(ctx, at)
	}
	c.model.mu.Lock()
	defer c.model.mu.Unlock()
	r := leader.Report{Incarnation: at.number, Clock: at.clock(), Ended: at.ends}
	for run := range at.running {
		r.Running = append(r.Running, leader.RunStatus{Number: run})
	}
	return r, nil
}

// admit checks the fence of a call, and that a call with values or an order is not executed
// by an incarnation that has been accepted after it was sent. The caller holds the lock.
func (m *model) admit(at, sentTo *incarnation, to commander.Target, what string) error {
	fence := to.Fence
	if fence < at.fence {
		return &classifier.Error{Kind: classifier.Fenced}
	}
	at.fence = fence
	if at != sentTo && at.accepted && to.Values != (commander.Values{}) {
		m.violate("incarnation %d executes a %s that was sent to %d", at.number, what, sentTo.number)
	}
	return nil
}

// hold executes a poll. The caller holds the lock.
func (m *model) hold(at, sentTo *incarnation, to commander.Target) error {
	if err := m.admit(at, sentTo, to, "poll"); err != nil {
		return err
	}
	v := to.Values
	if at == sentTo && v != (commander.Values{}) && v.Incarnation() != at.number {
		m.violate("incarnation %d receives the values of %d", at.number, v.Incarnation())
	}
	at.lease = max(at.lease, min(v.Deadline(), at.clock()+longestHold.Milliseconds()))
	for len(at.ends) > 0 && at.ends[0].Number <= v.Acked() {
		// The end of a run that was started late may be erased late, too.
		if e := at.ends[0]; at.direct[e.Run] && !at.read[e.Number] {
			m.violate("incarnation %d forgets the end of run %d unread", at.number, e.Run)
		}
		at.ends = at.ends[1:]
	}
	return nil
}

// Order sends a start or a stop.
func (c *transport) Order(ctx context.Context, to commander.Target, o leader.Order) error {
	m := c.model
	if o.Kind == leader.OrderStop {
		_, err := c.call(ctx, func(at, _ *incarnation) error { return m.stop(at, to, o.Run) })
		return err
	}
	m.mu.Lock()
	lost := m.startsLost
	refused, unwanted := m.refused[o.Run]
	expires, limited := m.expires[o.Run]
	if now := time.Now(); unwanted && now.After(refused) || limited && now.After(expires) {
		m.violate("a start of run %d is sent that nobody wants any more", o.Run)
	}
	m.mu.Unlock()
	if lost {
		to, err := c.open()
		if err != nil {
			return err
		}
		return c.unanswered(ctx, to)
	}
	_, err := c.call(ctx, func(at, sentTo *incarnation) error {
		if err := m.admit(at, sentTo, to, "start"); err != nil {
			return err
		}
		if at == sentTo && (o.Incarnation != at.number || to.Values.Incarnation() != at.number) {
			m.violate("incarnation %d receives an order for %d with the values of %d", at.number, o.Incarnation, to.Values.Incarnation())
		}
		at.lease = max(at.lease, min(to.Values.Deadline(), at.clock()+longestHold.Milliseconds()))
		if m.givenUp != nil && at.lease <= at.clock() {
			return nil // without a lease the run is killed at once
		}
		if m.givenUp[o.Run] {
			m.violate("run %d starts after it was given up", o.Run)
		}
		if at.stopped[o.Run] {
			return &classifier.Error{Kind: classifier.StaleRun}
		}
		at.direct[o.Run] = at.direct[o.Run] || at == sentTo
		at.running[o.Run] = true
		if m.refused == nil {
			time.AfterFunc(workTime, func() { m.finish(at, o.Run) })
		}
		return nil
	})
	return err
}

// loseStarts has all starts lost from now on.
func (m *model) loseStarts() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.startsLost = true
}

// stop ends a run, and keeps it from being started later. The caller holds the lock.
func (m *model) stop(at *incarnation, to commander.Target, run int) error {
	if to.Fence < at.fence {
		return &classifier.Error{Kind: classifier.Fenced}
	}
	at.fence = to.Fence
	if at.stopped == nil {
		at.stopped = map[int]bool{}
	}
	at.stopped[run] = true
	delete(at.running, run)
	return nil
}

// finish ends a run.
func (m *model) finish(at *incarnation, run int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !at.running[run] {
		return
	}
	delete(at.running, run)
	at.lastEnd++
	at.ends = append(at.ends[:len(at.ends):len(at.ends)], leader.RunEnd{Number: at.lastEnd, Run: run, Kind: leader.EndDone})
	select {
	case at.changed <- struct{}{}:
	default:
	}
}

// setFates sets what becomes of the next calls.
func (m *model) setFates(fates []fate) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fates = fates
}

// checkLeases checks that the leader knows how long the leases of the last incarnation are.
func (m *model) checkLeases() {
	m.mu.Lock()
	defer m.mu.Unlock()
	last := m.lives[len(m.lives)-1]
	if known := max(last.told, last.first+longestHold.Milliseconds()); last.lease > known {
		m.violate("leases of incarnation %d last until %d, the leader knows of %d", last.number, last.lease, known)
	}
}

// follower is a leader that acknowledges ends and has leases renewed at once.
type follower struct {
	model     *model
	commander *commander.Commander
	mu        sync.Mutex
	known     int64 // the incarnation that was reported last
	ordered   int
	done      int // executed orders
	silent    bool
	silence   int64        // the last one that was told
	open      map[int]bool // orders that were not answered
	notSent   int
	stopping  map[int]bool // runs whose stop was not carried out yet
}

// giveUp gives up the runs at a silent worker whose leases have expired, as a leader does. The
// caller holds both locks.
func (f *follower) giveUp(at *incarnation) {
	if f.model.givenUp == nil || !f.silent || at.clock() <= max(at.told, at.first+lease.Milliseconds()) {
		return
	}
	for run := range f.open {
		f.model.givenUp[run] = true
	}
}

// order sends a start to the incarnation that was heard last, if any.
func (f *follower) order() { f.orderAfter(0) }

// orderAfter is like order, with a time from the decision until the commander is told.
func (f *follower) orderAfter(way time.Duration) {
	f.mu.Lock()
	if f.model.givenUp != nil && f.silent {
		f.mu.Unlock()
		return // a leader has nothing started at a silent worker
	}
	known, silence := f.known, f.silence
	f.ordered++
	run := f.ordered
	if f.open == nil {
		f.open = map[int]bool{}
	}
	f.open[run] = true
	f.mu.Unlock()
	if known == 0 {
		return
	}
	o := leader.Order{Worker: "w", Incarnation: known, Silence: silence, Kind: leader.OrderStart, Run: run}
	if way == 0 {
		f.commander.Order(o)
		return
	}
	time.AfterFunc(way, func() { f.commander.Order(o) })
}

func (f *follower) heard() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.known
}

func (f *follower) executed() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.done
}

// Submit follows up on an event.
func (f *follower) Submit(_ int64, e leader.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.model.mu.Lock()
	defer f.model.mu.Unlock()
	switch e := e.(type) {
	case leader.Reported:
		at := f.model.lives[e.Report.Incarnation-1]
		if !at.accepted {
			at.accepted, at.first = true, e.Report.Clock
		}
		f.giveUp(at)
		f.silent = false
		f.known = max(f.known, at.number)
		at.told = max(at.told, e.Deadline)
		if e.Deadline > at.clock()+lease.Milliseconds() {
			f.model.violate("leases of incarnation %d can't last until %d, as the leader is told at %d", at.number, e.Deadline, at.clock())
		}
		for _, end := range e.Report.Ended {
			at.read[end.Number] = true
			f.commander.Acknowledge(leader.Acknowledge{Worker: "w", Incarnation: at.number, Number: end.Number})
		}
		f.silence = max(f.silence, e.Silence)
		if e.Silence != 0 {
			f.commander.Renew(leader.Renew{Worker: "w", Silence: e.Silence})
		}
	case leader.PollFailed:
		if e.Incarnation != 0 {
			at := f.model.lives[e.Incarnation-1]
			at.told = max(at.told, e.Deadline)
			f.silent, f.silence = true, max(f.silence, e.Silence)
			f.giveUp(at)
		}
	case leader.OrderAnswered:
		if e.Kind == leader.OrderStop {
			if e.Outcome == leader.Executed {
				delete(f.stopping, e.Run)
			}
			return
		}
		if f.stopping[e.Run] && e.Outcome == leader.NotSent {
			delete(f.stopping, e.Run) // the run is over
		}
		if e.Outcome != leader.OutcomeUnknown {
			delete(f.open, e.Run)
		}
		if e.Outcome == leader.NotSent {
			f.notSent++
		}
		if e.Outcome == leader.Executed {
			f.done++
		}
	}
}
