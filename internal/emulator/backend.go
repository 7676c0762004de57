package emulator

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/endivelock/endivelock/pkg/messenger"
)

// Headers of a caller's request that Backend reads.
const (
	HeaderRequest = "Bench-Request" // identifier, recorded and returned in the response
	HeaderTake    = "Bench-Take"    // time that the server works on the request
	HeaderBytes   = "Bench-Bytes"   // length of the response's body
	HeaderDigest  = "Bench-Digest"  // xxhash of the request's body, set on the response
)

// BackendFaults are the faults injected into a backend server.
type BackendFaults struct {
	Delay   time.Duration `json:"delay"`   // added to every request, nanoseconds
	Fail    bool          `json:"fail"`    // every request fails with status 500
	Crossed bool          `json:"crossed"` // responses carry the work identifier of another request
	Paused  bool          `json:"paused"`  // no request makes progress, as if the process were stopped
}

// pausePollPeriod is the time between two checks whether a pause is over.
const pausePollPeriod = 20 * time.Millisecond

// Backend emulates a backend server with slots. It accepts requests beyond its
// slots and counts them.
type Backend struct {
	Slots   int
	History *History

	mu            sync.Mutex
	busy          int
	peak          int
	overcommitted int
	faults        BackendFaults
}

// SetFaults replaces the faults of the server.
func (b *Backend) SetFaults(f BackendFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
}

// Peak returns the highest number of concurrent requests and how many requests
// arrived while all slots were busy.
func (b *Backend) Peak() (peak, overcommitted int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.peak, b.overcommitted
}

// waitWhilePaused blocks until the server is not paused or ctx is done.
func (b *Backend) waitWhilePaused(ctx context.Context) {
	ticker := time.NewTicker(pausePollPeriod)
	defer ticker.Stop()
	for {
		b.mu.Lock()
		paused := b.faults.Paused
		b.mu.Unlock()
		if !paused {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (b *Backend) beginRequest() BackendFaults {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.busy++
	b.peak = max(b.peak, b.busy)
	if b.busy > b.Slots {
		b.overcommitted++
	}
	return b.faults
}

func (b *Backend) endRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.busy--
}

// ServeHTTP runs one request, or reports the busy slots at /slots.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.waitWhilePaused(r.Context())
	if r.URL.Path == "/slots" {
		b.mu.Lock()
		defer b.mu.Unlock()
		writeJSON(w, map[string]int{"busy": b.busy, "slots": b.Slots})
		return
	}
	f := b.beginRequest()
	defer b.endRequest()
	id := r.Header.Get(HeaderRequest)
	b.History.RecordRequest(id)
	work, _ := time.ParseDuration(r.Header.Get(HeaderTake))
	digest := xxhash.New()
	_, _ = io.Copy(digest, r.Body)
	time.Sleep(work + f.Delay)
	b.waitWhilePaused(r.Context())
	b.respond(w, r, f, digest.Sum64())
}

func (b *Backend) respond(w http.ResponseWriter, r *http.Request, f BackendFaults, digest uint64) {
	work := r.Header.Get(messenger.HeaderWork)
	if f.Crossed {
		work = "another-request"
	}
	if work != "" {
		w.Header().Set(messenger.HeaderWork, work)
	}
	w.Header().Set(HeaderRequest, r.Header.Get(HeaderRequest))
	w.Header().Set(HeaderDigest, strconv.FormatUint(digest, 16))
	if f.Fail {
		http.Error(w, "the server fails everything", http.StatusInternalServerError)
		return
	}
	length, _ := strconv.Atoi(r.Header.Get(HeaderBytes))
	w.Header().Set("Content-Length", strconv.Itoa(length))
	_, _ = io.CopyN(w, &pattern{seed: r.Header.Get(HeaderRequest)}, int64(length))
}

// pattern is an endless text that depends on a seed. It lets a client verify
// that a response belongs to its request and is complete.
type pattern struct {
	seed   string
	offset int
}

var _ io.Reader = (*pattern)(nil)

// Read fills b with the next bytes of the pattern.
func (p *pattern) Read(b []byte) (int, error) {
	text := p.seed + "."
	for i := range b {
		b[i] = text[p.offset%len(text)]
		p.offset++
	}
	return len(b), nil
}

// CheckResponse reads a response's body and returns an error if it is not the
// pattern of the seed with the given length.
func CheckResponse(body io.Reader, seed string, length int64) error {
	want := &pattern{seed: seed}
	got, buffer, expect := int64(0), make([]byte, 32<<10), make([]byte, 32<<10)
	for {
		n, err := body.Read(buffer)
		_, _ = want.Read(expect[:n])
		if string(buffer[:n]) != string(expect[:n]) {
			return fmt.Errorf("answer to %q differs within %d bytes after %d", seed, n, got)
		}
		got += int64(n)
		if err == io.EOF {
			break
		}
		if err != nil {
			return err
		}
	}
	if got != length {
		return fmt.Errorf("answer to %q has %d bytes, not %d", seed, got, length)
	}
	return nil
}
