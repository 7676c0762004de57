// Package generator makes load on entries. Arrivals are open-loop: the next
// one does not wait for the last, so that a slow system is not measured
// kindly. It checks each answer and keeps what it was told of each request, to
// be compared with the servers' own records.
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
	maxLatency  = int64(10 * time.Minute / time.Microsecond)
	precision   = 3
	maxInFlight = 20000
	checkPeriod = 100 * time.Millisecond
	maxRetries  = 8
)

// Kind is one kind of request in a mix.
type Kind struct {
	Plan   string        `yaml:"plan"`
	Weight int           `yaml:"weight"`
	Take   time.Duration `yaml:"take"`  // work at the server
	Bytes  int64         `yaml:"bytes"` // length of the answer
	Body   int64         `yaml:"body"`  // length of the request's body, 0 for a GET
	Once   bool          `yaml:"once"`  // must not run twice
}

// Load describes what to send.
type Load struct {
	Targets  []string      `yaml:"targets"` // callers' listeners of entries
	Direct   string        `yaml:"direct"`  // a reference server, for comparison
	Rate     float64       `yaml:"rate"`    // requests a second
	Duration time.Duration `yaml:"duration"`
	Mix      []Kind        `yaml:"mix"`
	Wait     time.Duration `yaml:"wait"` // callers' deadline
}

// Told is what the caller was told of a request.
type Told int

// What callers are told.
const (
	ToldUnknown Told = iota
	ToldRan
	ToldNotRun
)

// Fate is one request with what became of it.
type Fate struct {
	ID     string
	Told   Told
	Once   bool
	Status int
	Reason string
}

// Result is what a run brought.
type Result struct {
	Sent    int64
	Ran     int64
	Refused int64
	Unknown int64
	Wrong   int64
	Late    int64 // arrivals dropped because too many were in progress
	Reasons map[string]int64
	Fates   []Fate
	Wait    *hdrhistogram.Histogram // microseconds before placement, as entries report it
	Path    *hdrhistogram.Histogram // microseconds through an entry
	Direct  *hdrhistogram.Histogram // microseconds to the reference server
}

// Generator runs one load. Create it with New.
type Generator struct {
	load   Load
	client *http.Client

	mu     sync.Mutex
	result Result
	ready  []string
	next   int
}

// New returns a generator.
func New(l Load) *Generator {
	dialer := &net.Dialer{Timeout: time.Second}
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatency, precision) }
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

// Run sends the load and waits for the last answer.
func (g *Generator) Run(ctx context.Context) *Result {
	working, cancel := context.WithCancel(ctx)
	var checks errgroup.Group
	checks.Go(func() error {
		g.watch(working)
		return nil
	})
	g.arrive(ctx)
	cancel()
	_ = checks.Wait()
	g.client.CloseIdleConnections()
	return &g.result
}

func (g *Generator) arrive(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(maxInFlight)
	begin := time.Now()
	at := time.Duration(0)
	for n := int64(0); at < g.load.Duration && ctx.Err() == nil; n++ {
		at += time.Duration(rand.ExpFloat64() / g.load.Rate * float64(time.Second))
		due := begin.Add(at)
		if d := time.Until(due); d > 0 {
			time.Sleep(d)
		}
		kind := g.pick()
		direct := g.load.Direct != "" && n%20 == 0
		started := group.TryGo(func() error {
			g.send(ctx, kind, due, direct)
			return nil
		})
		if !started {
			g.count(func(r *Result) { r.Late++ })
		}
	}
	_ = group.Wait()
}

