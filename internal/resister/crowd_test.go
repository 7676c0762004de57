package resister_test

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

const (
	// crowd is the number of connections of a crowd that sends much, idleCrowd of one that
	// sends little.
	crowd     = 240
	idleCrowd = 1000
	// completes is how many requests there are for each that is sent to its end.
	completes = 8
	// pieces is the number of parts of a request that is sent piece by piece. All connections
	// send a part before any sends the next.
	pieces = 16
	// writeTimeout ends the writing of a part that the entry doesn't read. settleTime is how
	// long the entry has to read what is in its sockets.
	writeTimeout = 5 * time.Second
	settleTime   = 1500 * time.Millisecond
)

// stall opens connections to an address and sends each its request in parts, then leaves
// them open until the test ends. A connection that the entry closes stays closed.
func stall(t *testing.T, address string, count, parts int, request func(i int) []byte) {
	t.Helper()
	rush(t, address, count, parts, request)
	time.Sleep(settleTime)
}

// rush is stall without the time to settle. It returns the connections.
func rush(t *testing.T, address string, count, parts int, request func(i int) []byte) []net.Conn {
	t.Helper()
	conns := make([]net.Conn, count)
	requests := make([][]byte, count)
	for i := range conns {
		conn, err := net.DialTimeout("tcp", address, writeTimeout)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		conns[i], requests[i] = conn, request(i)
	}
	for part := range parts {
		var writers errgroup.Group
		for i, conn := range conns {
			r := requests[i]
			piece := r[len(r)*part/parts : len(r)*(part+1)/parts]
			writers.Go(func() error {
				_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
				_, _ = conn.Write(piece) // the entry may have closed the connection
				return nil
			})
		}
		_ = writers.Wait()
	}
	return conns
}

// job returns a legal job of a size, filled up with blanks.
func job(size int) []byte {
	b := bytes.Repeat([]byte(" "), size)
	copy(b, `{"spec":"s","steps":[{"count":1,"cpu":1}]`)
	b[size-1] = '}'
	return b
}

func headOf(i int, fields string) string {
	return fmt.Sprintf("POST /q/%016x HTTP/1.1\r\nHost: h.example\r\n%s", i+1, fields)
}

// short leaves out the last byte of most requests.
func short(i int, request []byte) []byte {
	if i%completes == 0 {
		return request
	}
	return request[:len(request)-1]
}

func plain(i int) []byte {
	return short(i, append([]byte(headOf(i, fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBody))), job(maxBody)...))
}

// chunked returns a request with chunks of a size, the last of which and the end are one byte short.
func chunked(size int) func(i int) []byte {
	var chunks bytes.Buffer
	for rest := job(maxBody); len(rest) > 0; {
		n := min(size, len(rest))
		fmt.Fprintf(&chunks, "%x\r\n%s\r\n", n, rest[:n])
		rest = rest[n:]
	}
	chunks.WriteString("0\r\n\r\n")
	return func(i int) []byte {
		return short(i, append([]byte(headOf(i, "Transfer-Encoding: chunked\r\n\r\n")), chunks.Bytes()...))
	}
}

func TestHeadsOverTheLimit(t *testing.T) {
	e := startEntry(t)
	stall(t, e.callers, crowd, pieces, func(i int) []byte {
		return short(i, []byte(headOf(i, "X-Long: "+strings.Repeat("x", 56*maxHead)+"\r\n\r\n")))
	})
	e.check(t)
}

func TestHeadsWithoutEnd(t *testing.T) {
	e := startEntry(t)
	stall(t, e.callers, crowd, pieces, func(i int) []byte {
		return []byte(headOf(i, strings.Repeat("X-Short: x\r\n", 40*maxHead/12)))
	})
	e.check(t)
}

// All heads are below the limit, but their fields are as many as fit.
func TestLegalHeadsOfManyFields(t *testing.T) {
	e := startEntry(t)
	stall(t, e.callers, idleCrowd, 4, func(i int) []byte {
		return []byte(headOf(i, strings.Repeat("a:\r\n", (maxHead-200)/4)))
	})
	e.check(t)
}

func TestEmptyLinesBeforeARequest(t *testing.T) {
	e := startEntry(t)
	stall(t, e.callers, crowd, pieces, func(int) []byte { return bytes.Repeat([]byte("\r\n"), 4*maxHead) })
	e.check(t)
}

func TestConnectionsThatSendNothing(t *testing.T) {
	e := startEntry(t)
	stall(t, e.callers, idleCrowd, 1, func(int) []byte { return nil })
	e.check(t)
}

func TestBodiesAtOnceAndWhole(t *testing.T) {
	e := startEntry(t)
	stall(t, e.callers, crowd, 1, plain)
	e.check(t)
}

func TestBodiesPieceByPiece(t *testing.T) {
	e := startEntry(t)
	stall(t, e.callers, crowd, pieces, plain)
	e.check(t)
}

func TestLargeChunks(t *testing.T) {
	e := startEntry(t)
	stall(t, e.callers, crowd, pieces, chunked(64<<10))
	e.check(t)
}

func TestSmallChunks(t *testing.T) {
	e := startEntry(t)
	stall(t, e.callers, crowd, pieces, chunked(4))
	e.check(t)
}

// Many legal jobs of as many steps as a body holds: more than a job may have.
func TestBodiesOfManySteps(t *testing.T) {
	e := startEntry(t)
	steps := `{"spec":"s","steps":[` + strings.Repeat("{},", (maxBody-100)/3) + `{}]}`
	stall(t, e.callers, crowd, 1, func(i int) []byte {
		return []byte(headOf(i, fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(steps), steps)))
	})
	e.check(t)
}

// The other listeners: of peers, of the load balancer and of scrapers.
func TestCrowdsAtTheOtherListeners(t *testing.T) {
	e := startEntry(t)
	for _, address := range []string{e.ready, e.metrics} {
		stall(t, address, crowd/2, pieces, func(i int) []byte {
			return []byte(headOf(i, strings.Repeat("X-Short: x\r\n", 40*maxHead/12)))
		})
	}
	// A message of peers is a length, here 1 MB, and its content, all but the last byte.
	message := append([]byte{0x80, 0x80, 0x40}, bytes.Repeat([]byte(" "), 1<<20-1)...)
	stall(t, e.peers, crowd, pieces, func(int) []byte { return message })
	e.check(t)
}

// A single request at the largest legal size is served, also in pieces and in small chunks, and so
// while a crowd stalls.
func TestTheLargestLegalRequestIsServed(t *testing.T) {
	e := startEntry(t)
	requests := [][]byte{plain(0), chunked(64 << 10)(8), chunked(4)(16)}
	send := func() {
		for _, r := range requests {
			conn, err := net.Dial("tcp", e.callers)
			assert.NilError(t, err)
			for part := range pieces {
				_, err = conn.Write(r[len(r)*part/pieces : len(r)*(part+1)/pieces])
				assert.Check(t, err)
			}
			status, err := answerStatus(conn)
			assert.Check(t, err)
			assert.Check(t, status == 200, "the answer is %d", status)
			_ = conn.Close()
		}
	}
	send()
	stall(t, e.callers, crowd, 1, plain)
	send()
	e.check(t)
}
