package resister_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

// pipelined is the number of requests that a connection sends without reading an answer, manyPipelined that of
// small ones.
const (
	pipelined     = 16
	manyPipelined = 200
)

// repeat returns requests one after the other.
func repeat(n int, request func(k int) string) []byte {
	var b bytes.Buffer
	for k := range n {
		b.WriteString(request(k))
	}
	return b.Bytes()
}

// post returns a submission of a job with an identifier of its own.
func post(i, k int, body string) string {
	return fmt.Sprintf("POST /q/%016x HTTP/1.1\r\nHost: h.example\r\nContent-Length: %d\r\n\r\n%s", i<<16+k+1<<40, len(body), body)
}

// with returns a request with a method and a path, and the largest body, one byte short.
func with(method, path, fields string) []byte {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\nContent-Length: %d\r\n%s\r\n", method, path, maxBody, fields)
	return append([]byte(head), job(maxBody)[:maxBody-1]...)
}

// chunkExtensions returns a request whose chunks have long extensions, the last of which has no end.
func chunkExtensions(i int) []byte {
	extended := strings.Repeat("1;x="+strings.Repeat("x", 3000)+"\r\n{\r\n", 60)
	return []byte(headOf(i, "Transfer-Encoding: chunked\r\n\r\n") + extended + "1;" + strings.Repeat("x", maxBody))
}

// trailers returns a request with trailers without end.
func trailers(i int) []byte {
	return []byte(headOf(i, "Transfer-Encoding: chunked\r\nTrailer: X\r\n\r\n") + "2\r\n{}\r\n0\r\n" + strings.Repeat("X: x\r\n", maxBody/6))
}

// unread returns a request whose body the entry need not read.
func unread(i int) []byte {
	switch path := fmt.Sprintf("/q/%016x", i+1); i % 6 {
	case 0:
		return with("POST", "/unknown/", "")
	case 1:
		return with("GET", path, "")
	case 2:
		return with("DELETE", path, "")
	case 3:
		return with("PATCH", path, "")
	case 4:
		return with("POST", path, "Expect: 100-continue\r\n")
	default:
		return with("POST", "/q/", "")
	}
}

// kinds returns all kinds of requests in turn.
func kinds() func(i int) []byte {
	large, small := chunked(64<<10), chunked(4)
	all := []func(i int) []byte{
		plain, large, small, chunkExtensions, trailers, unread,
		func(i int) []byte { return []byte(headOf(i, "X-Long: "+strings.Repeat("x", 56*maxHead))) },
		func(i int) []byte { return []byte(headOf(i, strings.Repeat("X-Short: x\r\n", 40*maxHead/12))) },
		func(i int) []byte { return []byte(headOf(i, strings.Repeat("a:\r\n", (maxHead-200)/4))) },
		func(int) []byte { return bytes.Repeat([]byte("\r\n"), 4*maxHead) },
		func(int) []byte { return nil },
		func(i int) []byte {
			return repeat(manyPipelined, func(int) string { return "GET /q/ HTTP/1.1\r\nHost: h.example\r\n\r\n" })
		},
	}
	return func(i int) []byte { return all[i%len(all)](i) }
}

func TestChunkExtensionsWithoutEnd(t *testing.T) {
	e := startEntry(t)
	stall(t, e.callers, crowd, pieces, chunkExtensions)
	e.check(t)
}

func TestTrailersWithoutEnd(t *testing.T) {
	e := startEntry(t)
	stall(t, e.callers, crowd, pieces, trailers)
	e.check(t)
}

// The bodies of requests that are refused or carried out without them.
func TestBodiesThatAreNotNeeded(t *testing.T) {
	e := startEntry(t)
	stall(t, e.callers, crowd, pieces, unread)
	e.check(t)
}

func TestBodiesByTheByte(t *testing.T) {
	e := startEntry(t)
	stall(t, e.callers, crowd, 512, func(i int) []byte {
		return short(i, []byte(headOf(i, "Content-Length: 400\r\n\r\n")+string(job(400))))
	})
	e.check(t)
}

// Guards against one metric for each method that a client makes up.
func TestMethodsThatDoNotExist(t *testing.T) {
	e := startEntry(t)
	conns := rush(t, e.callers, crowd, 1, func(i int) []byte {
		requests := repeat(manyPipelined, func(k int) string {
			return fmt.Sprintf("M%dX%d /q/%016x HTTP/1.1\r\nHost: h.example\r\n\r\n", i, k, k)
		})
		return append(requests, "GET /q/ HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n\r\n"...)
	})
	readAll(conns)
	e.check(t)
}

