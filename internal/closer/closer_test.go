package closer_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/endivelock/endivelock/internal/closer"
)

// open opens a connection to a server that answers 204, and makes one request, so
// that the connection becomes idle.
func open(t *testing.T, c *closer.Closer) net.Conn {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{ConnState: c.Track, ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
	})}
	var group errgroup.Group
	group.Go(func() error { return server.Serve(listener) })
	t.Cleanup(func() {
		assert.NilError(t, server.Shutdown(context.Background()))
		assert.ErrorIs(t, group.Wait(), http.ErrServerClosed)
	})
	conn, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.Equal(t, get(t, conn), http.StatusNoContent)
	return conn
}

func get(t *testing.T, conn net.Conn) int {
	t.Helper()
	_, err := conn.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	assert.NilError(t, err)
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	return response.StatusCode
}

func TestIdleConnectionsAreClosed(t *testing.T) {
	var c closer.Closer
	open(t, &c)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		c.CloseIdle()
		if c.Open() == 0 {
			return poll.Success()
		}
		return poll.Continue("%d connections are open", c.Open())
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
}

// On a slow server, a request may be unread in the socket while the server still
// takes the connection for idle.
func TestConnectionWithAnUnreadRequestStaysOpen(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	client, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = client.Close() }()
	slow, err := listener.Accept()
	assert.NilError(t, err)
	defer func() { _ = slow.Close() }()
	var c closer.Closer
	c.Track(slow, http.StateIdle)
	_, err = client.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond) // until the bytes have arrived
	c.CloseIdle()
	b := make([]byte, 3)
	_, err = slow.Read(b)
	assert.NilError(t, err)
	assert.Equal(t, string(b), "GET")
	_, err = slow.Write([]byte("HTTP/1.1 204 No Content\r\n\r\n"))
	assert.NilError(t, err)
}
