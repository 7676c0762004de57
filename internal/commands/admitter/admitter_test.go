package admitter_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/commands/admitter"
	"github.com/endivelock/endivelock/internal/commands/dispatcher"
	"github.com/endivelock/endivelock/internal/scheduler"
	"github.com/endivelock/endivelock/pkg/messenger"
)

// fakeController makes the same decision about every request and keeps the other
// events.
type fakeController struct {
	admitter.Waiters
	decide func(id string) scheduler.Effect
	events chan scheduler.Event
}

func (c *fakeController) Submit(e scheduler.Event) {
	arrived, ok := e.(scheduler.RequestArrived)
	if ok {
		c.Decide(arrived.Request.ID, c.decide(arrived.Request.ID))
		return
	}
	c.events <- e
}

func (c *fakeController) Snapshot() scheduler.State { return scheduler.State{} }

// awaitEnded returns the end of the exchange that was reported to the controller.
func (c *fakeController) awaitEnded(t *testing.T) scheduler.ExchangeEnd {
	t.Helper()
	select {
	case e := <-c.events:
		return e.(scheduler.RequestEnded).End
	case <-time.After(10 * time.Second):
		t.Fatal("the exchange did not end")
		return 0
	}
}

// proxy is an entry with one backend server, which the controller places every
// request on.
type proxy struct {
	controller *fakeController
	admitter   *admitter.Admitter
	entry      *httptest.Server
}

func newProxy(t *testing.T, backend http.HandlerFunc) *proxy {
	t.Helper()
	server := httptest.NewServer(backend)
	t.Cleanup(server.Close)
	d := &fakeController{events: make(chan scheduler.Event, 16), decide: func(id string) scheduler.Effect {
		return scheduler.Place{Request: id, Server: "s", Address: server.Listener.Addr().String(), Until: time.Now().Add(time.Minute)}
	}}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	transports := admitter.Transports{Servers: dispatcher.New(dispatcher.MaxServerConns), Entries: dispatcher.New(dispatcher.MaxEntryConns)}
	a := admitter.New(d, transports, &d.Waiters, logger)
	entry := httptest.NewServer(a)
	t.Cleanup(entry.Close)
	return &proxy{controller: d, admitter: a, entry: entry}
}

func (p *proxy) request(t *testing.T, method, body string, header ...string) *http.Request {
	t.Helper()
	r, err := http.NewRequest(method, p.entry.URL+"/a%2Fb?q=1", strings.NewReader(body))
	assert.NilError(t, err)
	r.Header.Set(messenger.HeaderPlan, "p")
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	return r
}

func problemOf(t *testing.T, response *http.Response) messenger.Problem {
	t.Helper()
	var p messenger.Problem
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&p))
	assert.NilError(t, response.Body.Close())
	return p
}

func TestCompleteResponseIsRelayed(t *testing.T) {
	p := newProxy(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Path", r.URL.EscapedPath()+"?"+r.URL.RawQuery)
		w.WriteHeader(http.StatusTeapot)
		_, _ = w.Write(body)
	})
	for _, size := range []int{0, 1, 100_000, 3_000_000} {
		response, err := http.DefaultClient.Do(p.request(t, http.MethodPost, strings.Repeat("x", size)))
		assert.NilError(t, err)
		text, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Equal(t, len(text), size)
		assert.Equal(t, response.StatusCode, http.StatusTeapot)
		assert.Equal(t, response.Header.Get("X-Path"), "/a%2Fb?q=1")
		assert.Equal(t, response.Header.Get(messenger.HeaderOutcome), "ran")
		assert.Equal(t, p.controller.awaitEnded(t), scheduler.ExchangeComplete)
	}
}

func TestTruncatedResponseIsNotRelayedAsComplete(t *testing.T) {
	p := newProxy(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte("only this"))
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	})
	response, err := http.DefaultClient.Do(p.request(t, http.MethodGet, ""))
	if err == nil {
		_, err = io.ReadAll(response.Body)
	}
	assert.Assert(t, err != nil)
	assert.Equal(t, p.controller.awaitEnded(t), scheduler.ExchangeBroken)
}

func TestStreamIsFlushedPieceByPiece(t *testing.T) {
	next := make(chan struct{})
	p := newProxy(t, func(w http.ResponseWriter, _ *http.Request) {
		for i := range 3 {
			_, _ = fmt.Fprintf(w, "%d", i)
			w.(http.Flusher).Flush()
			<-next
		}
	})
	response, err := http.DefaultClient.Do(p.request(t, http.MethodGet, ""))
	assert.NilError(t, err)
	for i := range 3 {
		piece := make([]byte, 1)
		_, err := io.ReadFull(response.Body, piece)
		assert.NilError(t, err)
		assert.Equal(t, string(piece), fmt.Sprint(i))
		next <- struct{}{}
	}
}

