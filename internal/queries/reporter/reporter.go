// Package reporter answers how the entry fares: metrics as JSON and in the text
// form that scrapers read, and a report on how fast the error budget of the
// service-level objective burns. It reads published values only.
package reporter

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/endivelock/endivelock/internal/scheduler"
	"github.com/endivelock/endivelock/pkg/messenger"
)

const (
	// slotLength is the length of one slot of the history.
	slotLength = 10 * time.Second
	// slotCount is the number of slots kept, six hours.
	slotCount = 6 * 60 * 6
)

// Viewer returns the published control state.
type Viewer interface {
	// Snapshot returns the last published state.
	Snapshot() scheduler.State
}

// slot counts the requests of one stretch of time.
type slot struct {
	index int64
	all   int64
	bad   int64
}

// Reporter gathers and answers. Create it with New.
type Reporter struct {
	viewer   Viewer
	goal     time.Duration
	share    float64
	now      func() time.Time
	started  time.Time
	registry metrics.Registry
	parts    []part

	mu    sync.Mutex
	slots []slot
}

// part is a registry of another package with a prefix for its names.
type part struct {
	prefix   string
	registry metrics.Registry
}

// New returns a reporter for an objective: a share of the requests is to be
// placed within a time.
func New(v Viewer, goal time.Duration, share float64, now func() time.Time) *Reporter {
	r := &Reporter{
		viewer: v, goal: goal, share: share, now: now, started: now(),
		registry: metrics.NewRegistry(), slots: make([]slot, slotCount),
	}
	r.AddGauge("queue.length", func() int64 { return int64(v.Snapshot().Queue.Len()) })
	r.AddGauge("slots.free", func() int64 { return int64(v.Snapshot().FreeSlots()) })
	r.AddGauge("resources.held", func() int64 { return int64(v.Snapshot().Holds.Len()) })
	r.AddGauge("config.offset", func() int64 { return v.Snapshot().Config.Offset })
	r.AddGauge("ledger.offset", func() int64 { return v.Snapshot().Applied })
	r.AddGauge("tranches.resting", func() int64 { return int64(v.Snapshot().Rested.Len()) })
	r.AddGauge("slots.foreign", func() int64 { return int64(v.Snapshot().Digest().Foreign) })
	r.AddGauge("resources.idle", func() int64 { return idle(v.Snapshot()) })
	return r
}

// idle counts resources whose recorded owner is dead.
func idle(s scheduler.State) int64 {
	n := int64(0)
	for _, c := range s.Claims.All() {
		if m, ok := s.Members.Get(c.Owner.String()); ok && m.Dead {
			n++
		}
	}
	return n
}

// Add registers a metric of another part.
func (r *Reporter) Add(name string, metric any) {
	_ = r.registry.Register(name, metric)
}

// AddAll reports the metrics of a registry under a prefix.
func (r *Reporter) AddAll(prefix string, registry metrics.Registry) {
	r.parts = append(r.parts, part{prefix, registry})
}

// AddGauge registers a value that is read when it is asked for.
func (r *Reporter) AddGauge(name string, read func() int64) {
	_ = r.registry.Register(name, metrics.NewFunctionalGauge(read))
}

// Observe counts one request towards the objective. Good tells that it was not
// refused and not lost.
func (r *Reporter) Observe(waited time.Duration, good bool) {
	index := r.now().UnixNano() / int64(slotLength)
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &r.slots[index%slotCount]
	if s.index != index {
		*s = slot{index: index}
	}
	s.all++
	if !good || waited > r.goal {
		s.bad++
	}
}

// Report computes the burn over several windows.
func (r *Reporter) Report() messenger.Report {
	self := r.viewer.Snapshot().Self
	report := messenger.Report{
		Entry: self.ID.Name, Zone: string(self.Zone), Goal: r.goal.String(), Share: r.share,
		Lived: r.now().Sub(r.started).Round(time.Second).String(),
	}
	for _, window := range []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour} {
		report.Windows = append(report.Windows, r.window(window))
	}
	return report
}

func (r *Reporter) window(length time.Duration) messenger.Window {
	last := r.now().UnixNano() / int64(slotLength)
	first := last - int64(length/slotLength) + 1
	w := messenger.Window{Window: length.String()}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.slots {
		if s.index >= first && s.index <= last {
			w.All += s.all
			w.Bad += s.bad
		}
	}
	if w.All > 0 {
		w.Burn = float64(w.Bad) / float64(w.All) / (1 - r.share)
	}
	return w
}

// Routes registers the handlers.
func (r *Reporter) Routes(mux *http.ServeMux) {
	mux.HandleFunc("GET /report", r.serveReport)
	mux.HandleFunc("GET /metrics", r.serveMetrics)
	mux.HandleFunc("GET /metrics.json", r.serveJSON)
}

func (r *Reporter) serveReport(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(r.Report())
}

func (r *Reporter) serveJSON(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	values := map[string]float64{}
	for _, v := range r.values() {
		values[v.name] = v.value
	}
	_ = json.NewEncoder(w).Encode(values)
}

func (r *Reporter) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	for _, v := range r.values() {
		name := "endivelock_" + strings.NewReplacer(".", "_", "-", "_").Replace(v.name)
		_, _ = fmt.Fprintf(w, "%s %g\n", name, v.value)
	}
}

// value is one figure of a metric.
type value struct {
	name  string
	value float64
}

func (r *Reporter) values() []value {
	var values []value
	add := func(prefix string) func(string, any) {
		return func(name string, metric any) {
			values = append(values, valuesOf(prefix+name, metric)...)
		}
	}
	r.registry.Each(add(""))
	for _, p := range r.parts {
		p.registry.Each(add(p.prefix))
	}
	slices.SortFunc(values, func(a, b value) int { return strings.Compare(a.name, b.name) })
	return values
}

func valuesOf(name string, metric any) []value {
	switch m := metric.(type) {
	case metrics.Counter:
		return []value{{name, float64(m.Count())}}
	case metrics.Gauge:
		return []value{{name, float64(m.Value())}}
	case metrics.Timer:
		t := m.Snapshot()
		return []value{
			{name + ".count", float64(t.Count())},
			{name + ".p50.seconds", t.Percentile(0.5) / float64(time.Second)},
			{name + ".p99.seconds", t.Percentile(0.99) / float64(time.Second)},
			{name + ".max.seconds", float64(t.Max()) / float64(time.Second)},
		}
	}
	return nil
}
