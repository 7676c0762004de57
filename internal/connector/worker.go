package connector

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/endivelock/endivelock/internal/scheduler"
)

// Workers speaks to workers: tasks start under a lease with an absolute end,
// are renewed in batches, and are halted by name.
type Workers struct {
	Client *http.Client
}

// LeaseMessage starts or renews tasks.
type LeaseMessage struct {
	Tasks  []scheduler.Task `json:"tasks,omitempty"`
	Names  []string         `json:"names,omitempty"`
	Expiry time.Time        `json:"expiry,omitzero"`
}

// ReportMessage is what a worker says of its tasks.
type ReportMessage struct {
	Running []string            `json:"running"`
	Ended   []scheduler.TaskEnd `json:"ended"`
}

// Launch starts tasks on a worker. A worker ignores a task that it has had.
func (w *Workers) Launch(ctx context.Context, e scheduler.Launch) error {
	return w.post(ctx, e.Address, "/tasks", LeaseMessage{Tasks: e.Tasks, Expiry: e.Expiry}, nil)
}

// Renew extends leases.
func (w *Workers) Renew(ctx context.Context, e scheduler.Renew) error {
	return w.post(ctx, e.Address, "/leases", LeaseMessage{Names: e.Tasks, Expiry: e.Expiry}, nil)
}

// Halt ends a task.
func (w *Workers) Halt(ctx context.Context, e scheduler.Halt) error {
	return w.post(ctx, e.Address, "/halt", LeaseMessage{Names: []string{e.Task}}, nil)
}

// Report asks a worker for its tasks.
func (w *Workers) Report(ctx context.Context, e scheduler.Ask) (scheduler.WorkerReported, error) {
	var m ReportMessage
	if err := w.post(ctx, e.Address, "/report", LeaseMessage{}, &m); err != nil {
		return scheduler.WorkerReported{}, err
	}
	return scheduler.WorkerReported{Worker: e.Worker, Running: m.Running, Ended: m.Ended}, nil
}

func (w *Workers) post(ctx context.Context, address, path string, message, answer any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "encode message to worker")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "address worker")
	}
	response, err := w.Client.Do(request)
	if err != nil {
		return errors.Wrap(err, "reach worker")
	}
	defer drop(response.Body)
	if response.StatusCode != http.StatusOK {
		return errors.Newf("worker answered status %d to %s", response.StatusCode, path)
	}
	if answer == nil {
		return nil
	}
	return errors.Wrap(json.NewDecoder(io.LimitReader(response.Body, maxAnswer)).Decode(answer), "decode answer of worker")
}
