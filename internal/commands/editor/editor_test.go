package editor_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/commands/committer"
	"github.com/endivelock/endivelock/internal/commands/editor"
	"github.com/endivelock/endivelock/internal/scheduler"
)

// log is a ledger that applies appended records at once, or drops them if silent
// is set.
type log struct {
	state  scheduler.State
	next   int64
	silent bool
}

func (l *log) Append(request scheduler.Append) error {
	if l.silent {
		return nil
	}
	l.next++
	e := scheduler.RecordsRead{Stream: request.Stream, First: 1, Next: l.next + 1}
	for _, r := range request.Records {
		e.Records = append(e.Records, scheduler.ReadRecord{Offset: l.next, Record: r})
	}
	l.state, _ = l.state.Apply(e, time.Now())
	return nil
}

func (l *log) Snapshot() scheduler.State { return l.state }

func (l *log) Await(ctx context.Context, condition func(scheduler.State) bool) (scheduler.State, error) {
	if condition(l.state) {
		return l.state, nil
	}
	return l.state, context.DeadlineExceeded
}

func newEditor() (*log, http.Handler) {
	l := &log{state: scheduler.New(scheduler.Entry{}, scheduler.Policy{}, time.Now())}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	mux := http.NewServeMux()
	(&editor.Editor{Committer: committer.Committer{Ledger: l, Controller: l}, Logger: logger}).Routes(mux)
	return l, mux
}

func send(h http.Handler, method, path, body string, header ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

func TestEditsAreBasedOnAVersion(t *testing.T) {
	l, h := newEditor()
	first := send(h, "PUT", "/plans", `{"plans":[{"name":"p","customer":"c"}]}`, "If-Match", `"0"`)
	assert.Equal(t, first.Code, http.StatusOK)
	assert.Equal(t, first.Header().Get("ETag"), `"1"`)
	stale := send(h, "PUT", "/plans", `{"plans":[]}`, "If-Match", `"0"`)
	assert.Equal(t, stale.Code, http.StatusPreconditionFailed)
	assert.Equal(t, len(l.state.Config.Plans), 1)
	second := send(h, "PUT", "/plans", `{"plans":[]}`, "If-Match", `"1"`)
	assert.Equal(t, second.Code, http.StatusOK)
	assert.Equal(t, len(l.state.Config.Plans), 0)
}

// A client that lost the response retries the edit with the same Idempotency-Key.
// The edit must be appended once.
func TestRepeatedEditAppliesOnce(t *testing.T) {
	l, h := newEditor()
	for range 2 {
		w := send(h, "PUT", "/plans", `{"plans":[{"name":"p"}]}`, "If-Match", `"0"`, "Idempotency-Key", "k")
		assert.Equal(t, w.Code, http.StatusOK)
		assert.Equal(t, w.Header().Get("ETag"), `"1"`)
	}
	assert.Equal(t, l.next, int64(1))
}

func TestUndecidedEditIsUnknown(t *testing.T) {
	l, h := newEditor()
	l.silent = true
	w := send(h, "PUT", "/plans", `{"plans":[]}`, "If-Match", `"0"`)
	assert.Equal(t, w.Code, http.StatusGatewayTimeout)
	assert.Equal(t, w.Header().Get("Endivelock-Outcome"), "unknown")
}

func TestBadEdits(t *testing.T) {
	cases := []struct {
		name, method, path, body, version string
		status                            int
		detail                            string
	}{
		{"no version", "PUT", "/plans", `{"plans":[]}`, "", 428, "If-Match"},
		{"no JSON", "PUT", "/plans", `plans`, `"0"`, 400, "invalid character"},
		{"unknown member", "PUT", "/plans", `{"plan":[]}`, `"0"`, 400, "unknown field"},
		{"unknown member of a row", "PUT", "/plans", `{"plans":[{"name":"p","color":"red"}]}`, `"0"`, 400, "unknown field"},
		{"rows that are no list", "PUT", "/plans", `{"plans":{}}`, `"0"`, 400, "not a list"},
		{"too many rows", "PUT", "/plans", `{"plans":[` + strings.Repeat("{},", 20000) + `{}]}`, `"0"`, 422, "more than 10000 rows"},
		{"plan without name", "PUT", "/plans", `{"plans":[{"customer":"c"}]}`, `"0"`, 422, "plan 0 has no name"},
		{"plan twice", "PUT", "/plans", `{"plans":[{"name":"p"},{"name":"p"}]}`, `"0"`, 422, `plan \"p\" is listed twice`},
		{"negative weight", "PUT", "/plans", `{"plans":[{"name":"p","weight":-1}]}`, `"0"`, 422, "weight -1"},
		{"negative slots", "PUT", "/allowances", `{"allowances":[{"plan":"p","slots":-1}]}`, `"0"`, 422, "-1 slots"},
		{"negative size", "PUT", "/allowances", `{"allowances":[{"plan":"p","size":{"cpu":-1}}]}`, `"0"`, 422, "negative size"},
		{"allowance twice", "PUT", "/allowances", `{"allowances":[{"plan":"p"},{"plan":"p"}]}`, `"0"`, 422, "two allowances"},
		{"unknown mark", "POST", "/marks", `{"instance":"s","mark":"dance"}`, "", 422, "mark is"},
		{"mark on nothing", "POST", "/marks", `{"mark":"leave"}`, "", 422, "instance has no name"},
		{"name too long", "POST", "/marks", `{"instance":"` + strings.Repeat("x", 200) + `","mark":"leave"}`, "", 422, "200 bytes"},
		{"too large", "PUT", "/plans", `{"plans":[` + strings.Repeat(" ", 3<<20) + `]}`, `"0"`, 400, "too large"},
	}
	for _, c := range cases {
		l, h := newEditor()
		var header []string
		if c.version != "" {
			header = []string{"If-Match", c.version}
		}
		w := send(h, c.method, c.path, c.body, header...)
		assert.Equal(t, w.Code, c.status, c.name)
		assert.Assert(t, strings.Contains(w.Body.String(), c.detail), "%s: %s", c.name, w.Body.String())
		assert.Equal(t, w.Header().Get("Endivelock-Outcome"), "not-run", c.name)
		assert.Equal(t, l.next, int64(0), c.name)
	}
}
