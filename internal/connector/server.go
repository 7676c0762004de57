package connector

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Servers asks backend servers about their slots.
type Servers struct {
	Client *http.Client
	Path   string // path of the status resource, empty if servers have none
}

// Busy returns how many slots a server says are busy.
func (s *Servers) Busy(ctx context.Context, address string) (int, error) {
	if s.Path == "" {
		return 0, errors.New("backend servers have no status resource")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+s.Path, nil)
	if err != nil {
		return 0, errors.Wrap(err, "ask server for its slots")
	}
	response, err := s.Client.Do(request)
	if err != nil {
		return 0, errors.Wrap(err, "ask server for its slots")
	}
	defer drop(response.Body)
	if response.StatusCode != http.StatusOK {
		return 0, errors.Newf("server answered status %d for its slots", response.StatusCode)
	}
	var answer struct {
		Busy *int `json:"busy"`
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, 1<<16)).Decode(&answer); err != nil {
		return 0, errors.Wrap(err, "decode slots of server")
	}
	if answer.Busy == nil || *answer.Busy < 0 {
		return 0, errors.New("answer of server lacks a valid number of busy slots")
	}
	return *answer.Busy, nil
}
