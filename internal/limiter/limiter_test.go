package limiter_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/limiter"
)

const (
	kilobyte = 1 << 10
	// patience ends a test that hangs.
	patience = 20 * time.Second
)

// server is a server whose handler reads the body.
type server struct {
	address string
	limits  atomic.Pointer[limiter.Limits]
	reasons chan string
	errs    chan error // of reading a body
	before  func(w http.ResponseWriter, r *http.Request)
}

func newServer(t *testing.T, bytes int64, connections int) *server {
	t.Helper()
	on, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &server{address: on.Addr().String(), reasons: make(chan string, 100), errs: make(chan error, 100)}
	s.limits.Store(&limiter.Limits{})
	l := limiter.New(bytes, func(reason string) { s.reasons <- reason }).Listen(on, connections, func() limiter.Limits { return *s.limits.Load() })
	served := l.Server(http.HandlerFunc(s.handle), func(net.Conn, http.ConnState) {})
	var group errgroup.Group
	group.Go(func() error { return served.Serve(l) })
	t.Cleanup(func() {
		_ = served.Close()
		assert.ErrorIs(t, group.Wait(), http.ErrServerClosed)
	})
	return s
}

func (s *server) handle(w http.ResponseWriter, r *http.Request) {
	if s.before != nil {
		s.before(w, r)
	}
	if _, err := limiter.ReadAll(r.Body, r.ContentLength); err != nil {
		s.errs <- err
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (s *server) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.address)
	assert.NilError(t, err)
	assert.NilError(t, conn.SetDeadline(time.Now().Add(patience)))
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(conn, text)
	assert.NilError(t, err)
}

func status(t *testing.T, conn net.Conn) int {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	return response.StatusCode
}

func post(size, sent int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", sent))
}

func head(size int) string {
	const start, end = "GET / HTTP/1.1\r\nHost: h\r\nX: ", "\r\n\r\n"
	return start + strings.Repeat("x", size-len(start)-len(end)) + end
}

func TestBudgetsFollowFromMemoryAndDescriptors(t *testing.T) {
	assert.Equal(t, limiter.NewBudgets(184<<20, 4100), limiter.Budgets{Bytes: 23 << 20, Connections: 1472})
	assert.Equal(t, limiter.NewBudgets(184<<20, 1000), limiter.Budgets{Bytes: 23 << 20, Connections: 400})
	assert.Equal(t, limiter.NewBudgets(284<<20, 0), limiter.Budgets{Bytes: 284 << 17, Connections: 2272})
	assert.Equal(t, limiter.NewBudgets(1<<20, 210), limiter.Budgets{Bytes: 2 << 20, Connections: 64})
}

func TestHeadsUpToTheLimitAreServed(t *testing.T) {
	s := newServer(t, 1<<20, 10)
	limits := limiter.Limits{}.WithHead(16*kilobyte, 0)
	s.limits.Store(&limits)
	conn := s.dial(t)
	for range 3 {
		send(t, conn, head(16*kilobyte))
		assert.Equal(t, status(t, conn), http.StatusOK)
	}
	send(t, conn, head(24*kilobyte))
	assert.Equal(t, status(t, conn), http.StatusRequestHeaderFieldsTooLarge)
	assert.Equal(t, <-s.reasons, limiter.ReasonHead)
}

// A connection follows the limits that are in force when it waits for a request.
func TestLimitsChangeOnAnOpenConnection(t *testing.T) {
	s := newServer(t, 1<<20, 10)
	limits := limiter.Limits{}.WithIdle(time.Hour)
	s.limits.Store(&limits)
	conn := s.dial(t)
	send(t, conn, head(100))
	assert.Equal(t, status(t, conn), http.StatusOK)
	changed := limits.WithHead(0, time.Hour).WithIdle(20 * time.Millisecond)
	s.limits.Store(&changed)
	send(t, conn, head(100))
	assert.Equal(t, status(t, conn), http.StatusOK)
	_, err := conn.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	quick := changed.WithHead(0, 20*time.Millisecond)
	s.limits.Store(&quick)
	_, err = s.dial(t).Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
}

