package demonstrator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/endivelock/endivelock/internal/conductor"
	"github.com/endivelock/endivelock/internal/emulator"
	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
	"github.com/endivelock/endivelock/internal/loader"
	"github.com/endivelock/endivelock/internal/replicator"
	"github.com/endivelock/endivelock/internal/timer"
)

// Parameters of the demo of jobs.
const (
	jobEntries       = 3
	jobWorkers       = 6
	jobPeriod        = 50 * time.Millisecond // between two submissions
	jobRun           = 200 * time.Millisecond
	jobLease         = 6 * time.Second
	jobGrace         = 2 * time.Second
	jobKeep          = time.Minute
	jobMemoryMB      = 256                   // of each entry
	acceptTimeout    = 5 * time.Second       // for the acceptance of one job, including a takeover
	leaderPollPeriod = 10 * time.Millisecond // between two checks for a leader or a complete job
)

// JobsResult is the result of Jobs.
type JobsResult struct {
	Accepted   int      `json:"accepted"`
	Complete   int      `json:"complete"`
	Unknown    int      `json:"unknown"` // jobs of which it is not known whether they were accepted
	Takeover   float64  `json:"takeover_ms"`
	Violations []string `json:"faults"` // task starts that violated an invariant, by the workers' own records
}

// Lost returns how many accepted jobs did not complete.
func (r JobsResult) Lost() int { return r.Accepted - r.Complete }

// Jobs is a demo of entries that schedule jobs of two steps on a cell, with the log
// and the workers emulated. Halfway through, it partitions the leader and all
// entries linked to it from the log.
type Jobs struct {
	Duration time.Duration
	Logger   logrus.FieldLogger

	log     emulator.Log
	cell    *emulator.Cell
	entries []*jobEntry
	ports   emulator.Ports
}

// jobEntry is one entry of the demo.
type jobEntry struct {
	*conductor.Entry
	logClient *emulator.LogClient
}

// stepSize returns the resources that each task of the demo uses.
func stepSize(ledger.TaskID) ledger.Resources { return ledger.Resources{CPU: 1000, Memory: 1000} }

// Run submits jobs for the duration and returns once all accepted jobs are complete
// or have timed out.
func (d *Jobs) Run(ctx context.Context) (JobsResult, error) {
	d.cell = &emulator.Cell{RunTime: jobRun, Capacity: ledger.Resources{CPU: 8000, Memory: 8000}, Size: stepSize}
	if d.Logger == nil {
		silent := logrus.New()
		silent.SetLevel(logrus.PanicLevel)
		d.Logger = silent
	}
	if err := d.listWorkers(ctx); err != nil {
		return JobsResult{}, err
	}
	defer func() { _ = d.ports.Release() }() // the entries no longer listen on these ports
	running, stop := context.WithCancel(ctx)
	group, running := errgroup.WithContext(running)
	for i := range jobEntries {
		e, err := d.newEntry(fmt.Sprintf("entry-%d", i+1))
		if err != nil {
			stop()
			return JobsResult{}, err
		}
		d.entries = append(d.entries, e)
		group.Go(func() error { return e.Run(running) })
	}
	r, err := d.submitJobs(running)
	stop()
	if runErr := group.Wait(); err == nil && !errors.Is(runErr, context.Canceled) {
		err = runErr
	}
	return r, err
}

func (d *Jobs) listWorkers(ctx context.Context) error {
	for i := range jobWorkers {
		data, err := json.Marshal(leader.Listing{Address: "worker", Service: "demo", Capacity: d.cell.Capacity, Incarnation: 1})
		if err != nil {
			return errors.Wrap(err, "encode worker")
		}
		value := replicator.Value{Name: fmt.Sprintf("worker-%d", i+1), Data: data}
		if _, err := d.log.Append(ctx, replicator.Append{Stream: emulator.WorkersStream, Values: []replicator.Value{value}}); err != nil {
			return errors.Wrap(err, "append worker to the list")
		}
	}
	return nil
}

