package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"
)

// client is a client that keeps its open connection to one entry for as long as the
// process there is up, and then goes on to the next.
type client struct {
	mu    sync.Mutex
	entry int
	http  *http.Client
}

func newClient(entry int) *client {
	return &client{entry: entry, http: &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}}
}

// send sends a request and returns the status, or 0 without a complete answer.
func (c *client) send(s *soak, method string, q queue, id string, body any) int {
	status, _ := c.exchange(s, method, q, id, body)
	return status
}

// exchange sends a request and returns the status and the state in the answer.
func (c *client) exchange(s *soak, method string, q queue, id string, body any) (int, string) {
	c.mu.Lock()
	entry := c.entry
	c.mu.Unlock()
	status, state, sent, err := c.call(s, entry, method, q, id, body)
	if err == nil {
		return status, state
	}
	if sent && s.cell.entries[entry].cutsRequests(time.Now()) {
		s.breaks("LOST: %s %s%s at entry %d: it was read and not answered: %v", method, q.prefix(), id, entry+1, err)
	}
	c.mu.Lock()
	if c.entry == entry {
		c.entry = (entry + 1) % len(s.cell.fronts)
	}
	c.mu.Unlock()
	return 0, ""
}

// lossSlack is how long after its last byte was sent a request may end without an answer
// although the entry stops.
const lossSlack = 200 * time.Millisecond

// call makes one call. Sent tells whether the entry may have read the whole request.
func (c *client) call(s *soak, entry int, method string, q queue, id string, body any) (status int, state string, sent bool, err error) {
	var data io.Reader
	if body != nil {
		encoded, _ := json.Marshal(body)
		data = bytes.NewReader(encoded)
	}
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+s.cell.fronts[entry]+q.prefix()+id, data)
	if err != nil {
		return 0, "", false, err
	}
	r.Host = clientHost
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	var wrote atomic.Int64
	r = r.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteRequest: func(i httptrace.WroteRequestInfo) {
			if i.Err == nil {
				wrote.Store(time.Now().UnixNano())
			}
		},
	}))
	response, err := c.http.Do(r)
	if err != nil {
		at := wrote.Load()
		return 0, "", at > 0 && time.Since(time.Unix(0, at)) > lossSlack && ctx.Err() == nil, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, "", true, err
	}
	var answer struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(content, &answer)
	return response.StatusCode, answer.State, true, nil
}
