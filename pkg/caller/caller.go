// Package caller is a client of the operators' interface of an entry.
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

// maxAnswer bounds the bytes of one answer.
const maxAnswer = 64 << 20

// Client speaks to one entry. The zero value with a URL works.
type Client struct {
	URL  string // base URL of the entry's operators' listener
	HTTP *http.Client
}

// Get reads a resource into answer and returns its version, 0 if it has none.
func (c *Client) Get(ctx context.Context, path string, answer any) (int64, error) {
	return c.call(ctx, http.MethodGet, path, nil, nil, answer)
}

// PutList replaces a list that was edited from a version and returns the new
// version. A stale version gives a messenger.Problem with status 412.
func (c *Client) PutList(ctx context.Context, list string, basis int64, body []byte) (int64, error) {
	header := http.Header{"If-Match": {`"` + strconv.FormatInt(basis, 10) + `"`}}
	return c.call(ctx, http.MethodPut, "/"+list, header, body, nil)
}

// Mark sets the mark of an instance: "leave", "stop" or an empty one.
func (c *Client) Mark(ctx context.Context, instance, mark string) (int64, error) {
	body, err := json.Marshal(map[string]string{"instance": instance, "mark": mark})
	if err != nil {
		return 0, errors.Wrap(err, "encode mark")
	}
	return c.call(ctx, http.MethodPost, "/marks", nil, body, nil)
}

// Submit submits a work item and returns its identifier. A key makes the call
// idempotent; it becomes the identifier.
func (c *Client) Submit(ctx context.Context, w messenger.Work, key string) (string, error) {
	body, err := json.Marshal(w)
	if err != nil {
		return "", errors.Wrap(err, "encode work")
	}
	header := http.Header{}
	if key != "" {
		header.Set("Idempotency-Key", key)
	}
	var answer struct {
		ID string `json:"id"`
	}
	_, err = c.call(ctx, http.MethodPost, "/work", header, body, &answer)
	return answer.ID, err
}

// Cancel cancels a work item.
func (c *Client) Cancel(ctx context.Context, id string) error {
	_, err := c.call(ctx, http.MethodDelete, "/work/"+id, nil, nil, nil)
	return err
}

func (c *Client) call(ctx context.Context, method, path string, header http.Header, body []byte, answer any) (int64, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.URL+path, bytes.NewReader(body))
	if err != nil {
		return 0, errors.Wrap(err, "address entry")
	}
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := c.client().Do(request)
	if err != nil {
		return 0, errors.Wrap(err, "reach entry")
	}
	defer func() { _ = response.Body.Close() }()
	limited := io.LimitReader(response.Body, maxAnswer)
	if response.StatusCode >= http.StatusBadRequest {
		return 0, problemOf(response, limited)
	}
	version, _ := strconv.ParseInt(strings.Trim(response.Header.Get("ETag"), `"`), 10, 64)
	if answer == nil {
		return version, nil
	}
	return version, errors.Wrap(json.NewDecoder(limited).Decode(answer), "decode answer of entry")
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
