package resister_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/endivelock/endivelock/internal/emulator"
	"github.com/endivelock/endivelock/internal/scheduler"
	"github.com/endivelock/endivelock/pkg/caller"
	"github.com/endivelock/endivelock/pkg/messenger"
)

const (
	// servers and slots are the backend servers of an entry that serves requests and the slots of each:
	// as many as there are requests with a body in a crowd, and some for others.
	servers = 8
	slots   = 32
	// maxServeDescriptors bounds the open descriptors of such an entry: maxDescriptors, and one for
	// each slot.
	maxServeDescriptors = maxDescriptors + servers*slots
	// maxServeHead and maxList are the largest head and the largest list.
	maxServeHead = 64 << 10
	maxList      = 2 << 20
)

// server is an entry that serves requests as a process, with its platform and its backend servers.
type server struct {
	entry
	operators, forward string // addresses
}

// startServer starts an entry that serves requests, with lines added to its settings, and waits until it does.
func startServer(t *testing.T, added ...string) *server {
	t.Helper()
	p := &emulator.Platform{}
	onPlatform := httptest.NewServer(p.Handler())
	t.Cleanup(onPlatform.Close)
	history := &emulator.History{}
	for i := range servers {
		backend := httptest.NewServer(&emulator.Backend{Slots: slots, History: history})
		t.Cleanup(backend.CloseClientConnections)
		p.Register(scheduler.Instance{Kind: scheduler.KindServer, Name: fmt.Sprintf("s%d", i), Zone: "z1", Address: backend.Listener.Addr().String(), Slots: slots})
	}
	s := &server{}
	for _, address := range []*string{&s.callers, &s.operators, &s.forward, &s.peers} {
		*address = freeAddress(t)
	}
	settings := filepath.Join(t.TempDir(), "settings.yaml")
	text := fmt.Sprintf("name: e1\nzone: z1\nzones: [z1]\nlisten: {callers: %q, operators: %q, forward: %q, peers: %q}\nplatform: %q\nservers: {status: /slots}\nmemory: %d\n%s",
		s.callers, s.operators, s.forward, s.peers, onPlatform.URL, memory, strings.Join(added, "\n"))
	assert.NilError(t, os.WriteFile(settings, []byte(text), 0o600))
	s.run(t, "serve", settings)
	ctx, stop := context.WithTimeout(context.Background(), startTimeout)
	defer stop()
	client := &caller.Client{URL: "http://" + s.operators}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, err := client.PutList(ctx, "plans", 0, []byte(`{"plans":[{"name":"p"}]}`)); err != nil {
			return poll.Continue("the list of plans is not set: %v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(startTimeout))
	_, err := client.PutList(ctx, "allowances", 0, []byte(`{"allowances":[{"plan":"p","slots":100000}]}`))
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if status, err := s.ordinary(s.callers); err != nil || status != http.StatusOK {
			return poll.Continue("the entry answers %d, %v", status, err)
		}
		return poll.Success()
	}, poll.WithTimeout(startTimeout))
	return s
}

// ordinary sends an ordinary request with a small body and returns the status of the response.
func (s *server) ordinary(address string) (int, error) {
	conn, err := net.DialTimeout("tcp", address, ordinaryTimeout)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	if _, err = conn.Write(append([]byte(callerHead("Content-Length: 2\r\n\r\n")), "{}"...)); err != nil {
		return 0, err
	}
	return answerStatus(conn)
}

// check checks that the entry has borne the crowd, which still stalls.
func (s *server) check(t *testing.T) {
	t.Helper()
	status, err := s.ordinary(s.callers)
	assert.Check(t, err)
	assert.Check(t, status == http.StatusOK, "an ordinary request is answered with %d", status)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: ordinaryTimeout}
	response, err := client.Get("http://" + s.operators + "/status")
	assert.Check(t, err)
	if err == nil {
		assert.Check(t, response.StatusCode == http.StatusOK, "a query of an operator is answered with %d", response.StatusCode)
		_ = response.Body.Close()
	}
	select {
	case err := <-s.ended:
		t.Fatalf("the entry has ended: %v", err)
	default:
	}
	peak, open := s.peak(t), s.descriptors(t)
	t.Logf("peak of memory %d MB of %d, open descriptors %d of %d", peak>>10, memory, open, maxServeDescriptors)
	assert.Check(t, peak <= memory<<10, "the entry has used %d KB of %d", peak, memory<<10)
	assert.Check(t, open <= maxServeDescriptors, "the entry has %d open descriptors, %d are allowed", open, maxServeDescriptors)
}

