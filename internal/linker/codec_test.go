package linker_test

import (
	"context"
	"encoding/binary"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A message that is too large, or cut off, ends its connection and no other.
func TestOversizedAndCutOffMessagesEndTheirConnection(t *testing.T) {
	lead := start(t, "lead")
	address := lead.Snapshot().Self.Address
	rpc := dial(t, address)
	for _, message := range [][]byte{
		binary.AppendUvarint(nil, 1<<40),
		binary.AppendUvarint(nil, 17<<20),
		append(binary.AppendUvarint(nil, 3), "{}}"...),
	} {
		conn, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		assert.NilError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
		_, err = conn.Write(message)
		assert.NilError(t, err)
		for b := make([]byte, 100); err == nil; {
			_, err = conn.Read(b)
		}
		failed, isNet := err.(net.Error)
		assert.Assert(t, !isNet || !failed.Timeout(), "the connection stays open")
		assert.NilError(t, conn.Close())
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		assert.NilError(t, rpc.Call(ctx, "ping", struct{}{}, nil))
		cancel()
	}
}
