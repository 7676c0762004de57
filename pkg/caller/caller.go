// Package caller is the client of an entry's HTTP interface for operators. A
// response with an error status is returned as a messenger.Problem.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/endivelock/endivelock/pkg/messenger"
)

// maxResponseBytes bounds the part of a response body that is read.
const maxResponseBytes = 64 << 20

// Client calls one entry. Only the URL is required.
type Client struct {
	URL  string // base URL of the listener for operators
	HTTP *http.Client
}

// Get decodes a resource into target, a pointer, and returns the resource's
// version, 0 if it has none.
func (c *Client) Get(ctx context.Context, path string, target any) (int64, error) {
	return c.call(ctx, http.MethodGet, path, nil, nil, target)
}

// PutList replaces a list if its version is still baseVersion, and returns the
// new version. Otherwise it returns a messenger.Problem with status 412.
func (c *Client) PutList(ctx context.Context, list string, baseVersion int64, body []byte) (int64, error) {
	header := http.Header{"If-Match": {`"` + strconv.FormatInt(baseVersion, 10) + `"`}}
	return c.call(ctx, http.MethodPut, "/"+list, header, body, nil)
}

// Mark sets the mark of an instance to "leave" or "stop", or removes it if mark is
// empty.
func (c *Client) Mark(ctx context.Context, instance, mark string) (int64, error) {
	body, err := json.Marshal(map[string]string{"instance": instance, "mark": mark})
	if err != nil {
		return 0, errors.Wrap(err, "encode mark")
	}
	return c.call(ctx, http.MethodPost, "/marks", nil, body, nil)
}

// Submit submits a work item and returns its identifier. With a key the call is
// idempotent, and the key becomes the identifier.
func (c *Client) Submit(ctx context.Context, w messenger.Work, key string) (string, error) {
	body, err := json.Marshal(w)
	if err != nil {
		return "", errors.Wrap(err, "encode work")
	}
	header := http.Header{}
	if key != "" {
		header.Set("Idempotency-Key", key)
	}
	var created struct {
		ID string `json:"id"`
	}
	_, err = c.call(ctx, http.MethodPost, "/work", header, body, &created)
	return created.ID, err
}

// Cancel cancels a work item.
func (c *Client) Cancel(ctx context.Context, id string) error {
	_, err := c.call(ctx, http.MethodDelete, "/work/"+id, nil, nil, nil)
	return err
}

func (c *Client) call(ctx context.Context, method, path string, header http.Header, body []byte, target any) (int64, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.URL+path, bytes.NewReader(body))
	if err != nil {
		return 0, errors.Wrap(err, "create request")
	}
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := c.client().Do(request)
	if err != nil {
		return 0, errors.Wrap(err, "reach entry")
	}
	defer func() { _ = response.Body.Close() }()
	limited := io.LimitReader(response.Body, maxResponseBytes)
	if response.StatusCode >= http.StatusBadRequest {
		return 0, problemOf(response, limited)
	}
	version, _ := strconv.ParseInt(strings.Trim(response.Header.Get("ETag"), `"`), 10, 64)
	if target == nil {
		return version, nil
	}
	return version, errors.Wrap(json.NewDecoder(limited).Decode(target), "decode response of entry")
}

func problemOf(response *http.Response, body io.Reader) error {
	var p messenger.Problem
	if json.NewDecoder(body).Decode(&p) != nil || p.Title == "" {
		p = messenger.Problem{Title: response.Status, Outcome: "unknown"}
	}
	p.Status = response.StatusCode
	return p
}

func (c *Client) client() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return http.DefaultClient
}