// A caller that leaves does not free the slot: the server still runs the request.
func TestSlotIsHeldUntilTheServerHasFinished(t *testing.T) {
	begun, finish := make(chan struct{}), make(chan struct{})
	p := newProxy(t, func(http.ResponseWriter, *http.Request) {
		close(begun)
		<-finish
	})
	ctx, leave := context.WithCancel(context.Background())
	left := make(chan struct{})
	r := p.request(t, http.MethodGet, "").WithContext(ctx)
	context.AfterFunc(ctx, func() { close(left) })
	time.AfterFunc(0, func() {
		<-begun
		leave()
	})
	_, err := http.DefaultClient.Do(r)
	assert.ErrorIs(t, err, context.Canceled)
	<-left
	select {
	case e := <-p.controller.events:
		t.Fatalf("the slot was freed early by %v", e)
	case <-time.After(50 * time.Millisecond):
	}
	close(finish)
	assert.Equal(t, p.controller.awaitEnded(t), scheduler.ExchangeComplete)
}

func TestTimeoutOutcomeIsUnknown(t *testing.T) {
	finish := make(chan struct{})
	p := newProxy(t, func(http.ResponseWriter, *http.Request) { <-finish })
	response, err := http.DefaultClient.Do(p.request(t, http.MethodGet, "", "Prefer", "wait=0.05"))
	assert.NilError(t, err)
	problem := problemOf(t, response)
	assert.Equal(t, response.StatusCode, http.StatusGatewayTimeout)
	assert.Equal(t, problem.Outcome, "unknown")
	close(finish)
	assert.Equal(t, p.controller.awaitEnded(t), scheduler.ExchangeComplete)
}

