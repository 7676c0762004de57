package appender_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/appender"
	"github.com/endivelock/endivelock/internal/connector"
	"github.com/endivelock/endivelock/internal/encoder"
	"github.com/endivelock/endivelock/internal/scheduler"
)

// log stores the items of cancel records; answer decides the outcome of the nth
// append.
type log struct {
	mu      sync.Mutex
	items   []string
	appends int
	answer  func(n int) (stored bool, err error)
}

func (l *log) Append(_ context.Context, _ string, data []byte) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	stored, err := l.answer(l.appends)
	if !stored {
		return 0, err
	}
	records, _ := encoder.Decode(data)
	for _, r := range records {
		l.items = append(l.items, r.(scheduler.CancelRecord).Item)
	}
	return int64(l.appends), err
}

func (l *log) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.items)
}

// write appends n records and waits until the log holds want items.
func write(t *testing.T, l *log, n, want int) {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	a := appender.New(l, logger)
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return a.Serve(ctx) })
	for i := range n {
		record := scheduler.CancelRecord{Item: fmt.Sprint(i)}
		assert.NilError(t, a.Append(scheduler.Append{Stream: "s", Records: []scheduler.Record{record}}))
	}
	for l.count() < want {
		time.Sleep(time.Millisecond)
	}
	cancel()
	assert.ErrorIs(t, group.Wait(), context.Canceled)
}

func TestRecordsShareAppends(t *testing.T) {
	l := &log{answer: func(int) (bool, error) { return true, nil }}
	write(t, l, 1000, 1000)
	assert.Assert(t, l.appends < 100, "%d appends", l.appends)
}

// A refused append had no effect: it is retried, and each record is written once
// and in order.
func TestRefusedAppendIsRetried(t *testing.T) {
	l := &log{answer: func(n int) (bool, error) {
		if n%3 != 0 {
			return false, &connector.Error{Operation: "append", Status: 429}
		}
		return true, nil
	}}
	write(t, l, 500, 500)
	for i, item := range l.items {
		assert.Equal(t, item, fmt.Sprint(i))
	}
}

// An append whose response was lost may have taken effect: it is not retried.
func TestLostResponseIsNotRetried(t *testing.T) {
	l := &log{answer: func(int) (bool, error) {
		return true, &connector.Error{Operation: "append", Sent: true, Cause: errors.New("connection reset")}
	}}
	write(t, l, 1, 1)
	assert.Equal(t, l.appends, 1)
}
