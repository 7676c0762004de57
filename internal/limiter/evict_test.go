package limiter_test

import (
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/limiter"
)

// queue is a listener whose connections a test hands over.
type queue struct {
	conns chan net.Conn
	done  chan struct{}
}

func (q *queue) Accept() (net.Conn, error) {
	select {
	case c := <-q.conns:
		return c, nil
	case <-q.done:
		return nil, net.ErrClosed
	}
}

func (q *queue) Close() error {
	close(q.done)
	return nil
}

func (q *queue) Addr() net.Addr { return &net.TCPAddr{} }

// lateConn is a connection whose reads return what the test hands over, however late: bytes
// that arrived before the connection was told to close.
type lateConn struct {
	net.Conn
	bytes  chan string
	closed chan struct{}
	once   sync.Once
}

func newLateConn() *lateConn {
	return &lateConn{bytes: make(chan string, 100), closed: make(chan struct{})}
}

func (c *lateConn) Read(p []byte) (int, error) {
	select {
	case s := <-c.bytes:
		return copy(p, s), nil
	case <-c.closed:
		return 0, os.ErrDeadlineExceeded
	}
}

func (c *lateConn) Write(p []byte) (int, error)      { return len(p), nil }
func (c *lateConn) SetReadDeadline(time.Time) error  { return nil }
func (c *lateConn) SetWriteDeadline(time.Time) error { return nil }
func (c *lateConn) SetDeadline(time.Time) error      { return nil }
func (c *lateConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (c *lateConn) LocalAddr() net.Addr              { return &net.TCPAddr{} }

func (c *lateConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

// Guards against a listener that accepts no more: a connection that was told to close was told so
// again for bytes of its head that had arrived before, and counted as leaving for good.
func TestAConnectionIsToldToCloseOnce(t *testing.T) {
	on := &queue{conns: make(chan net.Conn), done: make(chan struct{})}
	reasons, states := make(chan string, 100), make(chan http.ConnState, 100)
	l := limiter.New(40*kilobyte, func(reason string) { reasons <- reason }).Listen(on, 2, func() limiter.Limits { return limiter.Limits{} })
	complete, answer := make(chan struct{}), make(chan struct{})
	served := l.Server(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, err := limiter.ReadAll(r.Body, r.ContentLength)
		assert.Check(t, err)
		close(complete)
		<-answer
	}), func(_ net.Conn, s http.ConnState) { states <- s })
	var group errgroup.Group
	group.Go(func() error { return served.Serve(l) })
	await := func(want http.ConnState) {
		for s := range states {
			if s == want {
				return
			}
		}
	}
	open := func() *lateConn {
		c := newLateConn()
		on.conns <- c
		await(http.StateNew)
		return c
	}
	request := post(60*kilobyte, 60*kilobyte)
	decided := open()
	for len(request) > 0 {
		n := min(4*kilobyte, len(request))
		decided.bytes <- request[:n]
		request = request[n:]
	}
	<-complete // it holds more than the budget of bytes and can't be closed
	leaving := open()
	next := open()
	assert.Equal(t, <-reasons, limiter.ReasonConnections)
	leaving.bytes <- "GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 12*kilobyte)
	leaving.bytes <- "\r\n"
	await(http.StateClosed)
	last := open()
	assert.Equal(t, <-reasons, limiter.ReasonConnections)
	for _, c := range []*lateConn{next, last} {
		assert.NilError(t, c.Close())
	}
	close(answer)
	_ = served.Close()
	assert.ErrorIs(t, group.Wait(), http.ErrServerClosed)
	assert.Equal(t, len(reasons), 0)
}

// answerSize is more than the sockets of a connection hold.
const answerSize = 16 << 20

// Guards against connections that keep all places for as long as nobody reads their answers.
func TestAnAnswerThatNobodyReadsGivesWay(t *testing.T) {
	s := newServer(t, 1<<20, 1)
	writing := make(chan struct{}, 1)
	s.before = func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/large" {
			writing <- struct{}{}
			_, _ = w.Write(make([]byte, answerSize))
		}
	}
	var large []net.Conn
	for range 2 { // one more than the most is room
		conn := s.dial(t)
		send(t, conn, "GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
		<-writing
		large = append(large, conn)
	}
	next := s.dial(t)
	send(t, next, head(100))
	assert.Equal(t, status(t, next), http.StatusOK)
	assert.Assert(t, len(s.reasons) > 0, "no connection was closed for another")
	n, err := io.Copy(io.Discard, large[0])
	assert.Assert(t, n < answerSize, "%d bytes were read, %v", n, err)
}
