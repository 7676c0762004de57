// Package admitter is the reverse proxy in front of the backend servers. It
// submits each request to the control thread, sends it to the backend server or
// the entry that the decision names, and reports to the control thread how the
// exchange ended. Bodies are streamed in both directions and never buffered as a
// whole.
//
// Admitter is the HTTP handler; Waiters delivers the decisions of the control thread
// to the requests that wait for them. Package dispatcher makes the connections.
package admitter

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/endivelock/endivelock/internal/scheduler"
	"github.com/endivelock/endivelock/pkg/messenger"
)

// Headers of requests that one entry forwards to another.
const (
	headerHops     = "Endivelock-Hops"
	headerDeadline = "Endivelock-Deadline" // remaining milliseconds
	headerTried    = "Endivelock-Tried"    // entries that have seen the request
	headerTiming   = "Server-Timing"
)

// kindStream is the kind of a request whose response is an endless stream.
const kindStream = "standing"

const (
	// defaultTimeout applies to a caller that names no timeout.
	defaultTimeout = 10 * time.Second
	// maxTimeout bounds a caller's timeout.
	maxTimeout = 10 * time.Minute
	// bodyGrace is how long after a deadline a request's body may still be read, so that the caller gets the
	// answer that belongs to the deadline.
	bodyGrace = time.Second
	// maxTried bounds the entries that are read from headerTried.
	maxTried = 16
)

// Controller is the control thread, which decides about requests.
type Controller interface {
	// Submit queues an event. It blocks while the queue is full.
	Submit(e scheduler.Event)
	// Snapshot returns the last published state.
	Snapshot() scheduler.State
}

// Transport sends requests.
type Transport interface {
	// RoundTrip sends a request once and returns the response with its body
	// unread. After an error that is not a *dispatcher.Error, the request is taken
	// to have been sent.
	RoundTrip(request *http.Request) (*http.Response, error)
}

// Transports are the transports to the two kinds of next hop.
type Transports struct {
	Servers Transport
	Entries Transport
}

// Observer counts requests for the service-level objective.
type Observer interface {
	// Observe counts one request, with its time before the decision and whether it
	// was placed.
	Observe(waited time.Duration, good bool)
}

// Admitter is the HTTP handler of the listeners for callers and for forwarded
// requests. Create it with New.
type Admitter struct {
	Controller    Controller
	Transports    Transports
	Logger        logrus.FieldLogger
	PlacementWait metrics.Timer // time before placement
	Counters      metrics.Registry
	Observer      Observer
	Trusted       bool // requests come from other entries, whose headers are honored

	waiters *Waiters
	group   *errgroup.Group
}

// New returns an admitter that receives its decisions through Waiters.
func New(c Controller, transports Transports, waiters *Waiters, logger logrus.FieldLogger) *Admitter {
	return &Admitter{
		Controller:    c,
		Transports:    transports,
		Logger:        logger,
		PlacementWait: metrics.NewTimer(),
		Counters:      metrics.NewRegistry(),
		waiters:       waiters,
		group:         &errgroup.Group{},
	}
}

// Waiters delivers decisions to the requests that wait for them. The zero value is
// ready to use.
type Waiters struct {
	mu      sync.Mutex
	waiting map[string]chan scheduler.Effect
}

// Decide delivers a decision to a request. It never blocks: if the request does
// not wait, the decision is dropped.
func (d *Waiters) Decide(request string, decision scheduler.Effect) {
	d.mu.Lock()
	waiter := d.waiting[request]
	d.mu.Unlock()
	if waiter == nil {
		return
	}
	select {
	case waiter <- decision:
	default:
	}
}

// register returns the channel of a request's decisions, and false if a request
// with this identifier is registered already. A buffer of one is enough: the
// control thread makes one decision at a time for a request.
func (d *Waiters) register(request string) (<-chan scheduler.Effect, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.waiting == nil {
		d.waiting = map[string]chan scheduler.Effect{}
	}
	if d.waiting[request] != nil {
		return nil, false
	}
	decisions := make(chan scheduler.Effect, 1)
	d.waiting[request] = decisions
	return decisions, true
}

func (d *Waiters) unregister(request string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.waiting, request)
}

// Wait waits for the exchanges whose callers have left.
func (a *Admitter) Wait() {
	_ = a.group.Wait()
}

// ServeHTTP implements http.Handler.
func (a *Admitter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	v := &inflight{admitter: a, w: w, r: r, body: &countingBody{inner: r.Body}, arrived: time.Now()}
	if a.Controller.Snapshot().Draining {
		w.Header().Set("Connection", "close")
	}
	if problem := v.readHeader(a.Trusted); problem != nil {
		v.writeProblem(*problem, 0)
		return
	}
	v.readUntil(v.request.Deadline.Add(bodyGrace))
	v.serve()
}

// inflight is a request in flight. It belongs to the goroutine that serves it.
type inflight struct {
	admitter  *Admitter
	w         http.ResponseWriter
	r         *http.Request
	body      *countingBody
	arrived   time.Time
	request   scheduler.Request
	decisions <-chan scheduler.Effect
}

