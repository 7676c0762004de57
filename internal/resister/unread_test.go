package resister_test

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

// receiveBuffer is the buffer of a client that reads no answers, so that the entry waits soon.
const receiveBuffer = 4 << 10

// neglect sends a request on each of many connections and reads no answer.
func neglect(t *testing.T, address string, count int, request []byte) {
	t.Helper()
	var writers errgroup.Group
	for range count {
		conn, err := net.DialTimeout("tcp", address, writeTimeout)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		assert.NilError(t, conn.(*net.TCPConn).SetReadBuffer(receiveBuffer))
		writers.Go(func() error {
			_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			_, _ = conn.Write(request)
			return nil
		})
	}
	_ = writers.Wait()
}

// scrape sends an ordinary request to one of the other listeners.
func scrape(t *testing.T, address string) {
	t.Helper()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: ordinaryTimeout}
	response, err := client.Get("http://" + address + "/")
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusOK)
}

// Guards against connections that keep all places of a listener while nobody reads their answers.
func TestAnswersThatFillTheirConnections(t *testing.T) {
	e := startEntry(t)
	number := `{"times":` + strings.Repeat("9", 7000) + `}`
	request := repeat(manyPipelined, func(k int) string { return post(1, k, number) })
	neglect(t, e.callers, idleCrowd, request)
	e.check(t)
}

// The same at the listeners of the load balancer and of scrapers.
func TestOtherListenersWhoseAnswersNobodyReads(t *testing.T) {
	e := startEntry(t)
	request := repeat(10*manyPipelined, func(int) string { return "GET / HTTP/1.1\r\nHost: h\r\n\r\n" })
	for _, address := range []string{e.ready, e.metrics} {
		neglect(t, address, crowd/2, request)
	}
	scrape(t, e.metrics)
	scrape(t, e.ready)
	e.check(t)
}