// A caller whose body stalls got no answer: the response waited for the read of the body.
func TestACallerWhoseBodyStallsIsAnsweredAtItsDeadline(t *testing.T) {
	p := newProxy(t, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	conn, err := net.Dial("tcp", p.entry.Listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\n"+messenger.HeaderPlan+": p\r\nPrefer: wait=0.1\r\nContent-Length: 2\r\n\r\nx")
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	problem := problemOf(t, response)
	assert.Equal(t, response.StatusCode, http.StatusGatewayTimeout)
	assert.Equal(t, problem.Outcome, "unknown")
	assert.Equal(t, p.controller.awaitEnded(t), scheduler.ExchangeBroken)
}

func TestInvalidRequestHeaders(t *testing.T) {
	p := newProxy(t, func(http.ResponseWriter, *http.Request) { t.Error("the server was reached") })
	cases := []struct {
		name   string
		header []string
		status int
		reason string
	}{
		{"no plan", []string{messenger.HeaderPlan, ""}, 400, "header-missing"},
		{"upgrade", []string{"Upgrade", "websocket", "Connection", "Upgrade"}, 501, "upgrade-unsupported"},
		{"unknown kind", []string{messenger.HeaderKind, "dance"}, 400, "header-invalid"},
		{"wait is no number", []string{"Prefer", "wait=soon"}, 400, "header-invalid"},
		{"wait is negative", []string{"Prefer", "wait=-1"}, 400, "header-invalid"},
		{"wait is endless", []string{"Prefer", "wait=1e9"}, 400, "header-invalid"},
	}
	for _, c := range cases {
		response, err := http.DefaultClient.Do(p.request(t, http.MethodGet, "", c.header...))
		assert.NilError(t, err)
		problem := problemOf(t, response)
		assert.Equal(t, response.StatusCode, c.status, c.name)
		assert.Equal(t, problem.Reason, c.reason, c.name)
		assert.Equal(t, problem.Outcome, "not-run", c.name)
		assert.Equal(t, response.Header.Get("Content-Type"), messenger.ProblemType, c.name)
	}
}

func TestInvalidHeadersOfForwardedRequests(t *testing.T) {
	d := &fakeController{}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	a := admitter.New(d, admitter.Transports{}, &d.Waiters, logger)
	a.Trusted = true
	good := map[string]string{"Endivelock-Hops": "1", messenger.HeaderWork: "w", "Endivelock-Deadline": "100"}
	cases := []struct{ name, header, value, reason string }{
		{"no hops", "Endivelock-Hops", "", "header-invalid"},
		{"hops are no number", "Endivelock-Hops", "many", "header-invalid"},
		{"hops are not positive", "Endivelock-Hops", "0", "header-invalid"},
		{"no identifier", messenger.HeaderWork, "", "header-missing"},
		{"deadline is no number", "Endivelock-Deadline", "soon", "header-invalid"},
		{"deadline is negative", "Endivelock-Deadline", "-5", "header-invalid"},
	}
	for _, c := range cases {
		r := httptest.NewRequest(http.MethodGet, "/", nil)
		for name, value := range good {
			r.Header.Set(name, value)
		}
		r.Header.Set(c.header, c.value)
		w := httptest.NewRecorder()
		a.ServeHTTP(w, r)
		assert.Equal(t, w.Code, http.StatusBadRequest, c.name)
		problem := problemOf(t, w.Result())
		assert.Equal(t, problem.Reason, c.reason, c.name)
		assert.Equal(t, problem.Outcome, "not-run", c.name)
	}
}

func TestRefusalHasOutcomeNotRunAndRetryAfter(t *testing.T) {
	p := newProxy(t, func(http.ResponseWriter, *http.Request) { t.Error("the server was reached") })
	cases := map[scheduler.Reason]int{
		scheduler.ReasonAllowance:    http.StatusTooManyRequests,
		scheduler.ReasonNoPlan:       http.StatusForbidden,
		scheduler.ReasonQueueTimeout: http.StatusServiceUnavailable,
		scheduler.ReasonDeadline:     http.StatusGatewayTimeout,
	}
	for reason, status := range cases {
		p.controller.decide = func(id string) scheduler.Effect {
			return scheduler.Refuse{Request: id, Reason: reason, RetryAfter: 1500 * time.Millisecond}
		}
		response, err := http.DefaultClient.Do(p.request(t, http.MethodPost, "body"))
		assert.NilError(t, err)
		problem := problemOf(t, response)
		assert.Equal(t, response.StatusCode, status, string(reason))
		assert.Equal(t, problem.Outcome, "not-run", string(reason))
		assert.Equal(t, response.Header.Get("Retry-After"), "2", string(reason))
	}
}

// observer counts requests that were placed and that were not.
type observer struct{ good, bad atomic.Int64 }

func (o *observer) Observe(_ time.Duration, good bool) {
	if good {
		o.good.Add(1)
		return
	}
	o.bad.Add(1)
}

// One unreachable server made a request count towards the objective once for each attempt.
func TestARequestThatIsPlacedAgainCountsOnce(t *testing.T) {
	p := newProxy(t, func(http.ResponseWriter, *http.Request) {})
	var seen observer
	p.admitter.Observer = &seen
	away := httptest.NewServer(http.NotFoundHandler())
	away.Close()
	place := p.controller.decide
	p.controller.decide = func(id string) scheduler.Effect {
		return scheduler.Place{Request: id, Server: "away", Address: away.Listener.Addr().String(), Until: time.Now().Add(time.Minute)}
	}
	var group errgroup.Group
	group.Go(func() error {
		for range 3 {
			ended := (<-p.controller.events).(scheduler.RequestEnded)
			p.controller.Decide(ended.Request, p.controller.decide(ended.Request))
		}
		ended := (<-p.controller.events).(scheduler.RequestEnded)
		p.controller.Decide(ended.Request, place(ended.Request))
		return nil
	})
	response, err := http.DefaultClient.Do(p.request(t, http.MethodGet, ""))
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.NilError(t, group.Wait())
	assert.Equal(t, seen.good.Load(), int64(1))
	assert.Equal(t, seen.bad.Load(), int64(0))
	assert.Equal(t, p.admitter.PlacementWait.Count(), int64(1))
}

// A request that another entry refused and this one placed counted as a good and a bad one.
func TestARequestThatAnotherEntryRefusesCountsOnce(t *testing.T) {
	var seen observer
	other := newProxy(t, func(http.ResponseWriter, *http.Request) { t.Error("the server was reached") })
	other.admitter.Trusted, other.admitter.Observer = true, &seen
	other.controller.decide = func(id string) scheduler.Effect {
		return scheduler.Refuse{Request: id, Reason: scheduler.ReasonNoFreeSlot}
	}
	p := newProxy(t, func(http.ResponseWriter, *http.Request) {})
	p.admitter.Observer = &seen
	place := p.controller.decide
	p.controller.decide = func(id string) scheduler.Effect {
		return scheduler.Forward{Request: id, Entry: scheduler.Entry{ID: scheduler.EntryID{Name: "b"}, Forward: other.entry.Listener.Addr().String()}}
	}
	var group errgroup.Group
	group.Go(func() error {
		ended := (<-p.controller.events).(scheduler.ForwardEnded)
		p.controller.Decide(ended.Request, place(ended.Request))
		return nil
	})
	response, err := http.DefaultClient.Do(p.request(t, http.MethodGet, ""))
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.NilError(t, group.Wait())
	assert.Equal(t, seen.good.Load(), int64(1))
	assert.Equal(t, seen.bad.Load(), int64(0))
}
