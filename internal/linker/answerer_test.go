package linker_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/ledger"
)

// stuck is an inspector whose queries wait until their callers give up.
type stuck struct{}

func (stuck) JobState(ctx context.Context, _ ledger.ID) (ledger.State, bool, error) {
	<-ctx.Done()
	return "", false, ctx.Err()
}

func (stuck) Counts(ctx context.Context) (map[string]int, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// congested is the code of calls that were not carried out, since too many wait.
const congested = 4

// Guards against requests of other entries that wait in memory without a bound. Those that find no room are
// answered as not carried out, and those that wait shut out neither pings nor other entries.
func TestRequestsThatFindNoRoomAreRefused(t *testing.T) {
	lead := start(t, "lead")
	lead.becomeLeader(9)
	lead.link.Inspector = stuck{}
	address := lead.Snapshot().Self.Address
	crowd, other := dial(t, address), dial(t, address)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	refused := make(chan error, 2000)
	var group errgroup.Group
	for range cap(refused) {
		group.Go(func() error {
			if err := crowd.Call(ctx, "state", map[string]string{"job": "j"}, nil); ctx.Err() == nil {
				refused <- err
			}
			return nil
		})
	}
	for range cap(refused) / 2 {
		var failed *jsonrpc2.Error
		assert.Assert(t, errors.As(<-refused, &failed))
		assert.Equal(t, failed.Code, int64(congested))
	}
	for _, rpc := range []*jsonrpc2.Conn{crowd, other} {
		bounded, done := context.WithTimeout(ctx, 5*time.Second)
		assert.NilError(t, rpc.Call(bounded, "ping", struct{}{}, nil))
		done()
	}
	bounded, done := context.WithTimeout(ctx, 200*time.Millisecond)
	defer done()
	err := other.Call(bounded, "state", map[string]string{"job": "j"}, nil)
	assert.ErrorIs(t, err, context.DeadlineExceeded, "another entry finds no room")
	cancel()
	_ = group.Wait()
}

// Guards against a goroutine for each request of an entry that reads no answers: it isn't read any further.
func TestAnEntryThatReadsNoAnswersIsNotReadAnyFurther(t *testing.T) {
	lead := start(t, "lead")
	conn, err := net.Dial("tcp", lead.Snapshot().Self.Address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.(*net.TCPConn).SetReadBuffer(4<<10))
	request, err := json.Marshal(map[string]any{"jsonrpc": "2.0", "id": 1, "method": strings.Repeat("m", 100), "params": struct{}{}})
	assert.NilError(t, err)
	message := append([]byte{byte(len(request) | 0x80), byte(len(request) >> 7)}, request...)
	messages := bytes.Repeat(message, 1000)
	before, most := runtime.NumGoroutine(), 0
	assert.NilError(t, conn.SetWriteDeadline(time.Now().Add(time.Second)))
	for err == nil {
		_, err = conn.Write(messages)
		most = max(most, runtime.NumGoroutine())
	}
	assert.Assert(t, most < before+50, "%d goroutines, %d before", most, before)
}

// A request whose name an answer would have to repeat ends its connection and no other.
func TestLongNamesEndTheirConnection(t *testing.T) {
	lead := start(t, "lead")
	rpc := dial(t, lead.Snapshot().Self.Address)
	long := dial(t, lead.Snapshot().Self.Address)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	assert.ErrorIs(t, long.Call(ctx, strings.Repeat("m", 1<<20), struct{}{}, nil), jsonrpc2.ErrClosed)
	named := dial(t, lead.Snapshot().Self.Address)
	id := jsonrpc2.ID{Str: strings.Repeat("i", 1<<20), IsString: true}
	assert.ErrorIs(t, named.Call(ctx, "ping", struct{}{}, nil, jsonrpc2.PickID(id)), jsonrpc2.ErrClosed)
	assert.NilError(t, rpc.Call(ctx, "ping", struct{}{}, nil), "the other connection")
}
