package leader_test

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
)

// queueLoad is the load of one queue. Counts and times are means.
type queueLoad struct {
	name      string
	priority  int
	perSecond float64
	steps     int
	width     int // tasks of a step
	size      ledger.Resources
	run       time.Duration // of a task
	stretch   float64
	objective time.Duration
	advice    ledger.Advice
	permitted float64 // fraction of the workers that advice permits
	burst     burst
	workspace string                                // that its jobs count against
	rng       *rand.Rand                            // of its jobs, nil for the cell's
	shape     func(c *simulatedCell, j *ledger.Job) // changes a job before it is submitted
}

// burst multiplies the rate of a queue for a time.
type burst struct {
	from, until time.Duration
	factor      float64
}

// cellLoad is a cell and the load on it.
type cellLoad struct {
	workers int
	callers int
	lasting float64 // fraction of the capacity that lasting tasks use
	queues  []queueLoad
	// eventTime is the time that the control thread takes for an event. Events that
	// arrive meanwhile wait.
	eventTime time.Duration
	// workspaces share the cell.
	workspaces []ledger.Workspace
	// effectTime is the time that it takes for each effect of an event, on top of that.
	effectTime time.Duration
	far        float64 // how many times as long a task takes away from its rack or its gang
	waits      bool    // the leader knows that
	blind      bool    // workers report no progress
}

// cellResult is what became of the jobs of a queue.
type cellResult struct {
	jobs, inAim, late int           // jobs asked for, ended within the objective, and within three times the objective
	refused           int           // jobs turned away
	ended             int           // jobs
	took              time.Duration // by these
	longest           time.Duration // by one of these
}

// plus returns the jobs of both results.
func (r cellResult) plus(o cellResult) cellResult {
	return cellResult{jobs: r.jobs + o.jobs, inAim: r.inAim + o.inAim, late: r.late + o.late, refused: r.refused + o.refused}
}

// simulatedCell drives a leader with the load of a cell. The same seed gives the same
// run.
type simulatedCell struct {
	cellLoad
	rng     *rand.Rand
	drawn   *rand.Rand // of what is the same however jobs are placed
	state   leader.State
	start   time.Time
	now     time.Time
	events  timedEvents
	order   int       // of events at the same time
	free    time.Time // when the control thread has applied all events so far
	names   []string
	running map[string][]dayTask
	ends    map[string]int64
	jobs    map[ledger.ID]simulatedJob
	results map[string]cellResult
	calls   int
	starts  int
	kinds   map[string]int // decisions by what and why
	control time.Duration  // real time that the leader has taken
	peak    int            // most waiting steps
	// Jobs that are submitted between these times since the start are counted.
	countFrom, countUntil time.Duration
}

type simulatedJob struct {
	queue    *queueLoad
	accepted time.Time
	aim      time.Duration
	counted  bool
	job      ledger.Job
	seed     uint64 // of its run times
}

// timedEvents is a heap of functions by the time at which they are due.
type timedEvents []timedEvent

type timedEvent struct {
	at    time.Time
	order int
	do    func()
}

// Len returns the number of events.
func (q timedEvents) Len() int { return len(q) }

// Less reports whether one event is due before another.
func (q timedEvents) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].order < q[j].order
}