// callerHead returns the head of a caller's request, which other entries may forward.
func callerHead(fields string) string {
	return "POST /q HTTP/1.1\r\nHost: h.example\r\n" + messenger.HeaderPlan + ": p\r\n" + fields
}

// kind is a kind of request that a crowd sends.
type kind struct {
	name    string
	count   int
	parts   int
	request func(i int) []byte
}

// headKinds returns the kinds whose heads end late or never.
func headKinds(head func(fields string) string) []kind {
	over := []byte(head("X-Long: " + strings.Repeat("x", 14*maxServeHead) + "\r\n\r\n"))
	endless := []byte(head(strings.Repeat("X-Short: x\r\n", 10*maxServeHead/12)))
	fields := []byte(head(strings.Repeat("a:\r\n", (maxServeHead-200)/4)))
	empty := bytes.Repeat([]byte("\r\n"), maxServeHead)
	return []kind{
		{"heads over the limit", crowd, pieces, func(i int) []byte { return short(i, over) }},
		{"heads without end", crowd, pieces, func(int) []byte { return endless }},
		{"legal heads of many fields", idleCrowd, 4, func(int) []byte { return fields }},
		{"empty lines", crowd, pieces, func(int) []byte { return empty }},
		{"connections that send nothing", idleCrowd, 1, func(int) []byte { return nil }},
	}
}

// bodyKinds returns the kinds whose bodies end late or never.
func bodyKinds(head func(fields string) string, body []byte) []kind {
	plain := append([]byte(head(fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)))), body...)
	requests := func(chunk int) func(i int) []byte {
		chunked := append([]byte(head("Transfer-Encoding: chunked\r\n\r\n")), chunks(body, chunk)...)
		return func(i int) []byte { return short(i, chunked) }
	}
	return []kind{
		{"bodies at once and whole", crowd, 1, func(i int) []byte { return short(i, plain) }},
		{"bodies piece by piece", crowd, pieces, func(i int) []byte { return short(i, plain) }},
		{"large chunks", crowd, pieces, requests(64 << 10)},
		{"small chunks", crowd, pieces, requests(4)},
	}
}

// chunks returns a body in chunks of a size, with its end.
func chunks(body []byte, size int) []byte {
	var b bytes.Buffer
	for ; len(body) > 0; body = body[min(size, len(body)):] {
		n := min(size, len(body))
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, body[:n])
	}
	b.WriteString("0\r\n\r\n")
	return b.Bytes()
}

// mix returns a crowd in which the kinds take turns, so that all send at once.
func mix(kinds []kind) kind {
	return kind{"all kinds", crowd, pieces, func(i int) []byte { return kinds[i%len(kinds)].request(i / len(kinds)) }}
}

func callerKinds() []kind {
	return append(headKinds(callerHead), bodyKinds(callerHead, bytes.Repeat([]byte("x"), maxBody))...)
}

// forwardedWork is the identifier of forwarded requests, in place of which each gets its own.
const forwardedWork = "forwarded-00000000"

func forwardHead(fields string) string {
	return callerHead("Endivelock-Hops: 1\r\n" + messenger.HeaderWork + ": " + forwardedWork + "\r\n" + fields)
}

// forwardKinds returns the kinds of forwarded requests, each with an identifier of its own.
func forwardKinds() []kind {
	kinds := append(headKinds(forwardHead), bodyKinds(forwardHead, bytes.Repeat([]byte("x"), maxBody))...)
	for i, k := range kinds {
		kinds[i].request = func(n int) []byte {
			own := fmt.Appendf(nil, "forwarded-%04d%04d", i, n)
			return bytes.Replace(k.request(n), []byte(forwardedWork), own, 1)
		}
	}
	return kinds
}

func operatorHead(fields string) string {
	return "PUT /plans HTTP/1.1\r\nHost: h.example\r\nIf-Match: \"0\"\r\n" + fields
}