// readAll reads until the entry has closed the connections.
func readAll(conns []net.Conn) {
	var readers errgroup.Group
	for _, conn := range conns {
		readers.Go(func() error {
			_ = conn.SetReadDeadline(time.Now().Add(ordinaryTimeout))
			_, _ = io.Copy(io.Discard, conn)
			return nil
		})
	}
	_ = readers.Wait()
}

func TestAnswersThatNobodyReads(t *testing.T) {
	e := startEntry(t)
	stall(t, e.callers, crowd, 1, func(i int) []byte {
		return repeat(manyPipelined, func(k int) string {
			return fmt.Sprintf("GET /q/%016x HTTP/1.1\r\nHost: h.example\r\n\r\n", k)
		})
	})
	e.check(t)
}

// Guards against log lines as long as clients like, in a queue that counts lines.
func TestLongPathsOfNoRoute(t *testing.T) {
	e := startEntry(t)
	path := strings.Repeat("x", maxHead-200)
	stall(t, e.callers, crowd, 1, func(int) []byte {
		return repeat(4*pipelined, func(int) string { return "GET /" + path + " HTTP/1.1\r\nHost: h.example\r\n\r\n" })
	})
	e.check(t)
}

// Guards against errors that repeat what the client sent.
func TestNumbersThatFillABody(t *testing.T) {
	e := startEntry(t)
	body := `{"times":` + strings.Repeat("9", maxBody-100) + `}`
	stall(t, e.callers, crowd, 1, func(i int) []byte {
		return repeat(4, func(k int) string { return post(i, k, body) })
	})
	e.check(t)
}

func TestAnswersOfOtherListenersThatNobodyReads(t *testing.T) {
	e := startEntry(t)
	for _, address := range []string{e.ready, e.metrics} {
		stall(t, address, crowd/2, 1, func(int) []byte {
			return repeat(10*manyPipelined, func(int) string { return "GET / HTTP/1.1\r\nHost: h\r\n\r\n" })
		})
	}
	e.check(t)
}

func TestAllKindsAtOnce(t *testing.T) {
	e := startEntry(t)
	for _, address := range []string{e.ready, e.metrics, e.peers} {
		rush(t, address, crowd, pieces, kinds())
	}
	stall(t, e.callers, crowd, pieces, kinds())
	e.check(t)
}

func TestCrowdsThatComeBack(t *testing.T) {
	e := startEntry(t)
	request := kinds()
	for range 8 {
		for _, conn := range rush(t, e.callers, crowd, 1, request) {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}
	time.Sleep(settleTime)
	e.check(t)
}

// Guards against accepted jobs that take up all memory: legal ones that differ from ordinary ones in what they take.
func TestManyLargestJobs(t *testing.T) {
	var after strings.Builder
	after.WriteString(`{"spec":"s","steps":[{"count":1}`)
	for after.Len() < maxBody-1000 {
		after.WriteString(`,{"count":1,"after":[0` + strings.Repeat(",0", 200) + `]}`)
	}
	after.WriteString("]}")
	spec := strings.Repeat("s", 4000)
	full := `{"spec":"` + spec + `","steps":[` + strings.Repeat(`{"count":1,"cpu":500,"mem_mb":256,"est_ms":900,"checkpoint":true,"required_label":"`+strings.Repeat("l", 150)+`"},`, 999) + `{"count":1}]}`
	assert.Assert(t, len(full) < maxBody)
	for _, c := range []struct {
		name, body string
		each       int
	}{
		{"of the largest size", full, 1},
		{"of steps after others", after.String(), 1},
		{"of many steps in a small body", `{"spec":"s","steps":[` + strings.Repeat(`{"count":1},`, 999) + `{"count":1}]}`, 4},
		{"of many tasks", `{"spec":"s","steps":[{"count":3500}]}`, 16},
		{"with a large spec", `{"spec":"` + spec + `","steps":[{"count":1}]}`, 64},
		{"of many occurrences", `{"spec":"s","times":10000,"steps":[{"count":1}]}`, 16},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := startEntry(t)
			readAll(rush(t, e.callers, crowd, 1, func(i int) []byte {
				requests := repeat(c.each, func(k int) string { return post(i, k, c.body) })
				return append(requests, "GET /q/ HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n\r\n"...)
			}))
			e.check(t)
		})
	}
}

func TestDeadlinesWithoutEnd(t *testing.T) {
	e := startEntry(t)
	stall(t, e.callers, idleCrowd, 1, func(i int) []byte {
		deadline := []string{"9223372036854775807", "9223372036855", "86400000"}[i%3]
		return append([]byte(headOf(i, fmt.Sprintf("X-Deadline-Ms: %s\r\nContent-Length: 400\r\n\r\n", deadline))), job(400)[:399]...)
	})
	e.check(t)
}