// Swap swaps two events.
func (q timedEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push adds an event.
func (q *timedEvents) Push(x any) { *q = append(*q, x.(timedEvent)) }

// Pop removes the last event of the heap.
func (q *timedEvents) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

const (
	// appendTime is how long the log takes for a batch, and orderTime a worker for an
	// order.
	appendTime = 5 * time.Millisecond
	orderTime  = 3 * time.Millisecond
	// entryTime is what an advice call takes beyond the service's decision.
	entryTime = 10 * time.Millisecond
	// pollTime is how long after an end a report arrives at most.
	pollTime = 25 * time.Millisecond
	// stopTime is how long a worker takes to stop a task.
	stopTime = 500 * time.Millisecond
)

var workerSize = ledger.Resources{CPU: 64_000, Memory: 262_144}

// newSimulatedCell returns a cell whose workers have reported and whose lasting tasks
// run.
func newSimulatedCell(seed uint64, load cellLoad) *simulatedCell {
	c := &simulatedCell{
		cellLoad: load, rng: rand.New(rand.NewPCG(seed, seed)), start: time.Unix(1_700_000_000, 0), running: map[string][]dayTask{}, ends: map[string]int64{},
		jobs: map[ledger.ID]simulatedJob{}, results: map[string]cellResult{}, kinds: map[string]int{},
	}
	c.now, c.drawn = c.start, c.rng
	if load.far > 0 {
		c.drawn = rand.New(rand.NewPCG(seed, seed+1))
	}
	policy := leader.Policy{Lease: testLease, MaxStaleRenewal: 5 * time.Second, MinPassInterval: 10 * time.Millisecond}
	if load.waits {
		policy.Far = load.far
	}
	c.state = leader.New(policy, c.now)
	if len(load.workspaces) > 0 {
		c.apply(leader.WorkspacesChanged{Version: 1, Workspaces: load.workspaces})
	}
	for i := range load.workers {
		name := fmt.Sprintf("w%04d", i)
		c.names = append(c.names, name)
		c.apply(leader.Listed{Listing: leader.Listing{ID: name, Address: name, Service: "s", Capacity: workerSize, Rack: rackOf(name), Labels: []string{rackOf(name)}}})
		c.apply(leader.Reported{Worker: name, Report: leader.Report{Incarnation: 1}, Sent: c.now, Silence: 1})
		c.at(time.Duration(i)*time.Second/time.Duration(load.workers), func() { c.reportFully(name) })
	}
	var callers []string
	for i := range load.callers {
		callers = append(callers, fmt.Sprintf("e%d", i))
	}
	c.apply(leader.CallersChanged{Callers: callers})
	if load.lasting > 0 {
		step := ledger.Step{Count: int(load.lasting * float64(load.workers) * 4), Request: ledger.Resources{CPU: workerSize.CPU / 4, Memory: workerSize.Memory / 8}, LongRunning: true}
		c.apply(leader.Accepted{Job: ledger.Job{ID: "lasting", Accepted: c.now, Queue: ledger.Queue{Name: "lasting", Service: "s", Priority: 1}, Steps: []ledger.Step{step}}})
	}
	c.at(100*time.Millisecond, c.tick)
	for i := range c.queues {
		c.arrive(&c.queues[i])
	}
	return c
}

// at has a function called after a time.
func (c *simulatedCell) at(d time.Duration, do func()) {
	c.order++
	heap.Push(&c.events, timedEvent{c.now.Add(d), c.order, do})
}

// run plays the cell until a time since its start.
func (c *simulatedCell) run(until time.Duration) {
	end := c.start.Add(until)
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e := heap.Pop(&c.events).(timedEvent)
		c.now = e.at
		e.do()
	}
	c.now = end
}

func (c *simulatedCell) tick() {
	c.apply(leader.Ticked{Sent: c.now})
	c.at(100*time.Millisecond, c.tick)
	c.peak = max(c.peak, c.state.Counts(c.now).WaitingSteps)
}

// arrive submits a job of a queue and schedules the next one.
func (c *simulatedCell) arrive(q *queueLoad) {
	rate := q.perSecond
	if since := c.now.Sub(c.start); since >= q.burst.from && since < q.burst.until {
		rate *= q.burst.factor
	}
	c.at(time.Duration(c.random(q).ExpFloat64()/rate*float64(time.Second)), func() {
		c.submit(q)
		c.arrive(q)
	})
}

// random returns the source of a queue's jobs.
func (c *simulatedCell) random(q *queueLoad) *rand.Rand {
	if q.rng != nil {
		return q.rng
	}
	return c.drawn
}

