package conductor

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/endivelock/endivelock/internal/bookkeeper"
	"github.com/endivelock/endivelock/internal/keeper"
	"github.com/endivelock/endivelock/internal/leader"
)

// registerMetrics registers the metrics of the entry.
func (e *Entry) registerMetrics() {
	register := func(name string, metric any) {
		if err := e.Registry.Register(name, metric); err != nil {
			panic("conductor: metric registered twice: " + name)
		}
	}
	register("append.jobs", e.journal.Delay)
	register("advice.calls", e.adviser.Calls)
	register("advice.failed", e.adviser.Failed)
	gauge := func(name string, read func(s keeper.State) int64) {
		register(name, metrics.NewFunctionalGauge(func() int64 { return read(e.controller.Snapshot()) }))
	}
	gauge("leading", func(s keeper.State) int64 {
		if s.Role() == keeper.Leading {
			return 1
		}
		return 0
	})
	gauge("lead.epoch", func(s keeper.State) int64 { return s.Lead().Epoch })
	count := func(name string, read func(c leader.Counts) int) {
		gauge(name, func(s keeper.State) int64 { return int64(read(s.Leader().Counts(time.Now()))) })
	}
	count("jobs.live", func(c leader.Counts) int { return c.Jobs })
	count("steps.waiting", func(c leader.Counts) int { return c.WaitingSteps })
	count("workers.listed", func(c leader.Counts) int { return c.Listed })
	count("workers.heard", func(c leader.Counts) int { return c.Reachable })
	count("workers.excluded", func(c leader.Counts) int { return c.Excluded })
	count("runs.silent", func(c leader.Counts) int { return c.SilentRuns })
	count("advice.asked", func(c leader.Counts) int { return c.AdviceCalls })
	count("advice.callers", func(c leader.Counts) int { return c.Callers })
	count("advice.idle", func(c leader.Counts) int { return c.IdleCallers })
	register("config.age.milliseconds", metrics.NewFunctionalGauge(func() int64 { return e.reading.Load().Age(e.Clock()).Milliseconds() }))
	register("orders.waiting", metrics.NewFunctionalGauge(func() int64 { return int64(e.waitingOrders()) }))
	register("discards.waiting", metrics.NewFunctionalGauge(func() int64 { return int64(e.discards.Waiting()) }))
	register("control.perform.nanoseconds", metrics.NewFunctionalGauge(func() int64 { total, _ := e.controller.Performing(time.Now()); return int64(total) }))
	register("control.batch.milliseconds", metrics.NewFunctionalGauge(func() int64 { _, current := e.controller.Performing(time.Now()); return current.Milliseconds() }))
	register("control.events", metrics.NewFunctionalGauge(func() int64 { n, _ := e.controller.Cost(); return n }))
	register("control.nanoseconds", metrics.NewFunctionalGauge(func() int64 { _, d := e.controller.Cost(); return int64(d) }))
}

// waitingOrders returns the number of orders that wait at this entry for a worker.
func (e *Entry) waitingOrders() int {
	waiting := e.deputy.Waiting()
	e.mu.Lock()
	c := e.active
	e.mu.Unlock()
	if c != nil {
		waiting += c.commander.Waiting()
	}
	return waiting
}

// quantiles returns the quantiles that are exported for each timer.
func quantiles() []float64 { return []float64{0.5, 0.9, 0.99, 0.999} }

func (e *Entry) metricsHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		var lines []string
		e.Registry.Each(func(name string, metric any) {
			lines = append(lines, formatMetric("endivelock_"+strings.ReplaceAll(name, ".", "_"), metric)...)
		})
		if s := e.controller.Snapshot(); s.Role() == keeper.Leading {
			for _, w := range s.Leader().Standings(maxShownWorkspaces) {
				lines = append(lines, formatStanding(w)...)
			}
		}
		slices.Sort(lines)
		if _, err := io.WriteString(w, strings.Join(lines, "\n")+"\n"); err != nil {
			e.logger.WithError(err).Debug("writing the metrics failed")
		}
	})
}

