package submitter_test

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
	"github.com/endivelock/endivelock/internal/commands/submitter"
	"github.com/endivelock/endivelock/internal/scheduler"
)

// zone is the ledger of a zone with one worker of 8 cores. It applies appended
// records at once.
type zone struct {
	state scheduler.State
	next  int64
}

func (z *zone) Append(request scheduler.Append) error {
	z.next++
	z.read(request.Stream, request.Records...)
	return nil
}

func (z *zone) read(stream string, records ...scheduler.Record) {
	e := scheduler.RecordsRead{Stream: stream, First: 1, Next: z.next + 1, Tail: true}
	for _, r := range records {
		e.Records = append(e.Records, scheduler.ReadRecord{Offset: z.next, Record: r})
	}
	z.state, _ = z.state.Apply(e, time.Now())
}

func (z *zone) Snapshot() scheduler.State { return z.state }

func (z *zone) Await(_ context.Context, condition func(scheduler.State) bool) (scheduler.State, error) {
	if condition(z.state) {
		return z.state, nil
	}
	return z.state, context.DeadlineExceeded
}

func newZone(ready bool) (*zone, http.Handler) {
	self := scheduler.Entry{ID: scheduler.EntryID{Name: "a", Incarnation: 1}, Zone: "z"}
	z := &zone{state: scheduler.New(self, scheduler.Policy{}, time.Now())}
	if ready {
		z.next = 1
		z.read(scheduler.ConfigStream, scheduler.ListRecord{List: scheduler.ListPlans, Nonce: "p", Plans: []scheduler.Plan{{Name: "p"}}})
		z.next = 2
		z.read(scheduler.ConfigStream, scheduler.ListRecord{List: scheduler.ListAllowances, Nonce: "a", Allowances: []scheduler.Allowance{
			{Plan: "p", Size: scheduler.Size{CPU: 100000, Memory: 100000}},
		}})
		z.next = 0
		z.read(scheduler.ZoneStream("z"))
		z.state, _ = z.state.Apply(scheduler.InstancesListed{Instances: []scheduler.Instance{
			{Kind: scheduler.KindWorker, Name: "w", Zone: "z", Size: scheduler.Size{CPU: 8000, Memory: 8192}},
		}}, time.Now())
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	mux := http.NewServeMux()
	(&submitter.Submitter{Committer: committer.Committer{Ledger: z, Controller: z}, Logger: logger}).Routes(mux)
	return z, mux
}

func send(h http.Handler, method, path, body, key string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

const deferred = `{"kind":"deferred","plan":"p","name":"n","cpu":1000,"memory":1,"run":"1s"}`

func TestAcceptedWorkIsInTheLedgerOnce(t *testing.T) {
	z, h := newZone(true)
	for range 2 {
		w := send(h, "POST", "/work", deferred, "k")
		assert.Equal(t, w.Code, http.StatusAccepted, w.Body.String())
		assert.Equal(t, w.Header().Get("Location"), "/work/k")
	}
	assert.Equal(t, z.next, int64(1))
	assert.Equal(t, z.state.Items.Len(), 1)
	assert.Equal(t, send(h, "DELETE", "/work/k", "", "").Code, http.StatusAccepted)
	i, _ := z.state.Items.Get("k")
	assert.Equal(t, i.Phase, scheduler.ItemCancelled)
}

func TestBadWork(t *testing.T) {
	cases := []struct {
		name, body string
		ready      bool
		status     int
		detail     string
	}{
		{"no JSON", `work`, true, 400, "invalid character"},
		{"unknown member", `{"kind":"deferred","colour":1}`, true, 400, "unknown field"},
		{"unknown kind", strings.Replace(deferred, "deferred", "sometime", 1), true, 422, "allowed are service, deferred and gang"},
		{"no size", `{"kind":"service","plan":"p"}`, true, 422, "size is empty"},
		{"negative size", strings.Replace(deferred, "1000", "-1000", 1), true, 422, "size is empty or negative"},
		{"run without unit", strings.Replace(deferred, "1s", "1", 1), true, 422, `run is`},
		{"no run", strings.Replace(deferred, `,"run":"1s"`, "", 1), true, 422, "needs a run time"},
		{"several members", strings.Replace(deferred, `"n"`, `"n","members":2`, 1), true, 422, "has one member, not 2"},
		{"too many members", strings.Replace(deferred, `"n"`, `"n","members":5000`, 1), true, 422, "allowed are 1 to 4096"},
		{"unknown plan", strings.Replace(deferred, `"p"`, `"q"`, 1), true, 422, "plan q is not in the list"},
		{"larger than any worker", strings.Replace(deferred, "1000", "9000", 1), true, 422, "can never hold"},
		{"beyond the allowance", strings.Replace(deferred, "1000", "200000", 1), true, 422, "not allowed that much"},
		{"entry not ready", deferred, false, 503, "not ready"},
	}
	for _, c := range cases {
		z, h := newZone(c.ready)
		w := send(h, "POST", "/work", c.body, "")
		assert.Equal(t, w.Code, c.status, c.name)
		assert.Assert(t, strings.Contains(w.Body.String(), c.detail), "%s: %s", c.name, w.Body.String())
		assert.Equal(t, w.Header().Get("Endivelock-Outcome"), "not-run", c.name)
		assert.Equal(t, z.state.Items.Len(), 0, c.name)
	}
	_, h := newZone(true)
	assert.Equal(t, send(h, "DELETE", "/work/nothing", "", "").Code, http.StatusNotFound)
}