func TestAStalledBodyGivesWay(t *testing.T) {
	s := newServer(t, 100*kilobyte, 10)
	arrived := make(chan error, 1)
	s.before = func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/stall" {
			_, err := io.ReadFull(r.Body, make([]byte, 80*kilobyte))
			arrived <- err
		}
	}
	stalled := s.dial(t)
	send(t, stalled, strings.Replace(post(90*kilobyte, 90*kilobyte-1), "/", "/stall", 1))
	assert.NilError(t, <-arrived)
	small := s.dial(t)
	send(t, small, post(kilobyte, kilobyte))
	assert.Equal(t, status(t, small), http.StatusOK)
	large := s.dial(t)
	send(t, large, post(90*kilobyte, 90*kilobyte))
	assert.Equal(t, status(t, large), http.StatusOK)
	assert.Equal(t, status(t, stalled), http.StatusServiceUnavailable)
	assert.ErrorIs(t, <-s.errs, limiter.ErrCrowded)
	assert.Equal(t, <-s.reasons, limiter.ReasonBytes)
}

// A request that holds more than the budget is served if no other holds any.
func TestASingleRequestMayTakeAll(t *testing.T) {
	s := newServer(t, 10*kilobyte, 10)
	conn := s.dial(t)
	for range 2 {
		send(t, conn, post(200*kilobyte, 200*kilobyte))
		assert.Equal(t, status(t, conn), http.StatusOK)
	}
}

func TestABodyEndsWithThePatienceOfItsClient(t *testing.T) {
	s := newServer(t, 1<<20, 10)
	s.before = func(w http.ResponseWriter, _ *http.Request) {
		assert.Check(t, http.NewResponseController(w).SetReadDeadline(time.Now().Add(20*time.Millisecond)))
	}
	conn := s.dial(t)
	send(t, conn, post(100, 99))
	assert.Equal(t, status(t, conn), http.StatusServiceUnavailable)
	assert.ErrorIs(t, <-s.errs, limiter.ErrSlow)
	conn = s.dial(t)
	for range 2 { // the end of patience doesn't outlast the body
		send(t, conn, post(100, 100))
		assert.Equal(t, status(t, conn), http.StatusOK)
		time.Sleep(50 * time.Millisecond)
	}
}

// A new connection takes the place of one that is idle, never that of a request that may run.
func TestAFullListenerServesNewConnections(t *testing.T) {
	s := newServer(t, 1<<20, 2)
	running, proceed := make(chan struct{}, 1), make(chan struct{})
	s.before = func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			running <- struct{}{}
			<-proceed
		}
	}
	busy := s.dial(t)
	send(t, busy, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	<-running
	quiet := s.dial(t)
	for range 5 {
		conn := s.dial(t)
		send(t, conn, head(100))
		assert.Equal(t, status(t, conn), http.StatusOK)
	}
	_, err := quiet.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
	close(proceed)
	assert.Equal(t, status(t, busy), http.StatusOK)
	assert.Equal(t, <-s.reasons, limiter.ReasonConnections)
}

func TestReadAllReadsBodiesOfAnySize(t *testing.T) {
	for _, size := range []int{0, 1, 4095, 4096, 4097, 20 * kilobyte, 100*kilobyte + 7} {
		want := bytes.Repeat([]byte("x"), size)
		for _, declared := range []int64{-1, int64(size), int64(size) / 2} {
			got, err := limiter.ReadAll(iotest.DataErrReader(bytes.NewReader(want)), declared)
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(got, want))
		}
	}
	broken := errors.New("broken off")
	_, err := limiter.ReadAll(io.MultiReader(strings.NewReader("x"), iotest.ErrReader(broken)), 5)
	assert.ErrorIs(t, err, broken)
}
