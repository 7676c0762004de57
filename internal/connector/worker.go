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

// Workers is the client of workers. Tasks are started under a lease with an
// absolute expiry, renewed in batches and halted by name.
type Workers struct {
	Client *http.Client
}

// LeaseMessage is the body of every call to a worker: Tasks to start, or Names of
// tasks to renew or halt.
type LeaseMessage struct {
	Tasks  []scheduler.Task `json:"tasks,omitempty"`
	Names  []string         `json:"names,omitempty"`
	Expiry time.Time        `json:"expiry,omitzero"`
}

// ReportMessage is the response of a worker to a query for its tasks.
type ReportMessage struct {
	Running []string            `json:"running"`
	Ended   []scheduler.TaskEnd `json:"ended"`
}

// Launch starts tasks on a worker. A worker ignores a task that it has already
// received.
func (w *Workers) Launch(ctx context.Context, e scheduler.Launch) error {
	return w.post(ctx, e.Address, "/tasks", LeaseMessage{Tasks: e.Tasks, Expiry: e.Expiry}, nil)
}

// Renew extends the leases of tasks.
func (w *Workers) Renew(ctx context.Context, e scheduler.Renew) error {
	return w.post(ctx, e.Address, "/leases", LeaseMessage{Names: e.Tasks, Expiry: e.Expiry}, nil)
}

// Halt stops a task.
func (w *Workers) Halt(ctx context.Context, e scheduler.Halt) error {
	return w.post(ctx, e.Address, "/halt", LeaseMessage{Names: []string{e.Task}}, nil)
}

// Report returns the running and the ended tasks of a worker.
func (w *Workers) Report(ctx context.Context, e scheduler.PollWorker) (scheduler.WorkerReported, error) {
	var m ReportMessage
	sent := time.Now()
	if err := w.post(ctx, e.Address, "/report", LeaseMessage{}, &m); err != nil {
		return scheduler.WorkerReported{}, err
	}
	return scheduler.WorkerReported{Worker: e.Worker, Running: m.Running, Ended: m.Ended, Sent: sent}, nil
}

func (w *Workers) post(ctx context.Context, address, path string, message, result any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "encode message to worker")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "create request to worker")
	}
	response, err := w.Client.Do(request)
	if err != nil {
		return errors.Wrap(err, "call worker")
	}
	defer drainAndClose(response.Body)
	if response.StatusCode != http.StatusOK {
		return errors.Newf("call worker: status %d from %s", response.StatusCode, path)
	}
	if result == nil {
		return nil
	}
	return errors.Wrap(json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(result), "decode response of worker")
}