// readHeader validates the request header and fills in f.request.
func (f *inflight) readHeader(trusted bool) *messenger.Problem {
	if f.r.Method == http.MethodConnect || f.r.Header.Get("Upgrade") != "" {
		return f.problem(http.StatusNotImplemented, "upgrade-unsupported", "protocol upgrades are not supported")
	}
	timeout, err := timeoutOf(f.r.Header, trusted)
	if err != nil {
		return f.problem(http.StatusBadRequest, "header-invalid", err.Error())
	}
	kind := f.r.Header.Get(messenger.HeaderKind)
	if kind != "" && kind != kindStream {
		return f.problem(http.StatusBadRequest, "header-invalid", "header "+messenger.HeaderKind+" has value "+strconv.Quote(kind)+`, allowed is "standing"`)
	}
	f.request = scheduler.Request{
		ID:         uuid.NewString(),
		Plan:       f.r.Header.Get(messenger.HeaderPlan),
		Deadline:   f.arrived.Add(timeout),
		Standing:   kind == kindStream,
		Repeatable: f.r.Header.Get(messenger.HeaderOnce) != "true",
	}
	if trusted {
		return f.readForwardHeader()
	}
	if f.request.Plan == "" {
		return f.problem(http.StatusBadRequest, "header-missing", "header "+messenger.HeaderPlan+" is missing")
	}
	return nil
}

func (f *inflight) readForwardHeader() *messenger.Problem {
	hops, err := strconv.Atoi(f.r.Header.Get(headerHops))
	if err != nil || hops < 1 {
		return f.problem(http.StatusBadRequest, "header-invalid", "header "+headerHops+" is not a positive number")
	}
	id := f.r.Header.Get(messenger.HeaderWork)
	if id == "" {
		return f.problem(http.StatusBadRequest, "header-missing", "header "+messenger.HeaderWork+" is missing")
	}
	f.request.ID = id
	f.request.Hops = hops
	tried := strings.Fields(f.r.Header.Get(headerTried))
	f.request.Tried = tried[:min(len(tried), maxTried)]
	return nil
}

// timeoutOf returns the caller's timeout: from the preference "wait" in seconds
// (RFC 7240), or between entries from headerDeadline.
func timeoutOf(h http.Header, trusted bool) (time.Duration, error) {
	if text := h.Get(headerDeadline); trusted && text != "" {
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil || n < 0 {
			return 0, fmt.Errorf("header %s has value %q, allowed is a number of milliseconds", headerDeadline, text)
		}
		return min(time.Duration(n)*time.Millisecond, maxTimeout), nil
	}
	for _, value := range h.Values("Prefer") {
		for part := range strings.SplitSeq(value, ",") {
			text, ok := strings.CutPrefix(strings.TrimSpace(part), "wait=")
			if !ok {
				continue
			}
			n, err := strconv.ParseFloat(text, 64)
			if err != nil || n <= 0 || n > maxTimeout.Seconds() {
				return 0, fmt.Errorf("preference wait has value %q, allowed are seconds up to %v", text, maxTimeout.Seconds())
			}
			return time.Duration(n * float64(time.Second)), nil
		}
	}
	return defaultTimeout, nil
}

// serve carries out the decisions about the request until one of them completes
// it.
func (f *inflight) serve() {
	a := f.admitter
	decided, ok := a.waiters.register(f.request.ID)
	if !ok {
		f.writeProblem(*f.problem(http.StatusConflict, "work-repeated", "a request with this identifier is in progress"), 0)
		return
	}
	f.decisions = decided
	defer a.waiters.unregister(f.request.ID)
	a.Controller.Submit(scheduler.RequestArrived{Request: f.request})
	for {
		var completed bool
		switch d := f.awaitDecision().(type) {
		case scheduler.Place:
			completed = f.exchangeWithServer(d)
		case scheduler.Forward:
			completed = f.exchangeWithEntry(d)
		case scheduler.Refuse:
			f.refuse(d)
			completed = true
		}
		if completed {
			return
		}
	}
}

// awaitDecision returns the next decision. If the caller leaves first, it reports
// so to the control thread, whose decision still has to be carried out.
func (f *inflight) awaitDecision() scheduler.Effect {
	select {
	case d := <-f.decisions:
		return d
	case <-f.r.Context().Done():
	}
	f.admitter.Controller.Submit(scheduler.RequestAbandoned{Request: f.request.ID})
	return <-f.decisions
}

func (f *inflight) reportEnded(end scheduler.ExchangeEnd) {
	f.admitter.Controller.Submit(scheduler.RequestEnded{Request: f.request.ID, End: end})
}

func (f *inflight) observe(waited time.Duration, good bool) {
	if o := f.admitter.Observer; o != nil {
		o.Observe(waited, good)
	}
}

// observePlaced counts a request that was placed after a wait. A placement that
// sent nothing is followed by another decision and does not count.
func (f *inflight) observePlaced(waited time.Duration) {
	f.admitter.PlacementWait.Update(waited)
	f.observe(waited, true)
}

// observeRefused counts a refused request, unless the entry that forwarded it
// decides about it again.
func (f *inflight) observeRefused(status int) {
	if f.admitter.Trusted && retryableElsewhere(status) {
		return
	}
	f.observe(time.Since(f.arrived), false)
}

func (f *inflight) count(name string) {
	metrics.GetOrRegisterCounter(name, f.admitter.Counters).Inc(1)
}

// exchangeContext returns a context that ends at the latest end of the exchange,
// not when the caller leaves: if the exchange were abandoned, the state of its
// slot would be unknown.
func exchangeContext(until time.Time) (context.Context, context.CancelFunc) {
	return context.WithDeadline(context.Background(), until)
}
