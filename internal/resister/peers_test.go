package resister_test

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"strings"
	"testing"
	"time"
)

// messages returns messages of peers, each a length and its content.
func messages(n int, content func(k int) string) []byte {
	var b bytes.Buffer
	for k := range n {
		m := content(k)
		b.Write(binary.AppendUvarint(nil, uint64(len(m))))
		b.WriteString(m)
	}
	return b.Bytes()
}

// calls returns requests of a method to a peer.
func calls(n int, method func(k int) string) []byte {
	return messages(n, func(k int) string {
		return fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":"%s","params":{"name":"x"}}`, k, method(k))
	})
}

// Guards against requests of other entries that wait in memory for their answers to be read.
func TestAnswersToPeersThatNobodyReads(t *testing.T) {
	for _, c := range []struct {
		name, method string
		count, each  int
	}{
		{"ping", "ping", crowd, 100 * manyPipelined},
		{"lead", "lead", crowd, 100 * manyPipelined},
		{"no method", "nothing", crowd, 100 * manyPipelined},
		{"state", "state", crowd, 100 * manyPipelined},
		{"counts", "counts", crowd, 100 * manyPipelined},
		{"no method, and long", strings.Repeat("m", 2000), crowd / 4, 20 * manyPipelined},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := startEntry(t)
			neglect(t, e.peers, c.count, calls(c.each, func(int) string { return c.method }))
			time.Sleep(settleTime)
			e.check(t)
		})
	}
}
