package assembler_test

import (
	"context"
	"errors"
	"io"
	"net"
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

// settings are those of one entry beside a platform's stand-in.
func settings(t *testing.T, p *emulator.Platform) loader.Settings {
	t.Helper()
	server := httptest.NewServer(p.Handler())
	t.Cleanup(server.Close)
	s := loader.Default()
	s.Name, s.Zone, s.Zones, s.Platform = "e", "z", []scheduler.Zone{"z"}, server.URL
	for _, place := range []*string{&s.Listen.Callers, &s.Listen.Operators, &s.Listen.Peers, &s.Listen.Forward} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		*place = l.Addr().String()
		assert.NilError(t, l.Close())
	}
	return s
}

// A stop whose limits were lowered while the entry ran cuts what is still in
// progress then, and says so.
func TestStopReportsWhatItCut(t *testing.T) {
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
	var cut *assembler.CutError
	assert.Assert(t, errors.As(group.Wait(), &cut))
	assert.Equal(t, cut.Requests, 1)
}
