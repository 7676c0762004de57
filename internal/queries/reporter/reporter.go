// Package reporter serves the metrics of an entry, as JSON and in the text format
// that metrics scrapers read, and a report on the burn rate of the error budget of
// the service-level objective. It reads published values only.
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
	// bucketLength is the time that one bucket of the history covers.
	bucketLength = 10 * time.Second
	// bucketCount is the number of buckets kept: six hours.
	bucketCount = 6 * 60 * 6
)

// Viewer returns the published control state.
type Viewer interface {
	// Snapshot returns the last published state.
	Snapshot() scheduler.State
}

// bucket counts the requests of one period of bucketLength. Its index is the
// number of that period since the Unix epoch.
type bucket struct {
	index int64
	all   int64
	bad   int64
}

// Reporter collects and serves metrics. Create it with New.
type Reporter struct {
	viewer     Viewer
	goal       time.Duration
	share      float64
	now        func() time.Time
	started    time.Time
	registry   metrics.Registry
	registries []prefixedRegistry

	mu      sync.Mutex
	buckets []bucket
}

// prefixedRegistry is a registry of another package and the prefix that its
// metrics are served under.
type prefixedRegistry struct {
	prefix   string
	registry metrics.Registry
}

// New returns a reporter for the objective that a share of the requests, between 0
// and 1, is placed within the time goal.
func New(v Viewer, goal time.Duration, share float64, now func() time.Time) *Reporter {
	r := &Reporter{
		viewer: v, goal: goal, share: share, now: now, started: now(),
		registry: metrics.NewRegistry(), buckets: make([]bucket, bucketCount),
	}
	r.AddGauge("queue.length", func() int64 { return int64(v.Snapshot().Queue.Len()) })
	r.AddGauge("slots.free", func() int64 { return int64(v.Snapshot().FreeSlots()) })
	r.AddGauge("resources.held", func() int64 { return int64(v.Snapshot().Holds.Len()) })
	r.AddGauge("config.offset", func() int64 { return v.Snapshot().Config.Offset })
	r.AddGauge("ledger.offset", func() int64 { return v.Snapshot().Applied })
	r.AddGauge("tranches.resting", func() int64 { return int64(v.Snapshot().Quarantined.Len()) })
	r.AddGauge("slots.foreign", func() int64 { return int64(v.Snapshot().Digest().Foreign) })
	r.AddGauge("resources.idle", func() int64 { return orphaned(v.Snapshot()) })
	return r
}

// orphaned returns the number of resources whose recorded owner is dead.
func orphaned(s scheduler.State) int64 {
	n := int64(0)
	for _, c := range s.Claims.All() {
		if m, ok := s.Members.Get(c.Owner.String()); ok && m.Dead {
			n++
		}
	}
	return n
}

// Add registers a metric of another package.
func (r *Reporter) Add(name string, metric any) {
	_ = r.registry.Register(name, metric)
}

// AddAll serves the metrics of a registry, with a prefix to their names.
func (r *Reporter) AddAll(prefix string, registry metrics.Registry) {
	r.registries = append(r.registries, prefixedRegistry{prefix, registry})
}

// AddGauge registers a gauge whose value is read when the metrics are served.
func (r *Reporter) AddGauge(name string, read func() int64) {
	_ = r.registry.Register(name, metrics.NewFunctionalGauge(read))
}

// Observe counts one request towards the objective. It is bad if good is false,
// that is if it was refused or lost, or if it waited longer than the goal.
func (r *Reporter) Observe(waited time.Duration, good bool) {
	index := r.now().UnixNano() / int64(bucketLength)
	r.mu.Lock()
	defer r.mu.Unlock()
	b := &r.buckets[index%bucketCount]
	if b.index != index {
		*b = bucket{index: index}
	}
	b.all++
	if !good || waited > r.goal {
		b.bad++
	}
}

// Report returns the burn rate over several windows.
func (r *Reporter) Report() messenger.Report {
	self := r.viewer.Snapshot().Self
	report := messenger.Report{
		Entry: self.ID.Name, Zone: string(self.Zone), Goal: r.goal.String(), Share: r.share,
		Uptime: r.now().Sub(r.started).Round(time.Second).String(),
	}
	for _, window := range []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour} {
		report.Windows = append(report.Windows, r.window(window))
	}
	return report
}

func (r *Reporter) window(length time.Duration) messenger.Window {
	last := r.now().UnixNano() / int64(bucketLength)
	first := last - int64(length/bucketLength) + 1
	w := messenger.Window{Window: length.String()}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range r.buckets {
		if b.index >= first && b.index <= last {
			w.All += b.all
			w.Bad += b.bad
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
	for _, v := range r.samples() {
		values[v.name] = v.value
	}
	_ = json.NewEncoder(w).Encode(values)
}

func (r *Reporter) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	for _, v := range r.samples() {
		name := "endivelock_" + strings.NewReplacer(".", "_", "-", "_").Replace(v.name)
		_, _ = fmt.Fprintf(w, "%s %g\n", name, v.value)
	}
}

// sample is one value of a metric; a timer has several.
type sample struct {
	name  string
	value float64
}

func (r *Reporter) samples() []sample {
	var samples []sample
	add := func(prefix string) func(string, any) {
		return func(name string, metric any) {
			samples = append(samples, samplesOf(prefix+name, metric)...)
		}
	}
	r.registry.Each(add(""))
	for _, p := range r.registries {
		p.registry.Each(add(p.prefix))
	}
	slices.SortFunc(samples, func(a, b sample) int { return strings.Compare(a.name, b.name) })
	return samples
}

func samplesOf(name string, metric any) []sample {
	switch m := metric.(type) {
	case metrics.Counter:
		return []sample{{name, float64(m.Count())}}
	case metrics.Gauge:
		return []sample{{name, float64(m.Value())}}
	case metrics.Timer:
		t := m.Snapshot()
		return []sample{
			{name + ".count", float64(t.Count())},
			{name + ".p50.seconds", t.Percentile(0.5) / float64(time.Second)},
			{name + ".p99.seconds", t.Percentile(0.99) / float64(time.Second)},
			{name + ".max.seconds", float64(t.Max()) / float64(time.Second)},
		}
	}
	return nil
}
