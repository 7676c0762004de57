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

// Sizes of the demo of jobs.
const (
	jobEntries   = 3
	jobWorkers   = 6
	jobPeriod    = 50 * time.Millisecond // between two jobs
	jobRun       = 200 * time.Millisecond
	jobLease     = 6 * time.Second
	jobGrace     = 2 * time.Second
	jobKeep      = time.Minute
	jobMemory    = 256                   // megabytes for each entry
	acceptTime   = 5 * time.Second       // for one job, across a takeover
	leaderPeriod = 10 * time.Millisecond // between two looks for a leader
)

// JobsResult is what a demo of jobs measured.
type JobsResult struct {
	Accepted int      `json:"accepted"`
	Complete int      `json:"complete"`
	Unknown  int      `json:"unknown"` // jobs whose acceptance got no answer
	Takeover float64  `json:"takeover_ms"`
	Faults   []string `json:"faults"` // starts that broke a rule, by the workers' own records
}

// Lost returns how many accepted jobs did not complete.
func (r JobsResult) Lost() int { return r.Accepted - r.Complete }

// Jobs runs entries that schedule jobs of two steps on a cell of workers, over
// stand-ins of the log and the workers, and cuts the leader off the log halfway, with
// all entries that it is linked to.
type Jobs struct {
	Duration time.Duration
	Logger   logrus.FieldLogger

	log     emulator.Log
	cell    *emulator.Cell
	members []*member
	ports   ports
}

// member is one entry of the demo.
type member struct {
	*conductor.Entry
	way *emulator.Way
}

// jobStep is what each task of the demo takes.
func jobStep(ledger.TaskID) ledger.Size { return ledger.Size{CPU: 1000, Memory: 1000} }

// Run runs the demo until all accepted jobs are complete.
func (d *Jobs) Run(ctx context.Context) (JobsResult, error) {
	d.cell = &emulator.Cell{Length: jobRun, Room: ledger.Size{CPU: 8000, Memory: 8000}, Size: jobStep}
	if d.Logger == nil {
		silent := logrus.New()
		silent.SetLevel(logrus.PanicLevel)
		d.Logger = silent
	}
	if err := d.listWorkers(ctx); err != nil {
		return JobsResult{}, err
	}
	defer func() { _ = d.ports.release() }() // nothing listens there any more
	running, stop := context.WithCancel(ctx)
	group, running := errgroup.WithContext(running)
	for i := range jobEntries {
		m, err := d.entry(fmt.Sprintf("entry-%d", i+1))
		if err != nil {
			stop()
			return JobsResult{}, err
		}
		d.members = append(d.members, m)
		group.Go(func() error { return m.Run(running) })
	}
	r, err := d.play(running)
	stop()
	if ended := group.Wait(); err == nil && !errors.Is(ended, context.Canceled) {
		err = ended
	}
	return r, err
}

func (d *Jobs) listWorkers(ctx context.Context) error {
	for i := range jobWorkers {
		data, err := json.Marshal(leader.Listing{Address: "worker", Service: "demo", Room: d.cell.Room, Life: 1})
		if err != nil {
			return errors.Wrap(err, "encode worker")
		}
		value := replicator.Value{Name: fmt.Sprintf("worker-%d", i+1), Data: data}
		if _, err := d.log.Append(ctx, replicator.Append{Stream: emulator.Workers, Values: []replicator.Value{value}}); err != nil {
			return errors.Wrap(err, "list worker")
		}
	}
	return nil
}

// entry returns an entry that listens on the loopback interface.
func (d *Jobs) entry(name string) (*member, error) {
	s := loader.Cell{Name: name, Zone: "demo", Lease: jobLease, Grace: jobGrace, Keep: jobKeep, Share: 1, Memory: jobMemory}
	for _, place := range []*string{&s.Listen.Callers, &s.Listen.Ready, &s.Listen.Peers, &s.Listen.Metrics} {
		address, err := d.ports.address()
		if err != nil {
			return nil, err
		}
		*place = address
	}
	way := &emulator.Way{Log: &d.log}
	e := conductor.New(s, conductor.Ports{Platform: way, Workers: d.cell}, d.Logger.WithField("entry", name))
	e.Callers, e.Ready = http.NotFoundHandler(), http.NotFoundHandler()
	return &member{e, way}, nil
}

// play submits jobs, cuts off the leader halfway and waits for all jobs.
func (d *Jobs) play(ctx context.Context) (JobsResult, error) {
	var r JobsResult
	if _, err := d.leader(ctx, nil); err != nil {
		return r, err
	}
	half := time.Now().Add(d.Duration / 2)
	var cut *member
	var accepted []ledger.ID
	for i, end := 0, time.Now().Add(d.Duration); time.Now().Before(end); i++ {
		if cut == nil && time.Now().After(half) {
			took, former, err := d.takeover(ctx)
			if err != nil {
				return r, err
			}
			cut, r.Takeover = former, float64(took.Microseconds())/1000
		}
		id := ledger.ID(fmt.Sprintf("job-%d", i))
		if d.accept(ctx, d.members[i%len(d.members)], id) {
			accepted = append(accepted, id)
		} else {
			r.Unknown++
		}
		timer.Sleep(ctx, jobPeriod)
	}
	if cut != nil {
		cut.way.SetCut(false)
	}
	r.Accepted = len(accepted)
	for _, id := range accepted {
		if d.completes(ctx, id) {
			r.Complete++
		}
	}
	r.Faults = d.cell.Faults()
	return r, ctx.Err()
}

// accept submits a job to an entry and reports whether it is in the log.
func (d *Jobs) accept(ctx context.Context, m *member, id ledger.ID) bool {
	bounded, cancel := context.WithTimeout(ctx, acceptTime)
	defer cancel()
	step := ledger.Step{Count: 4, Size: jobStep(ledger.TaskID{}), Estimate: jobRun}
	second := step
	second.After = []int{0}
	err := m.Acceptor.Accept(bounded, ledger.Job{
		ID: id, Accepted: time.Now(), Queue: ledger.Queue{Name: "demo", Service: "demo", Attempts: 2}, Steps: []ledger.Step{step, second},
	})
	if err != nil {
		d.Logger.WithField("job", string(id)).WithError(err).Warn("job not accepted")
	}
	return err == nil
}

// leader waits for an entry other than one that leads.
func (d *Jobs) leader(ctx context.Context, other *member) (*member, error) {
	bounded, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for bounded.Err() == nil {
		for _, m := range d.members {
			if m != other && m.Leading() {
				return m, nil
			}
		}
		timer.Sleep(bounded, leaderPeriod)
	}
	return nil, errors.Wrap(bounded.Err(), "no entry leads")
}

// takeover cuts the leader off the log and returns how long it takes until
// another entry leads.
func (d *Jobs) takeover(ctx context.Context) (time.Duration, *member, error) {
	former, err := d.leader(ctx, nil)
	if err != nil {
		return 0, nil, err
	}
	began := time.Now()
	former.way.SetCut(true)
	if gauge, ok := former.Registry.Get("lead.epoch").(metrics.Gauge); ok {
		d.log.Ignore(gauge.Value()) // by way of other entries, too
	}
	_, err = d.leader(ctx, former)
	return time.Since(began), former, err
}

// completes waits until a job is complete.
func (d *Jobs) completes(ctx context.Context, id ledger.ID) bool {
	bounded, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for bounded.Err() == nil {
		state, _, err := d.members[0].Inspector.JobState(bounded, id)
		if err == nil && state == ledger.Complete {
			return true
		}
		timer.Sleep(bounded, leaderPeriod)
	}
	return false
}
