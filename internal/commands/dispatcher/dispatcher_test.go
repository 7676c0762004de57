package dispatcher_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/commands/dispatcher"
)

// scriptedServer runs script for each request that it receives and counts the
// requests. script gets the connection and the number of the request, from 1.
func scriptedServer(t *testing.T, script func(conn net.Conn, requests int)) (address string, requests *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	count := &atomic.Int64{}
	var group errgroup.Group
	group.Go(func() error {
		for {
			conn, err := l.Accept()
			if err != nil {
				return nil
			}
			reader := bufio.NewReader(conn)
			for {
				if _, err := http.ReadRequest(reader); err != nil {
					break
				}
				script(conn, int(count.Add(1)))
			}
			_ = conn.Close()
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		_ = group.Wait()
	})
	return l.Addr().String(), count
}

// streamBody is a body that cannot be rewound, like that of a proxied request.
type streamBody struct{ io.Reader }

func (streamBody) Close() error { return nil }

func newDispatcher(t *testing.T) *dispatcher.Dispatcher {
	t.Helper()
	d := dispatcher.New(dispatcher.MaxServerConns)
	t.Cleanup(d.Abort)
	return d
}

func newRequest(t *testing.T, address string) *http.Request {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	t.Cleanup(cancel)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/", streamBody{strings.NewReader("")})
	assert.NilError(t, err)
	r.Header.Set(dispatcher.HeaderWork, "w1")
	return r
}

func asError(t *testing.T, err error) *dispatcher.Error {
	t.Helper()
	var fault *dispatcher.Error
	assert.Assert(t, errors.As(err, &fault), "%v", err)
	return fault
}

func TestUnreachableServerIsUnsent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	assert.NilError(t, l.Close())
	_, err = newDispatcher(t).RoundTrip(newRequest(t, address))
	assert.Assert(t, !asError(t, err).Sent)
}

// A server that reads the request and closes the connection may have run it.
// net/http must not replay the request, even where HTTP allows it.
func TestRequestIsSentOnce(t *testing.T) {
	address, requests := scriptedServer(t, func(conn net.Conn, n int) {
		if n == 1 {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			return
		}
		_ = conn.Close()
	})
	d := newDispatcher(t)
	response, err := d.RoundTrip(newRequest(t, address))
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	_, err = d.RoundTrip(newRequest(t, address))
	assert.Assert(t, asError(t, err).Sent)
	assert.Equal(t, requests.Load(), int64(2))
}

func TestMismatchedResponseIsAnError(t *testing.T) {
	address, _ := scriptedServer(t, func(conn net.Conn, _ int) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nEndivelock-Work: w2\r\nContent-Length: 5\r\n\r\nhello")
	})
	_, err := newDispatcher(t).RoundTrip(newRequest(t, address))
	assert.ErrorIs(t, err, dispatcher.ErrMismatchedResponse)
	assert.Assert(t, asError(t, err).Sent)
}

// A late response to an earlier request must not be taken for the response to
// the next one on the same connection.
func TestUnsolicitedResponseIsNotUsed(t *testing.T) {
	address, _ := scriptedServer(t, func(conn net.Conn, n int) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nEndivelock-Work: w1\r\nContent-Length: 1\r\n\r\na")
		if n == 1 {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nEndivelock-Work: w0\r\nContent-Length: 1\r\n\r\nz")
		}
	})
	d := newDispatcher(t)
	for range 2 {
		response, err := d.RoundTrip(newRequest(t, address))
		if err != nil {
			assert.Assert(t, asError(t, err).Sent)
			continue
		}
		text, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(text), "a")
	}
}

func TestAbortClosesConnections(t *testing.T) {
	begun := make(chan struct{}, 1)
	address, _ := scriptedServer(t, func(net.Conn, int) { begun <- struct{}{} })
	d := newDispatcher(t)
	var group errgroup.Group
	group.Go(func() error {
		_, err := d.RoundTrip(newRequest(t, address))
		return err
	})
	<-begun
	d.Abort()
	assert.Assert(t, asError(t, group.Wait()).Sent)
}

func TestHopByHopHeadersAreNotCopied(t *testing.T) {
	from := http.Header{
		"Connection": {"close, X-Local"}, "X-Local": {"1"}, "Keep-Alive": {"5"}, "Transfer-Encoding": {"chunked"},
		"Te": {"trailers"}, "Upgrade": {"h2c"}, "X-Other": {"a", "b"}, "Traceparent": {"00-1-2-01"},
	}
	to := http.Header{}
	dispatcher.CopyHeader(to, from)
	assert.DeepEqual(t, to, http.Header{"X-Other": {"a", "b"}, "Traceparent": {"00-1-2-01"}})
}
