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

// Headers of a caller's request that the backend stand-in understands.
const (
	HeaderRequest = "Bench-Request" // identifier, recorded and repeated
	HeaderTake    = "Bench-Take"    // duration of the work
	HeaderBytes   = "Bench-Bytes"   // length of the answer
	HeaderDigest  = "Bench-Digest"  // hash of the request's body, in the answer
)

// Conduct is how a backend server behaves.
type Conduct struct {
	Delay   time.Duration `json:"delay"`   // added to every request, nanoseconds; a late answer
	Fail    bool          `json:"fail"`    // every request is answered with an error
	Crossed bool          `json:"crossed"` // answers name another request
	Paused  bool          `json:"paused"`  // nothing goes on, as if the process were stopped
}

// pausePeriod is the time between two looks whether a pause is over.
const pausePeriod = 20 * time.Millisecond

// Backend is a backend server with slots.
type Backend struct {
	Slots int
	Book  *Book

	mu      sync.Mutex
	busy    int
	highest int
	over    int
	conduct Conduct
}

// SetConduct changes how the server behaves.
func (b *Backend) SetConduct(c Conduct) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.conduct = c
}

// Highest returns the highest number of requests at once and how often a
// request came while all slots were busy.
func (b *Backend) Highest() (highest, over int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.highest, b.over
}

// waitPause returns when the server is not paused.
func (b *Backend) waitPause(ctx context.Context) {
	ticker := time.NewTicker(pausePeriod)
	defer ticker.Stop()
	for {
		b.mu.Lock()
		paused := b.conduct.Paused
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

func (b *Backend) enter() Conduct {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.busy++
	b.highest = max(b.highest, b.busy)
	if b.busy > b.Slots {
		b.over++
	}
	return b.conduct
}

func (b *Backend) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.busy--
}

// ServeHTTP runs one request, or answers how many slots are busy.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.waitPause(r.Context())
	if r.URL.Path == "/slots" {
		b.mu.Lock()
		defer b.mu.Unlock()
		answer(w, map[string]int{"busy": b.busy, "slots": b.Slots})
		return
	}
	c := b.enter()
	defer b.leave()
	id := r.Header.Get(HeaderRequest)
	b.Book.Ran(id)
	take, _ := time.ParseDuration(r.Header.Get(HeaderTake))
	digest := xxhash.New()
	_, _ = io.Copy(digest, r.Body)
	time.Sleep(take + c.Delay)
	b.waitPause(r.Context())
	b.reply(w, r, c, digest.Sum64())
}

func (b *Backend) reply(w http.ResponseWriter, r *http.Request, c Conduct, digest uint64) {
	work := r.Header.Get(messenger.HeaderWork)
	if c.Crossed {
		work = "another-request"
	}
	if work != "" {
		w.Header().Set(messenger.HeaderWork, work)
	}
	w.Header().Set(HeaderRequest, r.Header.Get(HeaderRequest))
	w.Header().Set(HeaderDigest, strconv.FormatUint(digest, 16))
	if c.Fail {
		http.Error(w, "the server fails everything", http.StatusInternalServerError)
		return
	}
	length, _ := strconv.Atoi(r.Header.Get(HeaderBytes))
	w.Header().Set("Content-Length", strconv.Itoa(length))
	_, _ = io.CopyN(w, &pattern{seed: r.Header.Get(HeaderRequest)}, int64(length))
}

// pattern is an endless text that depends on a seed, so that an answer shows
// which request it belongs to and whether it is whole.
type pattern struct {
	seed string
	at   int
}

var _ io.Reader = (*pattern)(nil)

// Read fills a buffer.
func (p *pattern) Read(b []byte) (int, error) {
	text := p.seed + "."
	for i := range b {
		b[i] = text[p.at%len(text)]
		p.at++
	}
	return len(b), nil
}

// CheckAnswer reads an answer and reports how it differs from the right one
// for a request, nil if it does not.
func CheckAnswer(body io.Reader, seed string, length int64) error {
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
