package limiter_test

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/closer"
	"github.com/endivelock/endivelock/internal/limiter"
)

// frozen is a listener whose connections are read late, as on a machine that was frozen.
type frozen struct {
	net.Listener
	pause time.Duration
	late  *atomic.Int32 // the read that is late, counted from 1
}

func (f frozen) Accept() (net.Conn, error) {
	conn, err := f.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &frozenConn{TCPConn: conn.(*net.TCPConn), frozen: f}, nil
}

type frozenConn struct {
	*net.TCPConn
	frozen frozen
	reads  int32
}

func (c *frozenConn) Read(p []byte) (int, error) {
	if c.reads++; c.reads == c.frozen.late.Load() {
		time.Sleep(c.frozen.pause)
	}
	return c.TCPConn.Read(p)
}

// A head that is in the socket when its time ends, since the machine was frozen, is served.
func TestAHeadThatHasArrivedIsServedAfterItsTime(t *testing.T) {
	on, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var late atomic.Int32
	late.Store(1)
	wrapped := frozen{on, 2500 * time.Millisecond, &late}
	limits := limiter.Limits{}.WithHead(0, time.Millisecond).WithIdle(time.Hour)
	l := limiter.New(1<<20, func(string) {}).Listen(wrapped, 10, func() limiter.Limits { return limits })
	served := l.Server(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), func(net.Conn, http.ConnState) {})
	var group errgroup.Group
	group.Go(func() error { return served.Serve(l) })
	defer func() {
		_ = served.Close()
		assert.ErrorIs(t, group.Wait(), http.ErrServerClosed)
	}()
	conn, err := net.Dial("tcp", on.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(patience)))
	send(t, conn, head(8*kilobyte))
	assert.Equal(t, status(t, conn), http.StatusOK)
}

// What was asked for runs on while its connection counts as waiting for a body that nobody reads.
func TestARequestWhoseBodyIsNotReadIsNotClosed(t *testing.T) {
	s := newServer(t, 1<<20, 1)
	running, proceed := make(chan struct{}, 1), make(chan struct{})
	s.before = func(_ http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			running <- struct{}{}
			<-proceed
		}
	}
	busy := s.dial(t)
	send(t, busy, "DELETE / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}")
	<-running
	other := s.dial(t)
	time.Sleep(100 * time.Millisecond) // until it is accepted
	close(proceed)
	assert.Equal(t, status(t, busy), http.StatusOK)
	send(t, other, head(100))
	assert.Equal(t, status(t, other), http.StatusOK)
	assert.Equal(t, <-s.reasons, limiter.ReasonConnections)
}

// Clients that declare more than a server reads after its answer don't hold new ones up.
func TestClosingLargeBodiesLeavesRoomAtOnce(t *testing.T) {
	s := newServer(t, 1<<20, 4)
	started := time.Now()
	for range 20 {
		send(t, s.dial(t), post(1<<30, 1))
	}
	conn := s.dial(t)
	send(t, conn, head(100))
	assert.Equal(t, status(t, conn), http.StatusOK)
	assert.Check(t, time.Since(started) < 4*time.Second, "served after %v", time.Since(started))
}

// Messages of other entries are no victims of what clients hold.
func TestClientsDoNotUseUpTheBytesOfStreams(t *testing.T) {
	on, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	owner := limiter.New(100*kilobyte, func(string) {})
	clients := owner.Listen(on, 10, func() limiter.Limits { return limiter.Limits{} })
	decided, proceed := make(chan struct{}), make(chan struct{})
	served := clients.Server(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		decided <- struct{}{}
		<-proceed
	}), func(net.Conn, http.ConnState) {})
	var group errgroup.Group
	group.Go(func() error { return served.Serve(clients) })
	defer func() {
		close(proceed)
		_ = served.Close()
		assert.ErrorIs(t, group.Wait(), http.ErrServerClosed)
	}()
	conn, err := net.Dial("tcp", on.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	send(t, conn, post(200*kilobyte, 200*kilobyte))
	<-decided
	onStreams, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	streams := owner.Listen(onStreams, 10, func() limiter.Limits { return limiter.Limits{} }).Streams()
	defer func() { _ = streams.Close() }()
	peer, err := net.Dial("tcp", onStreams.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = peer.Close() }()
	link, err := streams.Accept()
	assert.NilError(t, err)
	defer func() { _ = link.Close() }()
	assert.NilError(t, link.(interface{ Hold(n int) error }).Hold(50*kilobyte))
}

// A planned stop looks for requests that are in the socket, through the connection of the limiter.
func TestAStopSeesUnreadRequests(t *testing.T) {
	on, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := limiter.New(1<<20, func(string) {}).Listen(on, 10, func() limiter.Limits { return limiter.Limits{} })
	defer func() { _ = l.Close() }()
	client, err := net.Dial("tcp", on.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = client.Close() }()
	conn, err := l.Accept()
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	var c closer.Closer
	c.Track(conn, http.StateIdle)
	send(t, client, head(100))
	time.Sleep(50 * time.Millisecond) // until the bytes have arrived
	c.CloseIdle()
	n, err := conn.Read(make([]byte, 100))
	assert.NilError(t, err)
	assert.Equal(t, n, 100)
	c.CloseIdle()
	_, err = conn.Read(make([]byte, 100))
	assert.ErrorIs(t, err, net.ErrClosed)
}
