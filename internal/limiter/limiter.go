package limiter

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Reasons for which connections are closed or requests refused.
const (
	ReasonConnections = "connections" // the budget of connections was used up
	ReasonBytes       = "bytes"       // the budget of bytes was used up
	ReasonHead        = "head"        // the head was over the limit
	ReasonSlow        = "slow"        // the body made too little progress
)

var (
	// ErrCrowded is the error of reading a body that there is no memory for.
	ErrCrowded = errors.New("no memory is left for the request")
	// ErrSlow is the error of reading a body that makes too little progress.
	ErrSlow = errors.New("the body makes too little progress")
)

// Limiter owns the budgets. Create it with New.
type Limiter struct {
	bytes  int64
	refuse func(reason string) // counts a refusal; must not call the Limiter

	mu       sync.Mutex
	conns    map[*conn]struct{}
	requests pool
	messages pool // of other entries, so that clients don't end their links
}

// pool counts what is held against a budget of bytes.
type pool struct {
	large   int64 // bytes of all connections that count
	leaving int64 // the part of large at connections that are being closed
}

func (p *pool) held() int64 { return p.large - p.leaving }

// New returns a limiter with a budget of bytes for requests, and as much for messages of other entries. It calls refused for each connection that it closes or
// request that it refuses, with the reason.
func New(bytes int64, refused func(reason string)) *Limiter {
	return &Limiter{bytes: bytes, refuse: refused, conns: map[*conn]struct{}{}}
}

// Listen returns a listener that accepts from another one and keeps at most as many connections open as
// given. The limits are looked up for each request.
func (l *Limiter) Listen(on net.Listener, connections int, limits func() Limits) *Listener {
	return &Listener{Listener: on, limiter: l, pool: &l.requests, most: connections, limits: limits, room: sync.NewCond(&l.mu)}
}

// update sets the account of a connection. The caller holds l.mu.
func (l *Limiter) update(c *conn, a account) {
	pool := c.listener.pool
	pool.large += a.large() - c.account.large()
	if c.account.leaving {
		pool.leaving -= c.account.large()
	}
	if a.leaving {
		pool.leaving += a.large()
	}
	c.account = a
}

// hold adds bytes to what a connection holds and closes others, the slowest first, until the budget holds.
// It reports false if the connection itself had to go. The caller holds l.mu.
func (l *Limiter) hold(c *conn, n int64, now time.Time) bool {
	if c.released || c.account.leaving {
		return false
	}
	l.update(c, c.account.withHeld(c.account.held+n))
	pool := c.listener.pool
	for pool.held() > l.bytes && pool.held() > c.account.large() {
		victim := l.slowest(now, func(o *conn) bool { return o.listener.pool == pool && o.account.large() > 0 })
		if victim == nil {
			victim = c
		}
		l.evict(victim, ReasonBytes, now)
		if victim == c {
			break
		}
	}
	return !c.account.leaving
}

// slowest returns the closable connection that has used the most of its time, nil if there is none. The caller
// holds l.mu.
func (l *Limiter) slowest(now time.Time, eligible func(*conn) bool) *conn {
	var slowest *conn
	most := -1.0
	for c := range l.conns {
		if !c.account.closable(now) || !eligible(c) {
			continue
		}
		if spent := c.account.spent(c.listener.limits(), now); spent > most {
			slowest, most = c, spent
		}
	}
	return slowest
}

// evict ends a connection. A request whose body is arriving gets an answer; otherwise there is none to
// answer. Its server closes it, since closing waits for the pending read. The caller holds l.mu.
func (l *Limiter) evict(c *conn, reason string, now time.Time) {
	l.refuse(reason)
	l.update(c, c.account.withLeaving())
	c.listener.leaving++
	parting := partingTimeout
	if c.account.phase == answering {
		parting = 0 // its client doesn't read
	}
	_ = c.Conn.SetWriteDeadline(now.Add(parting))
	_ = c.Conn.SetReadDeadline(now)
}
