package limiter_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/limiter"
)

// newRelay serves requests whose bodies are passed on, with a budget of bytes.
func newRelay(t *testing.T, bytes int64, handle http.HandlerFunc) (address string) {
	t.Helper()
	on, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := limiter.New(bytes, func(string) {}).Listen(on, 10, func() limiter.Limits { return limiter.Limits{} }).Relays()
	served := l.Server(handle, func(net.Conn, http.ConnState) {})
	var group errgroup.Group
	group.Go(func() error { return served.Serve(l) })
	t.Cleanup(func() {
		_ = served.Close()
		assert.ErrorIs(t, group.Wait(), http.ErrServerClosed)
	})
	return on.Addr().String()
}

// Large bodies that are passed on at once don't end each other.
func TestBodiesThatArePassedOnHoldNoBytes(t *testing.T) {
	begun := make(chan error, 2)
	address := newRelay(t, kilobyte, func(w http.ResponseWriter, r *http.Request) {
		_, err := io.ReadFull(r.Body, make([]byte, 100*kilobyte))
		begun <- err
		if _, err = io.Copy(io.Discard, r.Body); err != nil {
			w.WriteHeader(http.StatusBadGateway)
		}
	})
	var conns []net.Conn
	for range 2 {
		conn, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		defer func() { _ = conn.Close() }()
		send(t, conn, post(200*kilobyte, 200*kilobyte-1))
		conns = append(conns, conn)
	}
	for range conns {
		assert.NilError(t, <-begun)
	}
	for _, conn := range conns {
		send(t, conn, "x")
		assert.Equal(t, status(t, conn), http.StatusOK)
	}
}

// A body that is passed on may pause for as long as its handler waits, longer than one that is held.
func TestABodyThatIsPassedOnHasTheTimeOfItsHandler(t *testing.T) {
	t.Parallel()
	address := newRelay(t, kilobyte, func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, http.NewResponseController(w).SetReadDeadline(time.Now().Add(time.Minute)))
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			w.WriteHeader(http.StatusBadGateway)
		}
	})
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	send(t, conn, post(2, 1))
	time.Sleep(11 * time.Second)
	send(t, conn, "x")
	assert.Equal(t, status(t, conn), http.StatusOK)
}
