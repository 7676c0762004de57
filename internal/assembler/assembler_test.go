package assembler_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/assembler"
	"github.com/endivelock/endivelock/internal/emulator"
	"github.com/endivelock/endivelock/internal/loader"
	"github.com/endivelock/endivelock/internal/scheduler"
	"github.com/endivelock/endivelock/pkg/caller"
	"github.com/endivelock/endivelock/pkg/messenger"
)

// settings returns the settings of an entry that uses an emulated platform.
func settings(t *testing.T, p *emulator.Platform) loader.Settings {
	t.Helper()
	server := httptest.NewServer(p.Handler())
	t.Cleanup(server.Close)
	ports := &emulator.Ports{}
	t.Cleanup(func() { assert.NilError(t, ports.Release()) })
	s := loader.Default()
	s.Name, s.Zone, s.Zones, s.Platform = "e", "z", []scheduler.Zone{"z"}, server.URL
	for _, address := range []*string{&s.Listen.Callers, &s.Listen.Operators, &s.Listen.Peers, &s.Listen.Forward} {
		free, err := ports.Address()
		assert.NilError(t, err)
		*address = free
	}
	return s
}

// The drain limit is lowered while the entry runs, so that the drain times out
// with one request in progress. Run must return a DrainTimeoutError that counts it.
func TestDrainTimeoutReportsAbortedRequests(t *testing.T) {
	begun, finish := make(chan struct{}), make(chan struct{})
	backend := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(begun)
		<-finish
	}))
	defer backend.Close()
	defer close(finish)
	p := &emulator.Platform{}
	p.Register(scheduler.Instance{Kind: scheduler.KindServer, Name: "s", Zone: "z", Address: backend.Listener.Addr().String(), Slots: 1})
	s := settings(t, p)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	entry := assembler.New(s, logger)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var group errgroup.Group
	group.Go(func() error { return entry.Run(ctx) })

	client := &caller.Client{URL: "http://" + s.Listen.Operators}
	for {
		if _, err := client.PutList(ctx, "plans", 0, []byte(`{"plans":[{"name":"p"}]}`)); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	_, err := client.PutList(ctx, "allowances", 0, []byte(`{"allowances":[{"plan":"p","slots":100}]}`))
	assert.NilError(t, err)
	for entry.Snapshot().FreeSlots() == 0 || entry.Snapshot().SlotLimit("p", time.Now()) == 0 {
		time.Sleep(10 * time.Millisecond)
	}
	group.Go(func() error {
		r, err := http.NewRequest(http.MethodGet, "http://"+s.Listen.Callers+"/", nil)
		if err != nil {
			return err
		}
		r.Header.Set(messenger.HeaderPlan, "p")
		_, _ = http.DefaultClient.Do(r)
		return nil
	})
	<-begun
	lowered := s
	lowered.Limits.Drain, lowered.Limits.Notice = 100*time.Millisecond, time.Millisecond
	entry.SetLimits(lowered)
	stop()
	var timeout *assembler.DrainTimeoutError
	assert.Assert(t, errors.As(group.Wait(), &timeout))
	assert.Equal(t, timeout.Requests, 1)
}
