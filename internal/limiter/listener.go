package limiter

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Listener accepts connections within the budgets.
type Listener struct {
	net.Listener
	limiter *Limiter
	pool    *pool
	most    int
	limits  func() Limits
	room    *sync.Cond // on limiter.mu; signalled when a connection has closed or can be
	open    int
	leaving int // part of open that is being closed
	newest  *conn
	closed  bool
	streams bool
	relays  bool
}

// Streams returns the listener for connections that carry messages of other entries instead of requests.
func (l *Listener) Streams() *Listener {
	l.streams, l.pool = true, &l.limiter.messages
	return l
}

// Relays returns the listener for requests whose bodies are passed on as they arrive. Their bytes don't count
// against the budget, and their time is that which the handler sets as the deadline of reading.
func (l *Listener) Relays() *Listener {
	l.relays = true
	return l
}

// Accept returns the next connection. If all are taken, it closes the slowest, or waits until one closes.
func (l *Listener) Accept() (net.Conn, error) {
	if !l.makeRoom() {
		return nil, net.ErrClosed
	}
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.limiter.mu.Lock()
	defer l.limiter.mu.Unlock()
	now := time.Now()
	c := &conn{Conn: accepted, listener: l, account: account{since: now}}
	if l.streams {
		c.account = c.account.withPhase(linked, now)
	}
	l.limiter.conns[c] = struct{}{}
	l.open++
	l.newest = c
	l.evictSlowest(now)
	return c, nil
}

// makeRoom waits until there is room for a connection. One more than the most is room: it takes the place of
// the slowest. It reports whether the listener is still open.
func (l *Listener) makeRoom() bool {
	l.limiter.mu.Lock()
	defer l.limiter.mu.Unlock()
	for l.open > l.most && !l.closed {
		l.evictSlowest(time.Now())
		lookAgain := time.AfterFunc(unreadAfter, l.room.Broadcast)
		l.room.Wait()
		lookAgain.Stop()
	}
	return !l.closed
}

// evictSlowest closes the slowest connection if there are too many, but not the newest, which has had no time
// yet. The caller holds limiter.mu.
func (l *Listener) evictSlowest(now time.Time) {
	if l.open-l.leaving <= l.most {
		return
	}
	if slowest := l.limiter.slowest(now, func(o *conn) bool { return o.listener == l && o != l.newest }); slowest != nil {
		l.limiter.evict(slowest, ReasonConnections, now)
	}
}

// Close closes the listener, not its connections.
func (l *Listener) Close() error {
	l.limiter.mu.Lock()
	l.closed = true
	l.room.Broadcast()
	l.limiter.mu.Unlock()
	return l.Listener.Close()
}

// Server returns a server of HTTP for the listener. Heads are limited by the listener, so the limits of the
// server are only set to make it tell the listener when they apply.
func (l *Listener) Server(h http.Handler, track func(net.Conn, http.ConnState)) *http.Server {
	return &http.Server{
		Handler:        l.handler(h),
		MaxHeaderBytes: 1 << 30, ReadHeaderTimeout: DefaultHeadTimeout, IdleTimeout: DefaultIdleTimeout,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		ConnState: func(c net.Conn, s http.ConnState) {
			l.track(c, s)
			track(c, s)
		},
	}
}

type connKey struct{}

func (l *Listener) track(tracked net.Conn, s http.ConnState) {
	c, ok := tracked.(*conn)
	if !ok {
		return
	}
	switch s {
	case http.StateActive:
		c.enter(inBody)
	case http.StateIdle:
		c.enter(idle)
	}
}

// handler returns a handler whose requests' bodies count against the budget.
func (l *Listener) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		switch {
		case !ok:
		case r.Body == nil || r.Body == http.NoBody:
			c.enter(deciding)
		default:
			// The server looks at its own request when it answers, so this one is another.
			r = r.WithContext(r.Context())
			r.Body = &body{ReadCloser: r.Body, conn: c}
			if r.Method == http.MethodDelete && !l.relays {
				// What it asks for runs without its body, which the server reads afterwards.
				c.enter(deciding)
				defer c.enter(inBody)
			}
		}
		next.ServeHTTP(w, r)
	})
}
