// Package generator sends load to entries. Arrivals are open-loop: a request does
// not wait for the response to the one before, so that a slow system cannot lower
// the load and hide its latency (coordinated omission). The generator verifies
// each response and records the outcome that the caller was told, to be compared
// with the servers' own records.
package generator

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"github.com/endivelock/endivelock/internal/emulator"
	"github.com/endivelock/endivelock/pkg/messenger"
)

const (
	maxLatencyMicros  = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
	maxInFlight       = 20000
	readinessPeriod   = 100 * time.Millisecond
	maxAttempts       = 8
)

// Kind is a kind of request in a mix.
type Kind struct {
	Plan          string        `yaml:"plan"`
	Weight        int           `yaml:"weight"`
	ServiceTime   time.Duration `yaml:"take"`  // time that the server works on the request
	ResponseBytes int64         `yaml:"bytes"` // length of the response's body
	RequestBytes  int64         `yaml:"body"`  // length of the request's body, 0 for a GET
	Once          bool          `yaml:"once"`  // must not run twice
}

// Load describes what to send.
type Load struct {
	Targets       []string      `yaml:"targets"` // callers' listeners of entries
	Direct        string        `yaml:"direct"`  // a reference server, for comparison
	Rate          float64       `yaml:"rate"`    // requests per second
	Duration      time.Duration `yaml:"duration"`
	Mix           []Kind        `yaml:"mix"`
	CallerTimeout time.Duration `yaml:"wait"` // time that callers wait for a response, 0 for no limit
}

// Outcome is what the caller was told about a request.
type Outcome int

// Outcomes of a request.
const (
	OutcomeUnknown Outcome = iota // it may have run
	OutcomeRan
	OutcomeNotRun
)

// RequestResult is the result of one request as the caller saw it.
type RequestResult struct {
	ID      string
	Outcome Outcome
	Once    bool
	Status  int
	Reason  string
}

// Result is the result of a run.
type Result struct {
	Sent     int64
	Ran      int64
	Refused  int64
	Unknown  int64
	Wrong    int64
	Dropped  int64 // arrivals dropped because of too many requests in flight
	Reasons  map[string]int64
	Requests []RequestResult
	Wait     *hdrhistogram.Histogram // microseconds queued before placement, as reported by entries
	Path     *hdrhistogram.Histogram // microseconds through an entry, without the service time
	Direct   *hdrhistogram.Histogram // microseconds to the reference server, without the service time
}

// Generator runs one load. Create it with New.
type Generator struct {
	load   Load
	client *http.Client

	mu         sync.Mutex
	result     Result
	ready      []string
	nextTarget int
}

// New returns a generator of the load.
func New(l Load) *Generator {
	dialer := &net.Dialer{Timeout: time.Second}
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatencyMicros, significantDigits) }
	return &Generator{
		load:  l,
		ready: l.Targets,
		client: &http.Client{Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: 512,
			DisableCompression:  true,
		}},
		result: Result{Reasons: map[string]int64{}, Wait: histogram(), Path: histogram(), Direct: histogram()},
	}
}

// Run sends the load and waits for the last response.
func (g *Generator) Run(ctx context.Context) *Result {
	watching, cancel := context.WithCancel(ctx)
	var checks errgroup.Group
	checks.Go(func() error {
		g.watchReadiness(watching)
		return nil
	})
	g.generateArrivals(ctx)
	cancel()
	_ = checks.Wait()
	g.client.CloseIdleConnections()
	return &g.result
}

// generateArrivals sends requests at exponentially distributed intervals.
func (g *Generator) generateArrivals(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(maxInFlight)
	begin := time.Now()
	elapsed := time.Duration(0)
	for n := int64(0); elapsed < g.load.Duration && ctx.Err() == nil; n++ {
		elapsed += time.Duration(rand.ExpFloat64() / g.load.Rate * float64(time.Second))
		due := begin.Add(elapsed)
		if d := time.Until(due); d > 0 {
			time.Sleep(d)
		}
		kind := g.pickKind()
		direct := g.load.Direct != "" && n%20 == 0
		started := group.TryGo(func() error {
			g.send(ctx, kind, due, direct)
			return nil
		})
		if !started {
			g.update(func(r *Result) { r.Dropped++ })
		}
	}
	_ = group.Wait()
}