// newEntry returns an entry that listens on the loopback interface.
func (d *Jobs) newEntry(name string) (*jobEntry, error) {
	s := loader.Cell{Name: name, Zone: "demo", Lease: jobLease, Grace: jobGrace, Keep: jobKeep, Share: 1, Memory: jobMemoryMB}
	for _, listen := range []*string{&s.Listen.Callers, &s.Listen.Ready, &s.Listen.Peers, &s.Listen.Metrics} {
		address, err := d.ports.Address()
		if err != nil {
			return nil, err
		}
		*listen = address
	}
	client := &emulator.LogClient{Log: &d.log}
	e := conductor.New(s, conductor.Ports{Platform: client, Workers: d.cell}, d.Logger.WithField("entry", name))
	e.Callers, e.Ready = http.NotFoundHandler(), http.NotFoundHandler()
	return &jobEntry{e, client}, nil
}

// submitJobs submits jobs, partitions the leader from the log halfway and waits for
// all accepted jobs to complete.
func (d *Jobs) submitJobs(ctx context.Context) (JobsResult, error) {
	var r JobsResult
	if _, err := d.waitLeader(ctx, nil); err != nil {
		return r, err
	}
	half := time.Now().Add(d.Duration / 2)
	var cut *jobEntry
	var accepted []ledger.ID
	for i, end := 0, time.Now().Add(d.Duration); time.Now().Before(end); i++ {
		if cut == nil && time.Now().After(half) {
			takeover, former, err := d.forceTakeover(ctx)
			if err != nil {
				return r, err
			}
			cut, r.Takeover = former, float64(takeover.Microseconds())/1000
		}
		id := ledger.ID(fmt.Sprintf("job-%d", i))
		if d.submit(ctx, d.entries[i%len(d.entries)], id) {
			accepted = append(accepted, id)
		} else {
			r.Unknown++
		}
		timer.Sleep(ctx, jobPeriod)
	}
	if cut != nil {
		cut.logClient.SetCut(false)
	}
	r.Accepted = len(accepted)
	for _, id := range accepted {
		if d.waitComplete(ctx, id) {
			r.Complete++
		}
	}
	r.Violations = d.cell.Violations()
	return r, ctx.Err()
}

// submit submits a job to an entry and reports whether it was accepted, that is,
// written to the log.
func (d *Jobs) submit(ctx context.Context, e *jobEntry, id ledger.ID) bool {
	bounded, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	step := ledger.Step{Count: 4, Request: stepSize(ledger.TaskID{}), Estimate: jobRun}
	second := step
	second.After = []int{0}
	err := e.Acceptor.Accept(bounded, ledger.Job{
		ID: id, Accepted: time.Now(), Queue: ledger.Queue{Name: "demo", Service: "demo", Attempts: 2}, Steps: []ledger.Step{step, second},
	})
	if err != nil {
		d.Logger.WithField("job", string(id)).WithError(err).Warn("job not accepted")
	}
	return err == nil
}

// waitLeader waits until an entry other than former leads and returns it.
func (d *Jobs) waitLeader(ctx context.Context, former *jobEntry) (*jobEntry, error) {
	bounded, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for bounded.Err() == nil {
		for _, e := range d.entries {
			if e != former && e.Leading() {
				return e, nil
			}
		}
		timer.Sleep(bounded, leaderPollPeriod)
	}
	return nil, errors.Wrap(bounded.Err(), "wait for a leader")
}

// forceTakeover partitions the leader from the log and returns how long it takes
// until another entry leads, and the former leader.
func (d *Jobs) forceTakeover(ctx context.Context) (time.Duration, *jobEntry, error) {
	former, err := d.waitLeader(ctx, nil)
	if err != nil {
		return 0, nil, err
	}
	began := time.Now()
	former.logClient.SetCut(true)
	if gauge, ok := former.Registry.Get("lead.epoch").(metrics.Gauge); ok {
		d.log.DropAppends(gauge.Value()) // also when relayed by other entries
	}
	_, err = d.waitLeader(ctx, former)
	return time.Since(began), former, err
}

// waitComplete waits until a job is complete and reports whether it is.
func (d *Jobs) waitComplete(ctx context.Context, id ledger.ID) bool {
	bounded, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for bounded.Err() == nil {
		state, _, err := d.entries[0].Inspector.JobState(bounded, id)
		if err == nil && state == ledger.Complete {
			return true
		}
		timer.Sleep(bounded, leaderPollPeriod)
	}
	return false
}
