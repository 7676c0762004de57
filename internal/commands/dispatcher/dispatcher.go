// Package dispatcher sends one request to a backend server or to another entry.
// It streams in both directions, tells a complete response from a truncated one,
// and records whether any byte of the request was sent. It does not retry: the
// control thread decides what follows a failure.
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
	// MaxServerConns bounds the connections to one backend server.
	MaxServerConns = 32
	// MaxEntryConns bounds the connections to one other entry.
	MaxEntryConns = 1024
)

const (
	// dialTimeout bounds the dialing of a connection.
	dialTimeout = 2 * time.Second
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 30 * time.Second
	// continueTimeout is how long the body of a forwarded request waits for the
	// other entry to place the request (status 100).
	continueTimeout = time.Minute
)

// HeaderWork names the header that carries a request's identifier. If a server
// echoes it in the response, a response to another request is detected.
const HeaderWork = "Endivelock-Work"

// ErrMismatchedResponse is the cause of an Error if the response carries the
// identifier of another request.
var ErrMismatchedResponse = errors.New("response belongs to another request")

// Error is a failed exchange. Sent tells whether a byte of the request may have
// been sent, in which case the work may have run.
type Error struct {
	Sent  bool
	Cause error
}

// Error describes the failure.
func (e *Error) Error() string {
	if e.Sent {
		return "exchange failed after sending: " + e.Cause.Error()
	}
	return "exchange failed before sending: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

var _ error = (*Error)(nil)

// Dispatcher sends requests. Create it with New.
type Dispatcher struct {
	transport *http.Transport

	mu    sync.Mutex
	conns map[*countingConn]bool
}

// New returns a dispatcher that opens at most conns connections to one address.
func New(conns int) *Dispatcher {
	d := &Dispatcher{conns: map[*countingConn]bool{}}
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
	c := &countingConn{Conn: conn, dispatcher: d}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conns[c] = true
	return c, nil
}

// Abort closes all connections, also those with an exchange in progress.
func (d *Dispatcher) Abort() {
	d.mu.Lock()
	open := slices.Collect(maps.Keys(d.conns))
	d.mu.Unlock()
	for _, c := range open {
		_ = c.Close()
	}
}

// CloseIdle closes connections that are not in use.
func (d *Dispatcher) CloseIdle() {
	d.transport.CloseIdleConnections()
}

// RoundTrip sends a request once and returns the response, whose body the caller
// reads and closes. An error is always an *Error.
func (d *Dispatcher) RoundTrip(request *http.Request) (*http.Response, error) {
	var used atomic.Pointer[usedConn]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*countingConn); ok {
			used.Store(&usedConn{conn: c, writesBefore: c.writes.Load()})
		}
	}}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	response, err := d.transport.RoundTrip(request)
	u := used.Load()
	if err != nil {
		// After a cancellation the transport may still write the request.
		cancelled := u != nil && request.Context().Err() != nil
		return nil, &Error{Sent: cancelled || u.sent(), Cause: err}
	}
	id := request.Header.Get(HeaderWork)
	if echoed := response.Header.Get(HeaderWork); echoed != "" && echoed != id {
		_ = response.Body.Close()
		u.close()
		return nil, &Error{Sent: true, Cause: ErrMismatchedResponse}
	}
	return response, nil
}

// usedConn is the connection of one exchange, with its count of writes before the
// exchange.
type usedConn struct {
	conn         *countingConn
	writesBefore int64
}

// sent reports whether a byte may have been sent since the exchange began.
func (u *usedConn) sent() bool {
	return u != nil && u.conn.writes.Load() != u.writesBefore
}

func (u *usedConn) close() {
	if u != nil {
		_ = u.conn.Close()
	}
}

// countingConn counts calls of Write.
type countingConn struct {
	net.Conn
	writes     atomic.Int64
	dispatcher *Dispatcher
}

// Close closes the connection and removes it from the dispatcher.
func (c *countingConn) Close() error {
	c.dispatcher.mu.Lock()
	delete(c.dispatcher.conns, c)
	c.dispatcher.mu.Unlock()
	return c.Conn.Close()
}

// Write counts the call before it writes.
func (c *countingConn) Write(b []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(b)
}
