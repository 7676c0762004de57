package resister_test

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Crowds at all listeners of entries that share a log.
func TestCrowdsAtSeveralEntries(t *testing.T) {
	address := startLog(t)
	var entries []*entry
	for i := range 3 {
		entries = append(entries, startEntryAt(t, address, fmt.Sprintf("e%d", i+1)))
	}
	steps := `{"spec":"s","steps":[` + strings.Repeat(`{"count":1},`, 999) + `{"count":1}]}`
	for _, e := range entries {
		rush(t, e.peers, crowd/3, pieces, kinds())
		rush(t, e.callers, crowd/3, pieces, kinds())
	}
	for _, e := range entries {
		readAll(rush(t, e.callers, crowd/3, 1, func(i int) []byte {
			return append([]byte(post(i, 0, steps)), "GET /q/ HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n\r\n"...)
		}))
	}
	for _, e := range entries {
		e.check(t)
	}
}

// Whole messages at the listener of peers, of a method that is not known.
func TestWholeMessagesOfPeers(t *testing.T) {
	e := startEntry(t)
	data := strings.Repeat("A", 64<<10)
	var messages bytes.Buffer
	for k := range pipelined {
		m := fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":"nothing","params":{"name":"x","data":"%s"}}`, k, data)
		messages.Write(binary.AppendUvarint(nil, uint64(len(m))))
		messages.WriteString(m)
	}
	stall(t, e.peers, crowd, 1, func(int) []byte { return messages.Bytes() })
	e.check(t)
}

// Guards against a deadline that overflows and so has passed at once.
func TestALongDeadlineIsServed(t *testing.T) {
	e := startEntry(t)
	for _, deadline := range []string{"86400000", "9223372036855", "9223372036854775807"} {
		r, err := http.NewRequest(http.MethodPost, "http://"+e.callers+"/q/00000000000000cc", bytes.NewReader(job(400)))
		assert.NilError(t, err)
		r.Host = "h.example"
		r.Header.Set("X-Deadline-Ms", deadline)
		response, err := (&http.Client{Timeout: ordinaryTimeout}).Do(r)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Check(t, response.StatusCode == http.StatusOK, "with a deadline of %s ms the answer is %d", deadline, response.StatusCode)
	}
}
