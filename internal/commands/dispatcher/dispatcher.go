// Package dispatcher has the exchange of one request with a backend server or
// another entry. It streams both ways, keeps a whole answer apart from a
// broken one, and knows whether a byte of the request left. It retries
// nothing: what to do next is decided elsewhere.
package dispatcher

import (
	"context"
	"maps"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Bounds on connections.
const (
	// ServerConns bounds the connections to one backend server.
	ServerConns = 32
	// EntryConns bounds the connections to one other entry.
	EntryConns = 1024
)

const (
	// dialTimeout bounds the making of a connection.
	dialTimeout = 2 * time.Second
	// idleTimeout closes connections that were not used for so long.
	idleTimeout = 30 * time.Second
	// continueTimeout is how long a forwarded body waits for the other
	// entry's decision.
	continueTimeout = time.Minute
)

// HeaderWork names the header that carries a request's identifier. A server
// that repeats it in its answer lets a crossed answer be detected.
const HeaderWork = "Endivelock-Work"

// ErrCrossed tells that an answer named another request.
var ErrCrossed = errors.New("the answer belongs to another request")

// Fault is a failed exchange. Sent tells whether a byte of the request may
// have left, that is whether the work may have run.
type Fault struct {
	Sent  bool
	Cause error
}

// Error describes the fault.
func (f *Fault) Error() string {
	if f.Sent {
		return "exchange broke off: " + f.Cause.Error()
	}
	return "exchange did not begin: " + f.Cause.Error()
}

// Unwrap returns the cause.
func (f *Fault) Unwrap() error { return f.Cause }

var _ error = (*Fault)(nil)

// Dispatcher sends requests. Create it with New.
type Dispatcher struct {
	transport *http.Transport

	mu   sync.Mutex
	open map[*countedConn]bool
}

// New returns a dispatcher with a bound on the connections to one address.
func New(conns int) *Dispatcher {
	d := &Dispatcher{open: map[*countedConn]bool{}}
	d.transport = &http.Transport{
		DialContext:           d.dial,
		MaxIdleConnsPerHost:   conns / 2,
		MaxConnsPerHost:       conns,
		IdleConnTimeout:       idleTimeout,
		ExpectContinueTimeout: continueTimeout,
		DisableCompression:    true,
	}
	return d
}

func (d *Dispatcher) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &countedConn{Conn: conn, dispatcher: d}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open[c] = true
	return c, nil
}

// Abort closes all connections at once, whatever is in progress on them.
func (d *Dispatcher) Abort() {
	d.mu.Lock()
	open := slices.Collect(maps.Keys(d.open))
	d.mu.Unlock()
	for _, c := range open {
		_ = c.Close()
	}
}

// CloseIdle closes connections that are not in use.
func (d *Dispatcher) CloseIdle() {
	d.transport.CloseIdleConnections()
}

// RoundTrip sends a request and returns the head of the answer. The body is
// still to be read. An error is always a *Fault.
func (d *Dispatcher) RoundTrip(request *http.Request) (*http.Response, error) {
	var used atomic.Pointer[usedConn]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*countedConn); ok {
			used.Store(&usedConn{conn: c, before: c.writes.Load()})
		}
	}}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	response, err := d.transport.RoundTrip(request)
	u := used.Load()
	if err != nil {
		// After a cancellation the transport may still be about to write.
		cancelled := u != nil && request.Context().Err() != nil
		return nil, &Fault{Sent: cancelled || u.sent(), Cause: err}
	}
	id := request.Header.Get(HeaderWork)
	if answered := response.Header.Get(HeaderWork); answered != "" && answered != id {
		_ = response.Body.Close()
		u.close()
		return nil, &Fault{Sent: true, Cause: ErrCrossed}
	}
	return response, nil
}

// usedConn is a connection as one exchange took it up.
type usedConn struct {
	conn   *countedConn
	before int64
}

// sent reports whether a byte may have left since.
func (u *usedConn) sent() bool {
	return u != nil && u.conn.writes.Load() != u.before
}

func (u *usedConn) close() {
	if u != nil {
		_ = u.conn.Close()
	}
}

// countedConn counts attempts to write.
type countedConn struct {
	net.Conn
	writes     atomic.Int64
	dispatcher *Dispatcher
}

// Close closes the connection and forgets it.
func (c *countedConn) Close() error {
	c.dispatcher.mu.Lock()
	delete(c.dispatcher.open, c)
	c.dispatcher.mu.Unlock()
	return c.Conn.Close()
}

// Write counts the attempt before it is made.
func (c *countedConn) Write(b []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(b)
}