func (g *Generator) pickKind() Kind {
	total := 0
	for _, k := range g.load.Mix {
		total += k.Weight
	}
	n := rand.IntN(total)
	for _, k := range g.load.Mix {
		if n -= k.Weight; n < 0 {
			return k
		}
	}
	return g.load.Mix[0]
}

// watchReadiness emulates the platform's load balancer: it polls the entries and
// directs requests to those that are ready.
func (g *Generator) watchReadiness(ctx context.Context) {
	ticker := time.NewTicker(readinessPeriod)
	defer ticker.Stop()
	client := &http.Client{Timeout: readinessPeriod}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		var ready []string
		for _, target := range g.load.Targets {
			response, err := client.Get("http://" + target + "/-/readyz")
			if err != nil {
				continue
			}
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				ready = append(ready, target)
			}
		}
		g.mu.Lock()
		g.ready = ready
		g.mu.Unlock()
	}
}

// target returns the next ready entry in turn, or any entry if none is ready.
func (g *Generator) target() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	targets := g.ready
	if len(targets) == 0 {
		targets = g.load.Targets
	}
	g.nextTarget++
	return targets[g.nextTarget%len(targets)]
}

func (g *Generator) update(change func(r *Result)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change(&g.result)
}

// send sends one request and records its result. Latency counts from due, so that
// delays of the generator are included.
func (g *Generator) send(ctx context.Context, k Kind, due time.Time, direct bool) {
	id := uuid.NewString()
	response, err := g.exchange(ctx, k, id, direct)
	if direct {
		g.recordDirect(response, err, k, id, due)
		return
	}
	result := RequestResult{ID: id, Once: k.Once}
	if err != nil {
		result.Reason = "connection: " + rootCause(err)
		if connectionRefused(err) {
			result.Outcome = OutcomeNotRun
		}
		g.record(result, 0, 0)
		return
	}
	defer func() { _ = response.Body.Close() }()
	result.Status = response.StatusCode
	wrong := false
	result.Outcome, wrong = readOutcome(response, k, id, &result.Reason)
	if wrong {
		g.update(func(r *Result) { r.Wrong++ })
	}
	g.record(result, queueWait(response.Header), time.Since(due)-k.ServiceTime)
}

// rootCause returns the innermost part of an error's text.
func rootCause(err error) string {
	text := err.Error()
	return text[strings.LastIndex(text, ": ")+1:]
}

// exchange sends a request. If the connection is refused, it retries with another
// entry, as the platform's load balancer does.
func (g *Generator) exchange(ctx context.Context, k Kind, id string, direct bool) (*http.Response, error) {
	var response *http.Response
	err := errors.New("no target")
	for range maxAttempts {
		target := g.load.Direct
		if !direct {
			target = g.target()
		}
		var request *http.Request
		request, err = g.request(ctx, k, id, target)
		if err != nil {
			return nil, err
		}
		response, err = g.client.Do(request)
		if err == nil || !connectionRefused(err) {
			break
		}
	}
	return response, err
}

func connectionRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

