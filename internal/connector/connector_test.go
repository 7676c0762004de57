package connector_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/connector"
	"github.com/endivelock/endivelock/internal/emulator"
	"github.com/endivelock/endivelock/internal/scheduler"
)

func platform(t *testing.T, p *emulator.Platform) *connector.Platform {
	t.Helper()
	server := httptest.NewServer(p.Handler())
	t.Cleanup(server.Close)
	return &connector.Platform{URL: server.URL, Zone: "z", Client: server.Client()}
}

// Offsets grow by one within a stream; a read returns the batches from an offset
// on and the offset of the next read.
func TestLogContract(t *testing.T) {
	ctx := context.Background()
	c := platform(t, &emulator.Platform{})
	for want, text := range []string{"one", "two", "three"} {
		offset, err := c.Append(ctx, "s", []byte(text))
		assert.NilError(t, err)
		assert.Equal(t, offset, int64(want+1))
	}
	page, err := c.Read(ctx, "s", 2, 0)
	assert.NilError(t, err)
	assert.Equal(t, string(page.Batches[0].Data), "two")
	assert.Equal(t, page.Next, int64(4))
	assert.Assert(t, page.Tail)
	empty, err := c.Read(ctx, "s", 4, 0)
	assert.NilError(t, err)
	assert.Equal(t, empty.Next, int64(4))
	other, err := c.Read(ctx, "other", 1, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(other.Batches), 0)
}

func TestReadOfTrimmedLogReturnsFirstOffset(t *testing.T) {
	ctx := context.Background()
	c := platform(t, &emulator.Platform{Retention: time.Nanosecond})
	_, err := c.Append(ctx, "s", []byte("old"))
	assert.NilError(t, err)
	time.Sleep(time.Millisecond)
	page, err := c.Read(ctx, "s", 1, 0)
	assert.NilError(t, err)
	assert.Equal(t, page.First, int64(2))
	assert.Equal(t, page.Next, int64(2))
}

func TestAppendErrorTellsWhetherSent(t *testing.T) {
	cases := []struct {
		name   string
		faults emulator.Faults
		cap    int
		sent   bool // the append may have taken effect
		stored int
	}{
		{"outage", emulator.Faults{Outage: true}, 0, true, 0},
		{"zone cut off", emulator.Faults{Cut: []string{"z"}}, 0, true, 0},
		{"response lost after the append", emulator.Faults{Lossy: 1}, 0, true, 1},
		{"too many appends", emulator.Faults{}, 1, false, 1},
	}
	for _, c := range cases {
		p := &emulator.Platform{MaxAppendRate: c.cap}
		client := platform(t, p)
		p.SetFaults(c.faults)
		var err error
		for range 1 + c.cap*3 {
			if _, err = client.Append(context.Background(), "s", []byte("x")); err != nil {
				break // the next one may fall into another second, for which the cap starts anew
			}
		}
		var fault *connector.Error
		assert.Assert(t, asError(err, &fault), c.name)
		assert.Equal(t, fault.Sent, c.sent, c.name)
		p.SetFaults(emulator.Faults{})
		page, err := client.Read(context.Background(), "s", 1, 0)
		assert.NilError(t, err)
		assert.Assert(t, len(page.Batches) >= c.stored, c.name)
	}
}

func asError(err error, target **connector.Error) bool {
	e, ok := err.(*connector.Error)
	*target = e
	return ok
}

func TestListLags(t *testing.T) {
	p := &emulator.Platform{Lag: time.Hour}
	p.Register(scheduler.Instance{Kind: scheduler.KindServer, Name: "s"})
	list, err := platform(t, p).List(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, len(list), 0)
	p.Lag = 0
	list, err = platform(t, p).List(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, len(list), 1)
}

// Exercises the protocol of workers against the emulated worker.
func TestWorkerContract(t *testing.T) {
	ctx := context.Background()
	book := &emulator.History{}
	server := httptest.NewServer((&emulator.Worker{Capacity: scheduler.Size{CPU: 4}, History: book}).Handler())
	defer server.Close()
	w := &connector.Workers{Client: server.Client()}
	address := server.Listener.Addr().String()
	launch := scheduler.Launch{Address: address, Expiry: time.Now().Add(time.Minute), Tasks: []scheduler.Task{
		{ID: "i.0.0", Item: "i", Size: scheduler.Size{CPU: 1}},
		{ID: "j.0.0", Item: "j", Size: scheduler.Size{CPU: 1}, Run: time.Millisecond},
	}}
	assert.NilError(t, w.Launch(ctx, launch))
	assert.NilError(t, w.Launch(ctx, launch), "a worker has to ignore a repeated launch")
	late := launch
	late.Expiry = time.Now().Add(-time.Second)
	assert.ErrorContains(t, w.Launch(ctx, late), "410", "a worker must not start a task under an expired lease")
	time.Sleep(20 * time.Millisecond)
	assert.NilError(t, w.Renew(ctx, scheduler.Renew{Address: address, Tasks: []string{"i.0.0"}, Expiry: time.Now().Add(time.Hour)}))
	report, err := w.Report(ctx, scheduler.PollWorker{Worker: "w", Address: address})
	assert.NilError(t, err)
	assert.DeepEqual(t, report.Running, []string{"i.0.0"})
	assert.DeepEqual(t, report.Ended, []scheduler.TaskEnd{{Task: "j.0.0", End: scheduler.EndSucceeded}})
	assert.NilError(t, w.Halt(ctx, scheduler.Halt{Address: address, Task: "i.0.0"}))
	report, err = w.Report(ctx, scheduler.PollWorker{Worker: "w", Address: address})
	assert.NilError(t, err)
	assert.Equal(t, len(report.Running), 0)
	doubled, over := book.TaskViolations()
	assert.Equal(t, doubled+over, 0)
}

func TestBusySlotsOfServer(t *testing.T) {
	cases := []struct {
		name   string
		status int
		body   string
		busy   int
		fault  string
	}{
		{"busy", 200, `{"busy":3,"slots":8}`, 3, ""},
		{"no number", 200, `{"slots":8}`, 0, "lacks a valid number"},
		{"negative", 200, `{"busy":-1}`, 0, "lacks a valid number"},
		{"no JSON", 200, `<html>`, 0, "decode slots"},
		{"failure", 500, ``, 0, "status 500"},
	}
	for _, c := range cases {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(c.status)
			_, _ = w.Write([]byte(c.body))
		}))
		s := &connector.Servers{Client: server.Client(), Path: "/slots"}
		busy, err := s.Busy(context.Background(), server.Listener.Addr().String())
		assert.Equal(t, busy, c.busy, c.name)
		if c.fault != "" {
			assert.ErrorContains(t, err, c.fault, c.name)
		}
		server.Close()
	}
}
