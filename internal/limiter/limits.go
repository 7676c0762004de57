// Package limiter owns what clients may use up at the listeners of an entry: connections,
// bytes of requests that are not decided yet, and time without progress. When a budget is
// used up, the connection that has used the most of the time allowed to it goes first,
// so that a crowd that stalls doesn't shut ordinary clients out.
package limiter

import (
	"time"
)

// The defaults hold until a configuration sets other limits.
const (
	// DefaultHeadBytes is the default size of a head.
	DefaultHeadBytes = 64 << 10
	// DefaultHeadTimeout is the default time to send a head.
	DefaultHeadTimeout = 10 * time.Second
	// DefaultIdleTimeout is the default time that a connection may be open without a request.
	DefaultIdleTimeout = 2 * time.Minute
)

const (
	// slack is added to the times of heads and pauses: a client counts them from when it got a response, a
	// delay of the network later, and its bytes may wait for a busy processor.
	slack = 2 * time.Second
	// secondLook is the time of a read after a limit. On a machine that was frozen or is busy, a limit may pass
	// while the bytes wait in the socket.
	secondLook = 500 * time.Millisecond
	// headSlop is what a read may take beyond the end of a head: the size of the buffer
	// of net/http.
	headSlop = 4 << 10
	// fieldBytes is the memory that a line of a head takes beside its bytes.
	fieldBytes = 160
	// smallBytes is the part of each request that counts as part of its connection. Requests
	// up to this size are never closed for the budget of bytes.
	smallBytes = 8 << 10
	// ConnectionBytes is the memory of a connection, smallBytes included.
	ConnectionBytes = 32 << 10
	// bodyGrace and leastRate bound the time for a body: bodyGrace, and its size divided by
	// leastRate, in bytes a second. A client waits 3 s for its answer.
	bodyGrace = 10 * time.Second
	leastRate = 8 << 10
	// fairBodyTime and fairRate are the time that a body usually takes at most, by which those
	// that take longer are told from others when a budget is used up.
	fairBodyTime = 3 * time.Second
	fairRate     = 256 << 10
	// writeTimeout bounds a write of up to writePiece bytes to a client that doesn't read, partingTimeout
	// one to a client that is closed.
	writeTimeout   = 10 * time.Second
	writePiece     = 64 << 10
	partingTimeout = time.Second
	// unreadAfter is how long an answer is written before its connection can be closed for another: ordinary clients
	// take less to read.
	unreadAfter = 3 * time.Second
	// partingTime and partingBytes bound what is read of a client after a refusal, so that
	// the refusal isn't lost in a reset.
	partingTime  = 500 * time.Millisecond
	partingBytes = 1 << 20
)

// Limits are the limits of requests at a listener. The zero value has the defaults.
type Limits struct {
	headBytes   int64
	headTimeout time.Duration
	idleTimeout time.Duration
}

// WithHead returns limits with the size of a head in bytes and the time to send it. Values that
// aren't positive stand for the defaults.
func (l Limits) WithHead(size int64, timeout time.Duration) Limits {
	l.headBytes, l.headTimeout = max(size, 0), max(timeout, 0)
	return l
}

// WithIdle returns limits with the time that a connection may be open without a request.
func (l Limits) WithIdle(timeout time.Duration) Limits {
	l.idleTimeout = max(timeout, 0)
	return l
}

// HeadBytes returns the largest size of a head.
func (l Limits) HeadBytes() int64 {
	if l.headBytes == 0 {
		return DefaultHeadBytes
	}
	return l.headBytes
}

// HeadTimeout returns the time to send a head.
func (l Limits) HeadTimeout() time.Duration {
	if l.headTimeout == 0 {
		return DefaultHeadTimeout
	}
	return l.headTimeout
}

// IdleTimeout returns the time that a connection may be open without a request.
func (l Limits) IdleTimeout() time.Duration {
	if l.idleTimeout == 0 {
		return DefaultIdleTimeout
	}
	return l.idleTimeout
}

// phase is what a connection is doing.
type phase int

const (
	inHead    phase = iota // a head is arriving, or the first one is due
	inBody                 // a body is arriving; nothing of the request can have run
	deciding               // the request is complete
	answering              // the answer to a complete request is being written
	idle                   // between two requests
	linked                 // a stream of messages of another entry, since the last one began or ended
)

// account is what a connection uses. It is immutable.
type account struct {
	phase    phase
	since    time.Time // start of the phase
	received int64     // bytes that arrived in the phase
	held     int64     // bytes of memory for the request that isn't decided
	patience time.Time // end of the client's own wait for the body, zero if it isn't known
	leaving  bool      // was told to close
}

func (a account) withPhase(p phase, now time.Time) account {
	a.phase, a.since, a.received, a.patience = p, now, 0, time.Time{}
	if p == idle {
		a.held = 0
	}
	return a
}

func (a account) withReceived(n int64) account {
	a.received += n
	return a
}

func (a account) withHeld(n int64) account {
	a.held = n
	return a
}

func (a account) withPatience(t time.Time) account {
	a.patience = t
	return a
}

func (a account) withLeaving() account {
	a.leaving = true
	return a
}

// large returns the bytes that count against the budget.
func (a account) large() int64 { return max(a.held-smallBytes, 0) }

// closable reports whether the connection can be closed without doubt about a request: none is
// running, or its answer is not read.
func (a account) closable(now time.Time) bool {
	switch a.phase {
	case deciding:
		return false
	case answering:
		return !a.leaving && now.Sub(a.since) >= unreadAfter
	}
	return !a.leaving
}

// spent returns the share of its time that the connection has used in its phase.
func (a account) spent(l Limits, now time.Time) float64 {
	allowed := l.IdleTimeout()
	switch a.phase {
	case inHead:
		allowed = l.HeadTimeout()
	case inBody:
		allowed = fairBodyTime + timeFor(a.received, fairRate)
	case answering:
		allowed = unreadAfter
	case linked:
		allowed = fairBodyTime + timeFor(a.held, fairRate)
	}
	return float64(now.Sub(a.since)) / float64(allowed)
}

// bodyDeadline returns when the body has made too little progress, or its client waits no more.
func (a account) bodyDeadline() time.Time {
	deadline := a.since.Add(bodyGrace + timeFor(a.received, leastRate))
	if !a.patience.IsZero() && a.patience.Before(deadline) {
		return a.patience
	}
	return deadline
}

func timeFor(bytes, rate int64) time.Duration {
	return time.Duration(float64(bytes) / float64(rate) * float64(time.Second))
}

// Budgets are the budgets of an entry. They follow from its memory and its descriptors.
type Budgets struct {
	Bytes       int64 // of requests that are not decided
	Connections int   // of clients
}

const (
	// minBudgetBytes is the least budget of bytes, minConnections that of connections.
	minBudgetBytes = 2 << 20
	minConnections = 64
	// fileDescriptors are reserved for files by the platform.
	fileDescriptors = 200
)

// NewBudgets returns the budgets of an entry with a memory in bytes and a number of descriptors, 0 if
// that is not limited: an eighth of the memory for bytes and a quarter for connections, and half
// of the descriptors that aren't reserved. The others are for links, workers and the log.
func NewBudgets(memory int64, descriptors int) Budgets {
	connections := memory / 4 / ConnectionBytes
	if descriptors > 0 {
		connections = min(connections, int64(descriptors-fileDescriptors)/2)
	}
	return Budgets{Bytes: max(memory/8, minBudgetBytes), Connections: int(max(connections, minConnections))}
}