func (c *simulatedCell) submit(q *queueLoad) {
	c.order++
	id := ledger.ID(fmt.Sprintf("%s%d", q.name, c.order))
	counted := c.now.Sub(c.start) >= c.countFrom && (c.countUntil == 0 || c.now.Sub(c.start) < c.countUntil)
	if r := c.results[q.name]; counted {
		r.jobs++
		c.results[q.name] = r
	}
	advice := q.advice
	job := ledger.Job{ID: id, Accepted: c.now, Workspace: q.workspace, Queue: ledger.Queue{
		Name: q.name, Service: "s", Priority: q.priority, Stretch: q.stretch, Objective: q.objective, Advice: &advice,
	}}
	for i := range q.steps {
		step := ledger.Step{Count: max(1, int(float64(q.width)*(0.5+c.random(q).Float64()))), Request: q.size, Estimate: q.run, Checkpoint: q.priority > 0}
		if i > 0 {
			step.After = []int{i - 1}
		}
		job.Steps = append(job.Steps, step)
	}
	if _, refused := c.state.Refuses(job.Claim(), c.now); refused {
		if r := c.results[q.name]; counted {
			r.refused++
			c.results[q.name] = r
		}
		return
	}
	aim := time.Duration(q.stretch*float64(job.CriticalPath())) + q.objective
	if q.shape != nil {
		q.shape(c, &job)
	}
	c.jobs[id] = simulatedJob{queue: q, accepted: c.now, aim: aim, counted: counted, job: job}
	if c.far > 0 {
		seeded := c.jobs[id]
		seeded.seed = c.drawn.Uint64()
		c.jobs[id] = seeded
	}
	c.apply(leader.Accepted{Job: job})
}

// apply applies an event once the control thread is free.
func (c *simulatedCell) apply(e leader.Event) {
	if c.eventTime == 0 {
		c.applyNow(e)
		return
	}
	if c.free.Before(c.now) {
		c.free = c.now
	}
	c.free = c.free.Add(c.eventTime)
	c.at(c.free.Sub(c.now), func() { c.applyNow(e) })
}

func (c *simulatedCell) applyNow(e leader.Event) {
	began := time.Now()
	next, effects := c.state.Apply(e, c.now)
	c.control += time.Since(began)
	c.state = next
	if c.effectTime > 0 {
		c.free = c.free.Add(time.Duration(len(effects)) * c.effectTime)
	}
	for _, effect := range effects {
		c.perform(effect)
	}
}

func (c *simulatedCell) perform(effect leader.Effect) {
	switch f := effect.(type) {
	case leader.Record:
		c.count(f)
		c.at(appendTime, func() { c.apply(leader.Committed{Batch: f.Batch}) })
	case leader.Decision:
		c.kinds[f.What+": "+f.Why]++
	case leader.Wake:
		c.at(f.After, func() { c.apply(leader.Woken{}) })
	case leader.RequestAdvice:
		c.advise(f)
	case leader.Order:
		c.at(orderTime, func() { c.carryOut(f) })
	}
}

// count counts the end of a job.
func (c *simulatedCell) count(record leader.Record) {
	job, ok := c.jobs[record.Job]
	if !ok || record.Progress.State != ledger.Complete {
		return
	}
	delete(c.jobs, record.Job)
	if !job.counted {
		return
	}
	took := c.now.Add(appendTime).Sub(job.accepted)
	r := c.results[job.queue.name]
	r.ended, r.took, r.longest = r.ended+1, r.took+took, max(r.longest, took)
	switch {
	case took <= job.aim:
		r.inAim++
	case took <= 3*job.aim:
		r.late++
	}
	c.results[job.queue.name] = r
}

