// Package admitter takes callers' requests: it asks the control thread for a
// decision, lets the request go where the decision says, and reports how it
// ended. Bodies stream through in both directions and are never kept.
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

// Headers between entries.
const (
	headerHops     = "Endivelock-Hops"
	headerDeadline = "Endivelock-Deadline" // remaining milliseconds
	headerTried    = "Endivelock-Tried"
	headerTiming   = "Server-Timing"
)

// kindStanding is the kind of a request whose answer is a stream without end.
const kindStanding = "standing"

const (
	// defaultPatience is a caller's deadline if it names none.
	defaultPatience = 10 * time.Second
	// maxPatience bounds a caller's deadline.
	maxPatience = 10 * time.Minute
	// maxTried bounds the list of entries that a forwarded request names.
	maxTried = 16
)

// Controller decides.
type Controller interface {
	// Submit takes an event; it may block for a short while.
	Submit(e scheduler.Event)
	// Snapshot returns the last published state.
	Snapshot() scheduler.State
}

// Exchanger sends one request to an address.
type Exchanger interface {
	// RoundTrip sends a request once and returns the head of the answer. An
	// error that is not a *dispatcher.Fault counts as one after the sending.
	RoundTrip(request *http.Request) (*http.Response, error)
}

// Exchangers are the ways to the two kinds of next hop.
type Exchangers struct {
	Servers Exchanger
	Entries Exchanger
}

// Observer learns how requests fared against the service-level objective.
type Observer interface {
	// Observe counts one request; good tells that it was placed.
	Observe(waited time.Duration, good bool)
}

// Admitter is the handler of the callers' and the forward listeners. Create it
// with New.
type Admitter struct {
	Controller Controller
	Exchangers Exchangers
	Logger     logrus.FieldLogger
	Waited     metrics.Timer // time before placement
	Counts     metrics.Registry
	Observer   Observer
	Trusted    bool // the listener is for other entries, whose headers count

	desk  *Desk
	group *errgroup.Group
}

// New returns an admitter that finds its decisions at a desk.
func New(c Controller, x Exchangers, desk *Desk, logger logrus.FieldLogger) *Admitter {
	return &Admitter{
		Controller: c,
		Exchangers: x,
		Logger:     logger,
		Waited:     metrics.NewTimer(),
		Counts:     metrics.NewRegistry(),
		desk:       desk,
		group:      &errgroup.Group{},
	}
}

// Desk hands decisions to waiting requests. The zero value works.
type Desk struct {
	mu      sync.Mutex
	waiting map[string]chan scheduler.Effect
}