// request returns a request for a target. Its body is never nil and cannot be
// rewound: net/http would otherwise resend a GET itself when an entry dies with
// the request in flight, and a refusal of the second attempt would then be taken
// for the outcome of the first.
func (g *Generator) request(ctx context.Context, k Kind, id, target string) (*http.Request, error) {
	method := http.MethodGet
	if k.RequestBytes > 0 {
		method = http.MethodPost
	}
	body := io.NopCloser(bytes.NewReader(make([]byte, k.RequestBytes)))
	request, err := http.NewRequestWithContext(ctx, method, "http://"+target+"/quote", body)
	if err != nil {
		return nil, err
	}
	request.ContentLength = k.RequestBytes
	request.Header.Set(messenger.HeaderPlan, k.Plan)
	if k.Once {
		request.Header.Set(messenger.HeaderOnce, "true")
	}
	if g.load.CallerTimeout > 0 {
		request.Header.Set("Prefer", "wait="+strconv.FormatFloat(g.load.CallerTimeout.Seconds(), 'f', 3, 64))
	}
	request.Header.Set(emulator.HeaderRequest, id)
	request.Header.Set(emulator.HeaderTake, k.ServiceTime.String())
	request.Header.Set(emulator.HeaderBytes, strconv.FormatInt(k.ResponseBytes, 10))
	return request, nil
}

// readOutcome returns the outcome that a response tells the caller, and whether the
// response is wrong, that is, not the one to this request. It sets the reason of
// an outcome other than OutcomeRan.
func readOutcome(response *http.Response, k Kind, id string, reason *string) (Outcome, bool) {
	outcome := response.Header.Get(messenger.HeaderOutcome)
	switch {
	case outcome == "not-run":
		*reason = response.Status
		return OutcomeNotRun, false
	case response.StatusCode != http.StatusOK:
		*reason = response.Status
		return OutcomeUnknown, false
	case response.Header.Get(emulator.HeaderRequest) != id:
		return OutcomeRan, true
	}
	if err := emulator.CheckResponse(response.Body, id, k.ResponseBytes); err != nil {
		if strings.Contains(err.Error(), "answer to") {
			return OutcomeRan, true
		}
		*reason = "answer broke off: " + rootCause(err)
		return OutcomeUnknown, false
	}
	return OutcomeRan, false
}

// recordDirect records the latency of a request to the reference server.
func (g *Generator) recordDirect(response *http.Response, err error, k Kind, id string, due time.Time) {
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	if emulator.CheckResponse(response.Body, id, k.ResponseBytes) != nil {
		return
	}
	g.update(func(r *Result) { _ = r.Direct.RecordValue((time.Since(due) - k.ServiceTime).Microseconds()) })
}

func (g *Generator) record(request RequestResult, wait, path time.Duration) {
	g.update(func(r *Result) {
		r.Sent++
		r.Requests = append(r.Requests, request)
		if request.Reason != "" {
			r.Reasons[request.Reason]++
		}
		switch request.Outcome {
		case OutcomeRan:
			r.Ran++
			_ = r.Wait.RecordValue(wait.Microseconds())
			_ = r.Path.RecordValue(path.Microseconds())
		case OutcomeNotRun:
			r.Refused++
		default:
			r.Unknown++
		}
	})
}

// queueWait returns the queueing time that an entry reports in Server-Timing.
func queueWait(h http.Header) time.Duration {
	text, ok := strings.CutPrefix(h.Get("Server-Timing"), "wait;dur=")
	if !ok {
		return 0
	}
	ms, _ := strconv.ParseFloat(text, 64)
	return time.Duration(ms * float64(time.Millisecond))
}

// Counts are the numbers of violations according to the servers' own records. All
// must be 0.
type Counts struct {
	Doubled       int `json:"doubled"`         // requests with Once that ran more than once
	Lost          int `json:"lost"`            // requests reported as run that did not run
	RefusedButRan int `json:"refused_but_ran"` // requests reported as not run that ran
}

// Compare compares the outcomes that callers were told with how often each request
// ran according to the servers.
func Compare(requests []RequestResult, ran map[string]int) Counts {
	var c Counts
	for _, r := range requests {
		n := ran[r.ID]
		if r.Once && n > 1 {
			c.Doubled++
		}
		if r.Outcome == OutcomeRan && n == 0 {
			c.Lost++
		}
		if r.Outcome == OutcomeNotRun && n > 0 {
			c.RefusedButRan++
		}
	}
	return c
}
