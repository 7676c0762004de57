// Package connector is the HTTP and JSON client of the platform, its workers and
// the backend servers. The platform offers an append-only log with offsets and a
// list of instances that lags behind the actual ones. The package treats the
// contents of the log as opaque bytes.
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

// maxResponseBytes bounds the body of one response.
const maxResponseBytes = 64 << 20

// Error is a failed call to the platform.
type Error struct {
	Operation string
	Status    int  // HTTP status, 0 without a response
	Sent      bool // the operation may have taken effect
	Cause     error
}

// Error returns the operation and the cause or the status.
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

// Batch is one batch of a stream as stored by the platform.
type Batch struct {
	Offset int64     `json:"offset"`
	Time   time.Time `json:"time"`
	Data   []byte    `json:"data"`
}

// Page is the result of one read. Next is the offset of the next read; First is
// the oldest offset that the platform retains.
type Page struct {
	First   int64   `json:"first"`
	Next    int64   `json:"next"`
	Batches []Batch `json:"entries"`
	Tail    bool    `json:"tail"` // the page ends at the end of the stream
}

// Platform is a client of the platform at a base URL.
type Platform struct {
	URL    string
	Zone   string // availability zone of the caller
	Client *http.Client
}

// Append appends a batch to a stream and returns its offset. After an error with
// Sent set, the batch may or may not be in the log.
func (p *Platform) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	var result struct {
		Offset int64 `json:"offset"`
	}
	err := p.call(ctx, "append", http.MethodPost, "/log/"+stream, data, &result)
	return result.Offset, err
}

// Read returns batches of a stream, starting at offset from. If there are none
// yet, the platform holds the request open for up to wait.
func (p *Platform) Read(ctx context.Context, stream string, from int64, wait time.Duration) (Page, error) {
	var page Page
	path := "/log/" + stream + "?from=" + strconv.FormatInt(from, 10) + "&wait=" + wait.String()
	err := p.call(ctx, "read", http.MethodGet, path, nil, &page)
	return page, err
}

// List returns the platform's list of instances, which may be out of date.
func (p *Platform) List(ctx context.Context) ([]scheduler.Instance, error) {
	var result struct {
		Instances []scheduler.Instance `json:"instances"`
	}
	err := p.call(ctx, "list", http.MethodGet, "/instances", nil, &result)
	return result.Instances, err
}

func (p *Platform) call(ctx context.Context, operation, method, path string, body []byte, result any) error {
	request, err := http.NewRequestWithContext(ctx, method, p.URL+path, bytes.NewReader(body))
	if err != nil {
		return &Error{Operation: operation, Cause: err}
	}
	request.Header.Set("Platform-Zone", p.Zone)
	response, err := p.client().Do(request)
	if err != nil {
		return &Error{Operation: operation, Sent: true, Cause: err}
	}
	defer drainAndClose(response.Body)
	if response.StatusCode != http.StatusOK {
		sent := response.StatusCode != http.StatusTooManyRequests
		return &Error{Operation: operation, Status: response.StatusCode, Sent: sent}
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(result)
	if err != nil {
		return &Error{Operation: operation, Sent: true, Cause: errors.Wrap(err, "decode response")}
	}
	return nil
}

func (p *Platform) client() *http.Client {
	if p.Client != nil {
		return p.Client
	}
	return http.DefaultClient
}

// drainAndClose reads a short rest of a body, so that the client can reuse the
// connection, and closes the body.
func drainAndClose(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, 4096)
	_ = body.Close()
}