// maxShownWorkspaces bounds the workspaces that have metrics and are logged, those that use
// most of their cap.
const maxShownWorkspaces = 20

// formatStanding returns the metrics of a workspace.
func formatStanding(w bookkeeper.Standing) []string {
	var lines []string
	for _, m := range []struct {
		name  string
		value int64
	}{{"runs", int64(w.Use.Runs)}, {"cpu", w.Use.Size.CPU}, {"memory", w.Use.Size.Memory}, {"gpu", w.Use.Size.GPU}, {"cpu_cap", w.Cap.CPU}, {"memory_cap", w.Cap.Memory}, {"gpu_cap", w.Cap.GPU}} {
		lines = append(lines, fmt.Sprintf("endivelock_workspace_%s{workspace=%q} %d", m.name, w.Name, m.value))
	}
	return lines
}

// formatMetric returns the lines of a metric in the Prometheus text format.
func formatMetric(name string, metric any) []string {
	switch m := metric.(type) {
	case metrics.Counter:
		return []string{fmt.Sprintf("%s %d", name, m.Count())}
	case metrics.Gauge:
		return []string{fmt.Sprintf("%s %d", name, m.Value())}
	case metrics.Timer:
		s := m.Snapshot()
		lines := []string{fmt.Sprintf("%s_seconds_count %d", name, s.Count())}
		for i, v := range s.Percentiles(quantiles()) {
			lines = append(lines, fmt.Sprintf("%s_seconds{quantile=\"%g\"} %g", name, quantiles()[i], v/1e9))
		}
		return lines
	}
	return nil
}

// logCounts logs the numbers of jobs and workers and the resources in use, if this
// entry leads.
func (e *Entry) logCounts() {
	s := e.controller.Snapshot()
	if s.Role() != keeper.Leading {
		return
	}
	now := time.Now()
	c := s.Leader().Counts(now)
	events, spent := e.controller.Cost()
	performed, batch := e.controller.Performing(now)
	e.logger.WithFields(logrus.Fields{
		"epoch": s.Lead().Epoch, "jobs": c.Jobs, "waiting": c.WaitingSteps, "listed": c.Listed, "heard": c.Reachable, "excluded": c.Excluded, "silentruns": c.SilentRuns,
		"asks": c.AdviceCalls, "callers": c.Callers, "idle": c.IdleCallers, "pace": c.PaceLimit, "starting": c.Starting, "cpu": c.Used.CPU, "cpuroom": c.Capacity.CPU, "memory": c.Used.Memory, "memoryroom": c.Capacity.Memory, "events": events, "controlms": spent.Milliseconds(),
		"performms": performed.Milliseconds(), "batchms": batch.Milliseconds(), "orders": e.waitingOrders(),
	}).Info("cell")
	for _, w := range s.Leader().Standings(maxShownWorkspaces) {
		e.logger.WithFields(logrus.Fields{
			"epoch": s.Lead().Epoch, "workspace": w.Name, "runs": w.Use.Runs, "cpu": w.Use.Size.CPU, "cpucap": w.Cap.CPU, "memory": w.Use.Size.Memory, "memorycap": w.Cap.Memory, "gpu": w.Use.Size.GPU, "gpucap": w.Cap.GPU,
		}).Info("workspace")
	}
	for _, w := range s.Leader().Waits(now, longWait, maxLoggedWaits) {
		e.logger.WithFields(logrus.Fields{
			"epoch": s.Lead().Epoch, "job": string(w.Job), "task": w.Step, "queue": w.Queue, "beyond": w.Beyond, "waitms": now.Sub(w.Since).Milliseconds(), "ahead": w.Ahead,
			"tasks": w.Idle, "places": w.Places, "asking": w.Asking, "permitted": w.Permitted, "denied": w.Denied, "tickets": w.Tickets, "workspace": w.Workspace, "cap": w.Cap,
		}).Info("step waits")
	}
}

const (
	// longWait is how long a step waits before its state is logged; maxLoggedWaits bounds
	// the steps that are logged at a time.
	longWait       = 3 * time.Second
	maxLoggedWaits = 8
)
