package linker_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/keeper"
	"github.com/endivelock/endivelock/internal/ledger"
)

// failing is an inspector with a fault.
type failing struct{}

func (failing) JobState(context.Context, ledger.ID) (ledger.State, bool, error) {
	panic("fault in a handler")
}

func (failing) Counts(context.Context) (map[string]int, error) { panic("fault in a handler") }

// dial connects to an entry as another one does.
func dial(t *testing.T, address string) *jsonrpc2.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	ignore := jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) { return struct{}{}, nil })
	rpc := jsonrpc2.NewConn(context.Background(), jsonrpc2.NewBufferedStream(conn, jsonrpc2.VarintObjectCodec{}), ignore)
	t.Cleanup(func() { _ = rpc.Close() })
	return rpc
}

// One malformed message or one fault in a handler ends that request; the entry goes on
// with the others.
func TestMalformedMessagesAndFaultsEndOneRequest(t *testing.T) {
	lead := start(t, "lead")
	lead.becomeLeader(9)
	assert.Equal(t, lead.Snapshot().Role(), keeper.Leading)
	lead.link.Inspector = failing{}
	rpc := dial(t, lead.Snapshot().Self.Address)
	for name, c := range map[string]struct {
		method string
		params any
	}{
		"fault":           {"state", map[string]any{"job": "j"}},
		"fault in counts": {"counts", struct{}{}},
		"wrong type":      {"hello", []int{1}},
		"wrong fields":    {"do", map[string]any{"epoch": "x"}},
		"not a number":    {"events", map[string]any{"session": map[string]int{}}},
		"unknown method":  {"no-such-method", struct{}{}},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			assert.Assert(t, rpc.Call(ctx, c.method, c.params, nil) != nil)
			assert.NilError(t, rpc.Call(ctx, "ping", struct{}{}, nil))
		})
	}
}
