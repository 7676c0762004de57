package reporter_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/queries/reporter"
	"github.com/endivelock/endivelock/internal/scheduler"
)

type fakeViewer struct{}

func (fakeViewer) Snapshot() scheduler.State { return scheduler.State{} }

// fakeClock is a clock that the test advances.
type fakeClock struct{ now time.Time }

func (c *fakeClock) read() time.Time { return c.now }

func TestBurnOverSeveralWindows(t *testing.T) {
	c := &fakeClock{time.Unix(1_000_000, 0)}
	r := reporter.New(fakeViewer{}, 5*time.Millisecond, 0.99, c.read)
	for i := range 100 {
		r.Observe(time.Duration(i%2)*10*time.Millisecond, true)
	}
	c.now = c.now.Add(10 * time.Minute)
	for range 99 {
		r.Observe(time.Millisecond, true)
	}
	r.Observe(time.Millisecond, false)
	windows := r.Report().Windows
	assert.Equal(t, windows[0].All, int64(100))
	assert.Equal(t, windows[0].Bad, int64(1))
	assert.Assert(t, windows[0].Burn > 0.99 && windows[0].Burn < 1.01, "%v", windows[0])
	assert.Equal(t, windows[1].All, int64(200))
	assert.Equal(t, windows[1].Bad, int64(51))
	c.now = c.now.Add(24 * time.Hour)
	assert.Equal(t, r.Report().Windows[2].All, int64(0))
}

func TestMetricsInTextAndJSON(t *testing.T) {
	r := reporter.New(fakeViewer{}, time.Millisecond, 0.9, time.Now)
	counter := metrics.NewCounter()
	counter.Inc(3)
	r.Add("things.seen-here", counter)
	mux := http.NewServeMux()
	r.Routes(mux)
	for path, want := range map[string]string{
		"/metrics": "endivelock_things_seen_here 3\n", "/metrics.json": `"things.seen-here":3`, "/report": `"goal":"1ms"`,
	} {
		w := httptest.NewRecorder()
		mux.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
		assert.Assert(t, strings.Contains(w.Body.String(), want), "%s: %s", path, w.Body.String())
	}
}