// list returns a list of plans of a size, filled up with blanks.
func list(size int) []byte {
	b := bytes.Repeat([]byte(" "), size)
	copy(b, `{"plans":[{"name":"p"}]`)
	b[size-1] = '}'
	return b
}

func operatorKinds() []kind {
	return append(headKinds(operatorHead), bodyKinds(operatorHead, list(maxList))...)
}

// peerKinds returns messages of peers, a length and its content: 1 MB but for the last byte, and one whose
// length has no end.
func peerKinds() []kind {
	message := append([]byte{0x80, 0x80, 0x40}, bytes.Repeat([]byte(" "), 1<<20-1)...)
	endless := bytes.Repeat([]byte{0x80}, maxServeHead)
	return []kind{
		{"messages without end", crowd, pieces, func(int) []byte { return message }},
		{"lengths without end", crowd, pieces, func(int) []byte { return endless }},
	}
}

func TestServeBearsCrowdsOfCallers(t *testing.T) {
	for _, k := range callerKinds() {
		t.Run(k.name, func(t *testing.T) {
			s := startServer(t)
			stall(t, s.callers, k.count, k.parts, k.request)
			s.check(t)
		})
	}
}

func TestServeBearsCrowdsAtTheOtherListeners(t *testing.T) {
	for _, l := range []struct {
		name    string
		address func(s *server) string
		crowd   kind
	}{
		{"forward", func(s *server) string { return s.forward }, mix(forwardKinds())},
		{"operators", func(s *server) string { return s.operators }, mix(operatorKinds())},
		{"peers", func(s *server) string { return s.peers }, mix(peerKinds())},
	} {
		t.Run(l.name, func(t *testing.T) {
			s := startServer(t)
			stall(t, l.address(s), l.crowd.count, l.crowd.parts, l.crowd.request)
			s.check(t)
		})
	}
}

// Many lists of as many rows as a body holds: more than a list may have.
func TestServeBearsListsOfManyRows(t *testing.T) {
	s := startServer(t)
	body := `{"plans":[` + strings.Repeat("{},", (maxList-100)/3) + `{}]}`
	rows := []byte(operatorHead(fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)))
	stall(t, s.operators, crowd, 1, func(int) []byte { return rows })
	s.check(t)
}

// Bodies that stalled held their slots for as long as their connections stayed open, beyond limits.request.
func TestServeFreesTheSlotsOfBodiesThatStall(t *testing.T) {
	s := startServer(t, "limits: {request: 3s}")
	body := []byte(callerHead("Prefer: wait=600\r\nContent-Length: 1000\r\n\r\nx"))
	stall(t, s.callers, 2*crowd, 1, func(int) []byte { return body }) // more than there are slots, fewer than connections
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if status, err := s.ordinary(s.callers); err != nil || status != http.StatusOK {
			return poll.Continue("an ordinary request is answered with %d, %v", status, err)
		}
		return poll.Success()
	}, poll.WithTimeout(startTimeout))
	s.check(t)
}

// All kinds at all listeners at once.
func TestServeBearsAllKindsAtOnce(t *testing.T) {
	s := startServer(t)
	for address, k := range map[string]kind{
		s.callers: mix(callerKinds()), s.operators: mix(operatorKinds()), s.peers: mix(peerKinds()),
		s.forward: mix(forwardKinds()),
	} {
		stall(t, address, k.count, k.parts, k.request)
	}
	s.check(t)
}

// A single request at the largest legal size is served, also in pieces and in small chunks.
func TestServeServesTheLargestLegalRequest(t *testing.T) {
	s := startServer(t)
	send := func(address string, k kind, want int) {
		conn, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		defer func() { _ = conn.Close() }()
		r := k.request(0)
		for part := range k.parts {
			_, err = conn.Write(r[len(r)*part/k.parts : len(r)*(part+1)/k.parts])
			assert.Check(t, err)
		}
		status, err := answerStatus(conn)
		assert.Check(t, err)
		assert.Check(t, status == want, "%s: the answer is %d", k.name, status)
	}
	for _, k := range bodyKinds(callerHead, bytes.Repeat([]byte("x"), 4<<20)) {
		send(s.callers, k, http.StatusOK)
	}
	for _, k := range bodyKinds(operatorHead, list(maxList)) {
		send(s.operators, k, http.StatusPreconditionFailed) // another edit came first
	}
	s.check(t)
}