// advise answers an advice call. Whether a worker may run a step does not change.
func (c *simulatedCell) advise(f leader.RequestAdvice) {
	c.calls++
	id, _ := ledger.ParseTaskID(f.Step + ".0")
	job, ok := c.jobs[id.Job]
	if !ok {
		c.at(entryTime, func() { c.apply(leader.AdviceAnswered{Call: f.Call, Failed: true}) })
		return
	}
	q := job.queue
	answer := leader.AdviceAnswered{Call: f.Call, Valid: q.advice.TTL}
	for _, w := range f.Workers {
		h := fnv.New32a()
		_, _ = h.Write([]byte(f.Step + w))
		if float64(h.Sum32()%1000) < 1000*q.permitted {
			answer.Permits = append(answer.Permits, leader.Permit{Worker: w, Ticket: "t"})
		}
	}
	c.at(entryTime+q.advice.PerCall+time.Duration(len(f.Workers))*q.advice.PerWorker, func() { c.apply(answer) })
}

func (c *simulatedCell) carryOut(o leader.Order) {
	answer := leader.OrderAnswered{Worker: o.Worker, Kind: o.Kind, Task: o.Task, Run: o.Run}
	switch o.Kind {
	case leader.OrderStart:
		c.starts++
		task := dayTask{RunEnd: leader.RunEnd{Task: o.Task.String(), Run: o.Run, Kind: leader.EndDone}}
		if job, ok := c.jobs[o.Task.Job]; ok {
			d := time.Duration(float64(job.queue.run) * (0.5 + c.rng.Float64()))
			if c.far > 0 {
				d = job.runTime(o.Task)
			}
			if job.job.Steps[o.Task.Step].Gang {
				c.joinGang(o, task, d)
				break
			}
			if rack := job.job.Steps[o.Task.Step].Rack; rack != "" && rack != rackOf(o.Worker) {
				d = time.Duration(float64(d) * c.far)
				c.kinds["far run"]++
			}
			task.at = c.now.Add(d)
			if c.far > 0 {
				task.began = c.now
			}
			c.at(d+time.Duration(c.rng.Int64N(int64(pollTime))), func() { c.reportEnds(o.Worker) })
		}
		c.running[o.Worker] = append(c.running[o.Worker], task)
	case leader.OrderStop:
		for i, t := range c.running[o.Worker] {
			if t.Task == o.Task.String() && t.Run == o.Run {
				c.running[o.Worker][i].at, c.running[o.Worker][i].Kind = c.now.Add(stopTime), leader.EndStopped
				c.at(stopTime+pollTime, func() { c.reportEnds(o.Worker) })
			}
		}
	}
	c.apply(answer)
}

// takeEnds removes the tasks of a worker that have ended and returns their ends.
func (c *simulatedCell) takeEnds(id string) []leader.RunEnd {
	var ended []leader.RunEnd
	left := c.running[id][:0]
	for _, t := range c.running[id] {
		if t.at.IsZero() || t.at.After(c.now) {
			left = append(left, t)
			continue
		}
		c.ends[id]++
		t.Number = c.ends[id]
		ended = append(ended, t.RunEnd)
	}
	c.running[id] = left
	return ended
}

// reportEnds has a worker report ended tasks.
func (c *simulatedCell) reportEnds(id string) {
	if ended := c.takeEnds(id); len(ended) > 0 {
		c.apply(leader.Reported{Worker: id, Report: leader.Report{Incarnation: 1, Clock: c.now.UnixMilli(), Partial: true, Ended: ended}, Sent: c.now})
	}
}

// reportFully has a worker report all tasks, once a second.
func (c *simulatedCell) reportFully(id string) {
	report := leader.Report{Incarnation: 1, Clock: c.now.UnixMilli(), Ended: c.takeEnds(id)}
	for _, t := range c.running[id] {
		percent := c.rng.IntN(90)
		if !t.began.IsZero() {
			percent = int(100 * c.now.Sub(t.began) / t.at.Sub(t.began))
		}
		if c.blind {
			percent = 0
		}
		report.Running = append(report.Running, leader.RunStatus{Task: t.Task, Number: t.Run, Percent: percent})
	}
	c.apply(leader.Reported{Worker: id, Report: report, Sent: c.now})
	c.at(time.Second, func() { c.reportFully(id) })
}
