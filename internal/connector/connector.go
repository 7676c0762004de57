// Package connector speaks the platform's published protocol: the append-only
// log with offsets and the lagging list of instances, both over HTTP with JSON.
// It knows nothing of what the log holds.
package connector

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/endivelock/endivelock/internal/scheduler"
)

// maxAnswer bounds the bytes of one answer of the platform.
const maxAnswer = 64 << 20

// Error says what failed in an exchange with the platform. Sent tells whether
// the request may have taken effect.
type Error struct {
	Operation string
	Status    int  // HTTP status, 0 if there was no answer
	Sent      bool // the operation may have taken effect
	Cause     error
}

// Error describes the failure.
func (e *Error) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("platform %s: %v", e.Operation, e.Cause)
	}
	return fmt.Sprintf("platform %s: status %d", e.Operation, e.Status)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Unsent reports whether the operation is known to have had no effect.
func (e *Error) Unsent() bool { return !e.Sent }

var _ error = (*Error)(nil)

// Entry is one batch of the log as the platform keeps it.
type Entry struct {
	Offset int64     `json:"offset"`
	Time   time.Time `json:"time"`
	Data   []byte    `json:"data"`
}

// Page is a part of a stream. Next is the offset to read from next; First is
// the oldest offset that the platform still has.
type Page struct {
	First   int64   `json:"first"`
	Next    int64   `json:"next"`
	Entries []Entry `json:"entries"`
	Tail    bool    `json:"tail"` // nothing newer was there
}

// Platform is a client of the platform at a base URL.
type Platform struct {
	URL    string
	Zone   string // the zone that the caller is in
	Client *http.Client
}

// Append adds a batch to a stream and returns its offset. An error with Sent
// leaves open whether the batch is in the log.
func (p *Platform) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	var answer struct {
		Offset int64 `json:"offset"`
	}
	err := p.call(ctx, "append", http.MethodPost, "/log/"+stream, data, &answer)
	return answer.Offset, err
}

// Read returns batches of a stream from an offset on. It waits up to wait for
// something to be there.
func (p *Platform) Read(ctx context.Context, stream string, from int64, wait time.Duration) (Page, error) {
	var page Page
	path := "/log/" + stream + "?from=" + strconv.FormatInt(from, 10) + "&wait=" + wait.String()
	err := p.call(ctx, "read", http.MethodGet, path, nil, &page)
	return page, err
}

// List returns the platform's list of instances.
func (p *Platform) List(ctx context.Context) ([]scheduler.Instance, error) {
	var answer struct {
		Instances []scheduler.Instance `json:"instances"`
	}
	err := p.call(ctx, "list", http.MethodGet, "/instances", nil, &answer)
	return answer.Instances, err
}

func (p *Platform) call(ctx context.Context, operation, method, path string, body []byte, answer any) error {
	request, err := http.NewRequestWithContext(ctx, method, p.URL+path, bytes.NewReader(body))
	if err != nil {
		return &Error{Operation: operation, Cause: err}
	}
	request.Header.Set("Platform-Zone", p.Zone)
	response, err := p.client().Do(request)
	if err != nil {
		return &Error{Operation: operation, Sent: true, Cause: err}
	}
	defer drop(response.Body)
	if response.StatusCode != http.StatusOK {
		sent := response.StatusCode != http.StatusTooManyRequests
		return &Error{Operation: operation, Status: response.StatusCode, Sent: sent}
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxAnswer)).Decode(answer)
	if err != nil {
		return &Error{Operation: operation, Sent: true, Cause: errors.Wrap(err, "decode answer")}
	}
	return nil
}

func (p *Platform) client() *http.Client {
	if p.Client != nil {
		return p.Client
	}
	return http.DefaultClient
}

// drop reads a little of what is left, so that the connection can be used
// again, and closes the body.
func drop(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, 4096)
	_ = body.Close()
}
