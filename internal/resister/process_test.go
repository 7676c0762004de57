// Package resister_test plays crowds of clients outside the limits of the users' pages against
// an entry that runs as a process of its own, with little memory, on loopback addresses.
// The crowds are small and end by themselves. The tests check that the process lives, that its
// memory and its open descriptors stay under a bound, and that an ordinary request is
// answered while the crowd stalls: nothing that depends on the machine's speed.
package resister_test

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/endivelock/endivelock/internal/emulator"
)

const (
	// memory is that of the machine in the test's settings, in megabytes.
	memory = 64
	// maxDescriptors bounds the open descriptors of the entry: a quarter of the memory at 32 KB
	// a connection, and 100 for everything else.
	maxDescriptors = memory<<20/4/(32<<10) + 100
	// startTimeout bounds the start of an entry, ordinaryTimeout an ordinary request. Neither is
	// a goal: they only end a test that hangs.
	startTimeout    = 30 * time.Second
	ordinaryTimeout = 20 * time.Second

	maxHead = 16384
	maxBody = 262144
	config  = `{"version":1,"routes":[{"name":"q","host":"h.example","prefix":"/q/","service":"s","slo_ms":1000,"timeout_ms":3000,"priority":1,"attempts":2,"stretch":2}],
		"services":[{"name":"s"}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`
)

// program is the path of the program under test.
var program string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "resister")
	if err != nil {
		fmt.Println("no folder for the program:", err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	program = filepath.Join(dir, "endivelock")
	build := exec.Command("go", "build", "-o", program, "../../cmd/endivelock")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Printf("the program could not be built: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// entry is a running process.
type entry struct {
	pid                            int
	callers, ready, peers, metrics string // addresses
	output                         *bytes.Buffer
	ended                          chan error
}

// startEntry starts an entry and a log, and waits until the entry is ready and accepts jobs.
func startEntry(t *testing.T) *entry {
	t.Helper()
	return startEntryAt(t, startLog(t), "e1")
}

// startLog starts a log that has the configuration, and returns its address.
func startLog(t *testing.T) string {
	t.Helper()
	value := append([]byte{byte(len("config"))}, "config"+config...)
	l := &log{topics: map[string][][]byte{}, epochs: map[string]int64{}}
	l.append("keyed.op", "", "", append(binary.BigEndian.AppendUint32(nil, uint32(len(value))), value...))
	server := httptest.NewServer(l)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// startEntryAt is startEntry for an entry with a name at a log.
func startEntryAt(t *testing.T, logAddress, name string) *entry {
	t.Helper()
	e := &entry{}
	for _, address := range []*string{&e.callers, &e.ready, &e.peers, &e.metrics} {
		*address = freeAddress(t)
	}
	settings := filepath.Join(t.TempDir(), "settings.yaml")
	text := fmt.Sprintf("name: %s\nzone: z1\nlisten: {callers: %q, ready: %q, peers: %q, metrics: %q}\nplatform: %q\nlease: 10s\ngrace: 3s\nkeep: 120s\nshare: 1\nmemory: %d\n",
		name, e.callers, e.ready, e.peers, e.metrics, logAddress, memory)
	assert.NilError(t, os.WriteFile(settings, []byte(text), 0o600))
	e.run(t, "schedule", settings)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if status, err := e.do("POST", "/q/00000000000000aa", `{"spec":"s","steps":[{"count":1,"cpu":1}]}`); err != nil || status != http.StatusOK {
			return poll.Continue("the entry answers %d, %v", status, err)
		}
		return poll.Success()
	}, poll.WithTimeout(startTimeout))
	return e
}

// run runs the program in a role until the test ends.
func (e *entry) run(t *testing.T, role, settings string) {
	t.Helper()
	e.output, e.ended = &bytes.Buffer{}, make(chan error, 1)
	command := exec.Command(program, role, "--config", settings)
	command.Stdout, command.Stderr = e.output, e.output
	assert.NilError(t, command.Start())
	e.pid = command.Process.Pid
	var waiter errgroup.Group
	waiter.Go(func() error {
		e.ended <- command.Wait()
		return nil
	})
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = waiter.Wait()
		if t.Failed() {
			out := e.output.String()
			t.Log("the last lines of the entry:\n" + out[max(0, len(out)-2000):])
		}
	})
}

// freeAddress returns an address that no connection and no other test takes until the test ends.
func freeAddress(t *testing.T) string {
	t.Helper()
	ports := &emulator.Ports{}
	t.Cleanup(func() { assert.Check(t, ports.Release()) })
	address, err := ports.Address()
	assert.NilError(t, err)
	return address
}

// do sends a request on a connection of its own and returns the status of the response.
func (e *entry) do(method, path, body string) (int, error) {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: ordinaryTimeout}
	r, err := http.NewRequest(method, "http://"+e.callers+path, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	r.Host = "h.example"
	response, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode, err
}

// check checks that the entry has borne the crowd, which still stalls.
func (e *entry) check(t *testing.T) {
	t.Helper()
	status, err := e.do("POST", "/q/00000000000000bb", `{"spec":"s","steps":[{"count":1,"cpu":1}]}`)
	assert.Check(t, err)
	assert.Check(t, status == http.StatusOK, "an ordinary job is answered with %d", status)
	status, err = e.do("GET", "/q/00000000000000bb", "")
	assert.Check(t, err)
	assert.Check(t, status == http.StatusOK, "a query for the job is answered with %d", status)
	select {
	case err := <-e.ended:
		t.Fatalf("the entry has ended: %v", err)
	default:
	}
	peak, open := e.peak(t), e.descriptors(t)
	t.Logf("peak of memory %d MB of %d, open descriptors %d of %d", peak>>10, memory, open, maxDescriptors)
	assert.Check(t, peak <= memory<<10, "the entry has used %d KB of %d", peak, memory<<10)
	assert.Check(t, open <= maxDescriptors, "the entry has %d open descriptors, %d are allowed", open, maxDescriptors)
}

// peak returns the largest resident memory that the process has had, in kilobytes.
func (e *entry) peak(t *testing.T) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.pid))
	assert.NilError(t, err)
	found := regexp.MustCompile(`(?m)^VmHWM:\s+(\d+) kB$`).FindSubmatch(status)
	assert.Assert(t, found != nil)
	n, err := strconv.Atoi(string(found[1]))
	assert.NilError(t, err)
	return n
}

func (e *entry) descriptors(t *testing.T) int {
	t.Helper()
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", e.pid))
	assert.NilError(t, err)
	return len(open)
}

// answerStatus returns the status of the response on a connection.
func answerStatus(conn net.Conn) (int, error) {
	if err := conn.SetReadDeadline(time.Now().Add(ordinaryTimeout)); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}
