package follower_test

import (
	"context"
	"io"
	"net/http/httptest"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/connector"
	"github.com/endivelock/endivelock/internal/emulator"
	"github.com/endivelock/endivelock/internal/encoder"
	"github.com/endivelock/endivelock/internal/follower"
	"github.com/endivelock/endivelock/internal/scheduler"
)

// sink receives the events of a follower.
type sink chan scheduler.RecordsRead

func (s sink) Submit(e scheduler.Event) { s <- e.(scheduler.RecordsRead) }

func batch(t *testing.T, item string) []byte {
	t.Helper()
	data, err := encoder.Encode([]scheduler.Record{scheduler.CancelRecord{Item: item}})
	assert.NilError(t, err)
	return data
}

// A follower submits readable records, counts the others, waits for new batches
// and resumes after an outage at the offset that it had reached.
func TestFollowerSkipsUnreadableRecordsAndResumesAfterOutage(t *testing.T) {
	p := &emulator.Platform{}
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	client := &connector.Platform{URL: server.URL, Client: server.Client()}
	add := func(data []byte) {
		_, err := client.Append(context.Background(), "s", data)
		assert.NilError(t, err)
	}
	add(batch(t, "one"))
	add([]byte("not a batch"))
	add([]byte(`[{"v":9,"kind":"cancel","body":{}}]`))
	add(batch(t, "two"))

	logger := logrus.New()
	logger.SetOutput(io.Discard)
	events := make(sink, 16)
	f := &follower.Follower{Stream: "s", Reader: client, Sink: events, Log: logger, Skipped: metrics.NewCounter(), Failed: metrics.NewCounter(), Next: 1}
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return f.Serve(ctx) })

	first := <-events
	assert.Equal(t, len(first.Records), 2)
	assert.Equal(t, first.Records[1].Offset, int64(4))
	assert.Assert(t, first.Tail)
	assert.Equal(t, f.Skipped.Count(), int64(2))

	p.SetFaults(emulator.Faults{Outage: true})
	for f.Failed.Count() == 0 {
		server.CloseClientConnections()
	}
	p.SetFaults(emulator.Faults{})
	add(batch(t, "three"))
	for {
		e := <-events
		if len(e.Records) == 0 {
			continue
		}
		assert.Equal(t, e.Records[0].Offset, int64(5))
		break
	}
	cancel()
	assert.ErrorIs(t, group.Wait(), context.Canceled)
}