// Decide hands a decision to a request. Without a waiter it is
// dropped; it never blocks.
func (d *Desk) Decide(request string, decision scheduler.Effect) {
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

// wait registers a request. The control thread gives one decision at a time,
// so a buffer of one is enough.
func (d *Desk) wait(request string) (<-chan scheduler.Effect, bool) {
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

func (d *Desk) leave(request string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.waiting, request)
}

// Wait returns when no exchange outlives its caller any more.
func (a *Admitter) Wait() {
	_ = a.group.Wait()
}

// ServeHTTP serves one request of a caller or of another entry.
func (a *Admitter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	v := &visit{admitter: a, w: w, r: r, body: &countedBody{inner: r.Body}, arrived: time.Now()}
	if a.Controller.Snapshot().Draining {
		w.Header().Set("Connection", "close")
	}
	if problem := v.read(a.Trusted); problem != nil {
		v.write(*problem, 0)
		return
	}
	v.serve()
}

// visit is one request while it is in the hands of a traffic goroutine.
type visit struct {
	admitter *Admitter
	w        http.ResponseWriter
	r        *http.Request
	body     *countedBody
	arrived  time.Time
	request  scheduler.Request
	decided  <-chan scheduler.Effect
}

// read checks the head of the request.
func (v *visit) read(trusted bool) *messenger.Problem {
	if v.r.Method == http.MethodConnect || v.r.Header.Get("Upgrade") != "" {
		return v.problem(http.StatusNotImplemented, "upgrade-unsupported", "protocol upgrades are not supported")
	}
	patience, err := patienceOf(v.r.Header, trusted)
	if err != nil {
		return v.problem(http.StatusBadRequest, "header-invalid", err.Error())
	}
	kind := v.r.Header.Get(messenger.HeaderKind)
	if kind != "" && kind != kindStanding {
		return v.problem(http.StatusBadRequest, "header-invalid", "header "+messenger.HeaderKind+" has value "+strconv.Quote(kind)+`, allowed is "standing"`)
	}
	v.request = scheduler.Request{
		ID:         uuid.NewString(),
		Plan:       v.r.Header.Get(messenger.HeaderPlan),
		Deadline:   v.arrived.Add(patience),
		Standing:   kind == kindStanding,
		Repeatable: v.r.Header.Get(messenger.HeaderOnce) != "true",
	}
	if trusted {
		return v.readTrusted()
	}
	if v.request.Plan == "" {
		return v.problem(http.StatusBadRequest, "header-missing", "header "+messenger.HeaderPlan+" is missing")
	}
	return nil
}

func (v *visit) readTrusted() *messenger.Problem {
	hops, err := strconv.Atoi(v.r.Header.Get(headerHops))
	if err != nil || hops < 1 {
		return v.problem(http.StatusBadRequest, "header-invalid", "header "+headerHops+" is not a positive number")
	}
	id := v.r.Header.Get(messenger.HeaderWork)
	if id == "" {
		return v.problem(http.StatusBadRequest, "header-missing", "header "+messenger.HeaderWork+" is missing")
	}
	v.request.ID = id
	v.request.Hops = hops
	tried := strings.Fields(v.r.Header.Get(headerTried))
	v.request.Tried = tried[:min(len(tried), maxTried)]
	return nil
}

// patienceOf returns how long the caller waits: from the preference "wait" in
// seconds (RFC 7240), or between entries in milliseconds.
func patienceOf(h http.Header, trusted bool) (time.Duration, error) {
	if text := h.Get(headerDeadline); trusted && text != "" {
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil || n < 0 {
			return 0, fmt.Errorf("header %s has value %q, allowed is a number of milliseconds", headerDeadline, text)
		}
		return min(time.Duration(n)*time.Millisecond, maxPatience), nil
	}
	for _, value := range h.Values("Prefer") {
		for part := range strings.SplitSeq(value, ",") {
			text, ok := strings.CutPrefix(strings.TrimSpace(part), "wait=")
			if !ok {
				continue
			}
			n, err := strconv.ParseFloat(text, 64)
			if err != nil || n <= 0 || n > maxPatience.Seconds() {
				return 0, fmt.Errorf("preference wait has value %q, allowed are seconds up to %v", text, maxPatience.Seconds())
			}
			return time.Duration(n * float64(time.Second)), nil
		}
	}
	return defaultPatience, nil
}

// serve asks for decisions until one of them settles the request.
func (v *visit) serve() {
	a := v.admitter
	decided, ok := a.desk.wait(v.request.ID)
	if !ok {
		v.write(*v.problem(http.StatusConflict, "work-repeated", "a request with this identifier is in progress"), 0)
		return
	}
	v.decided = decided
	defer a.desk.leave(v.request.ID)
	a.Controller.Submit(scheduler.RequestArrived{Request: v.request})
	for {
		var settled bool
		switch d := v.await().(type) {
		case scheduler.Place:
			settled = v.toServer(d)
		case scheduler.Forward:
			settled = v.toEntry(d)
		case scheduler.Refuse:
			v.refuse(d)
			settled = true
		}
		if settled {
			return
		}
	}
}

// await returns the next decision. A caller that has gone is reported; the
// decision that follows still has to be taken.
func (v *visit) await() scheduler.Effect {
	select {
	case d := <-v.decided:
		return d
	case <-v.r.Context().Done():
	}
	v.admitter.Controller.Submit(scheduler.RequestLeft{Request: v.request.ID})
	return <-v.decided
}

func (v *visit) ended(end scheduler.EndKind) {
	v.admitter.Controller.Submit(scheduler.RequestEnded{Request: v.request.ID, End: end})
}

func (v *visit) observe(waited time.Duration, good bool) {
	if o := v.admitter.Observer; o != nil {
		o.Observe(waited, good)
	}
}

func (v *visit) count(name string) {
	metrics.GetOrRegisterCounter(name, v.admitter.Counts).Inc(1)
}

// exchangeContext lives until the exchange must end, whether or not the caller
// stays: an abandoned exchange would leave its slot in an unknown state.
func exchangeContext(until time.Time) (context.Context, context.CancelFunc) {
	return context.WithDeadline(context.Background(), until)
}
