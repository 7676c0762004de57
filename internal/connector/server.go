package connector

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Servers queries the status resource of backend servers.
type Servers struct {
	Client *http.Client
	Path   string // path of the status resource, empty if the servers have none
}

// Busy returns the number of busy slots that a server reports.
func (s *Servers) Busy(ctx context.Context, address string) (int, error) {
	if s.Path == "" {
		return 0, errors.New("backend servers have no status resource")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+s.Path, nil)
	if err != nil {
		return 0, errors.Wrap(err, "query slots of server")
	}
	response, err := s.Client.Do(request)
	if err != nil {
		return 0, errors.Wrap(err, "query slots of server")
	}
	defer drainAndClose(response.Body)
	if response.StatusCode != http.StatusOK {
		return 0, errors.Newf("query slots of server: status %d", response.StatusCode)
	}
	var report struct {
		Busy *int `json:"busy"`
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, 1<<16)).Decode(&report); err != nil {
		return 0, errors.Wrap(err, "decode slots of server")
	}
	if report.Busy == nil || *report.Busy < 0 {
		return 0, errors.New("status of server lacks a valid number of busy slots")
	}
	return *report.Busy, nil
}