func (g *Generator) pick() Kind {
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

// watch plays the platform's balancer: it turns to the entries that say that
// they are ready.
func (g *Generator) watch(ctx context.Context) {
	ticker := time.NewTicker(checkPeriod)
	defer ticker.Stop()
	client := &http.Client{Timeout: checkPeriod}
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

func (g *Generator) target() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	targets := g.ready
	if len(targets) == 0 {
		targets = g.load.Targets
	}
	g.next++
	return targets[g.next%len(targets)]
}

func (g *Generator) count(change func(r *Result)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change(&g.result)
}

// send makes one request and records what became of it.
func (g *Generator) send(ctx context.Context, k Kind, due time.Time, direct bool) {
	id := uuid.NewString()
	response, err := g.exchange(ctx, k, id, direct)
	if direct {
		g.finishDirect(response, err, k, id, due)
		return
	}
	fate := Fate{ID: id, Once: k.Once}
	if err != nil {
		fate.Reason = "connection: " + cause(err)
		if refused(err) {
			fate.Told = ToldNotRun
		}
		g.settle(fate, 0, 0)
		return
	}
	defer func() { _ = response.Body.Close() }()
	fate.Status = response.StatusCode
	wrong := false
	fate.Told, wrong = told(response, k, id, &fate.Reason)
	if wrong {
		g.count(func(r *Result) { r.Wrong++ })
	}
	g.settle(fate, waitOf(response.Header), time.Since(due)-k.Take)
}

func cause(err error) string {
	text := err.Error()
	return text[strings.LastIndex(text, ": ")+1:]
}

// exchange sends a request, and again to another entry where the connection
// was refused, as the platform's balancer does.
func (g *Generator) exchange(ctx context.Context, k Kind, id string, direct bool) (*http.Response, error) {
	var response *http.Response
	err := errors.New("no target")
	for range maxRetries {
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
		if err == nil || !refused(err) {
			break
		}
	}
	return response, err
}

func refused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

// request returns a request for a target. Its body is never nil and cannot be
// rewound: net/http would otherwise replay a GET by itself when an entry dies
// with the request in progress, and a refusal of the replay would then be taken
// for what became of the work.
func (g *Generator) request(ctx context.Context, k Kind, id, target string) (*http.Request, error) {
	method := http.MethodGet
	if k.Body > 0 {
		method = http.MethodPost
	}
	body := io.NopCloser(bytes.NewReader(make([]byte, k.Body)))
	request, err := http.NewRequestWithContext(ctx, method, "http://"+target+"/quote", body)
	if err != nil {
		return nil, err
	}
	request.ContentLength = k.Body
	request.Header.Set(messenger.HeaderPlan, k.Plan)
	if k.Once {
		request.Header.Set(messenger.HeaderOnce, "true")
	}
	if g.load.Wait > 0 {
		request.Header.Set("Prefer", "wait="+strconv.FormatFloat(g.load.Wait.Seconds(), 'f', 3, 64))
	}
	request.Header.Set(emulator.HeaderRequest, id)
	request.Header.Set(emulator.HeaderTake, k.Take.String())
	request.Header.Set(emulator.HeaderBytes, strconv.FormatInt(k.Bytes, 10))
	return request, nil
}

// told reads an answer: what the caller learns, and whether the answer was
// wrong.
func told(response *http.Response, k Kind, id string, reason *string) (Told, bool) {
	outcome := response.Header.Get(messenger.HeaderOutcome)
	switch {
	case outcome == "not-run":
		*reason = response.Status
		return ToldNotRun, false
	case response.StatusCode != http.StatusOK:
		*reason = response.Status
		return ToldUnknown, false
	case response.Header.Get(emulator.HeaderRequest) != id:
		return ToldRan, true
	}
	if err := emulator.CheckAnswer(response.Body, id, k.Bytes); err != nil {
		if strings.Contains(err.Error(), "answer to") {
			return ToldRan, true
		}
		*reason = "answer broke off: " + cause(err)
		return ToldUnknown, false
	}
	return ToldRan, false
}

func (g *Generator) finishDirect(response *http.Response, err error, k Kind, id string, due time.Time) {
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	if emulator.CheckAnswer(response.Body, id, k.Bytes) != nil {
		return
	}
	g.count(func(r *Result) { _ = r.Direct.RecordValue((time.Since(due) - k.Take).Microseconds()) })
}

func (g *Generator) settle(f Fate, wait, path time.Duration) {
	g.count(func(r *Result) {
		r.Sent++
		r.Fates = append(r.Fates, f)
		if f.Reason != "" {
			r.Reasons[f.Reason]++
		}
		switch f.Told {
		case ToldRan:
			r.Ran++
			_ = r.Wait.RecordValue(wait.Microseconds())
			_ = r.Path.RecordValue(path.Microseconds())
		case ToldNotRun:
			r.Refused++
		default:
			r.Unknown++
		}
	})
}

func waitOf(h http.Header) time.Duration {
	text, ok := strings.CutPrefix(h.Get("Server-Timing"), "wait;dur=")
	if !ok {
		return 0
	}
	ms, _ := strconv.ParseFloat(text, 64)
	return time.Duration(ms * float64(time.Millisecond))
}

// Counts are the violations that must stay 0, by the servers' own records.
type Counts struct {
	Doubled       int `json:"doubled"`         // ran twice though it must not
	Lost          int `json:"lost"`            // the caller was told that it ran, and it did not
	RefusedButRan int `json:"refused_but_ran"` // the caller was told that it was not run, and it was
}

// Compare holds what callers were told against what servers recorded.
func Compare(fates []Fate, ran map[string]int) Counts {
	var c Counts
	for _, f := range fates {
		n := ran[f.ID]
		if f.Once && n > 1 {
			c.Doubled++
		}
		if f.Told == ToldRan && n == 0 {
			c.Lost++
		}
		if f.Told == ToldNotRun && n > 0 {
			c.RefusedButRan++
		}
	}
	return c
}
