package leader_test

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
)

const testLease = 6 * time.Second

// simRun is a run executing at a simulated worker.
type simRun struct {
	task   ledger.TaskID
	number int
	size   ledger.Resources
	began  time.Time
}

// simWorker is a simulated worker. Like the platform's workers, it does not check
// that a run fits into its capacity.
type simWorker struct {
	listing     leader.Listing
	incarnation int64
	fence       int64
	leaseEnd    time.Time // latest end of its leases
	running     map[string]simRun
	highestRun  map[string]int // highest run number stopped or ended, by task
	ends        []leader.RunEnd
	lastEnd     int64
	partitioned bool
}

func (w *simWorker) used() ledger.Resources {
	var used ledger.Resources
	for _, r := range w.running {
		used = used.Plus(r.size)
	}
	return used
}

func (w *simWorker) end(key string, how leader.EndKind) {
	r := w.running[key]
	delete(w.running, key)
	w.highestRun[r.task.String()] = max(w.highestRun[r.task.String()], r.number)
	w.lastEnd++
	w.ends = append(w.ends, leader.RunEnd{Number: w.lastEnd, Task: r.task.String(), Run: r.number, Kind: how})
}

// endRun ends a run with the given outcome. The members of a gang end together; when one fails,
// others may fail as well.
func (sm *simulation) endRun(target *simWorker, key string, how leader.EndKind) {
	r := target.running[key]
	if how == leader.EndFailed {
		sm.failedRuns.add(sm.unit(r.task), r.number)
	}
	if !sm.jobs[r.task.Job].Steps[r.task.Step].Gang {
		sm.endedDone[r.task.String()] = how == leader.EndDone
		target.end(key, how)
		return
	}
	type member struct {
		at  *simWorker
		key string
	}
	var members []member
	for _, id := range sm.workerIDs() {
		for _, other := range sortedKeys(sm.workers[id].running) {
			if o := sm.workers[id].running[other]; o.number == r.number && o.task.Job == r.task.Job && o.task.Step == r.task.Step {
				members = append(members, member{sm.workers[id], other})
			}
		}
	}
	if how == leader.EndDone && len(members) < sm.jobs[r.task.Job].Steps[r.task.Step].Count {
		return // a gang makes progress only when all members run
	}
	for _, m := range members {
		switch {
		case how == leader.EndDone || m.at == target && m.key == key || how == leader.EndFailed && sm.failTogether():
			sm.endedDone[m.at.running[m.key].task.String()] = how == leader.EndDone
			m.at.end(m.key, how)
		default:
			m.at.end(m.key, leader.EndGangBroken)
		}
	}
}

// sentOrder is an order in transit, with the epoch of the leader that sent it.
type sentOrder struct {
	order    leader.Order
	epoch    int64
	leaseEnd time.Time
	version  int  // of the configuration that the leader knew
	sent     bool // it may be carried out, however late; other orders wait
}

// simulation simulates workers, a log and a leader that is replaced at times. It
// checks each start against the platform's rules.
type simulation struct {
	t              *rapid.T
	now            time.Time
	state          leader.State
	epoch          int64
	log            map[ledger.ID]ledger.Progress
	jobs           map[ledger.ID]ledger.Job
	cancels        map[ledger.ID]bool
	records        []leader.Record
	leases         []leader.RecordLeases // not in the log yet
	logged         leader.Leases         // as the log has them
	confirmed      time.Time             // when the log last took a record of the leader
	orders         []sentOrder
	adviceCalls    []leader.RequestAdvice
	acked          map[string]leader.Acknowledge
	renewed        map[string]bool  // workers whose leases each poll renews
	heard          map[string]int64 // incarnation that whoever polls a worker has heard last
	watches        map[string]int64 // number of its watch
	silences       map[string]int64 // number of its last silence
	workers        map[string]*simWorker
	endedDone      map[string]bool // tasks with a run that ended as done
	doneForgotten  map[string]bool // tasks whose end as done was acknowledged and forgotten by the worker
	failedRuns     runSets         // runs that ended as failed
	failsForgotten runSets         // those of them with an end that was acknowledged and forgotten by the worker
	failTogether   func() bool     // whether another member of a gang fails with the first
	starts         int
	caps           simCaps
	pause          time.Duration // between placement passes
	wakePending    bool          // a Wake has been emitted and not answered
	partial        bool          // reports leave out the executing runs
	holding        bool          // events about workers are held, to be applied together
	held           []leader.Event
}

// losePoller polls a worker through an entry that is lost before the leader hears of
// it: the leases are renewed, and orders that it was given may be carried out later.
func (sm *simulation) losePoller(id string) {
	target := sm.workers[id]
	if !target.partitioned && sm.renewed[id] {
		target.fence = max(target.fence, sm.epoch)
		target.leaseEnd = later(target.leaseEnd, sm.now.Add(testLease))
	}
	delete(sm.renewed, id) // by whoever polls the worker next
	delete(sm.heard, id)
	lost := sm.watches[id]
	sm.watches[id]++
	sm.silences[id] = leader.FirstSilence(sm.watches[id])
	sm.apply(leader.PollerLost{Worker: id, Watch: lost})
	for i, s := range sm.orders {
		if s.order.Worker == id {
			sm.orders[i].sent = true
		}
	}
	for _, s := range slices.Clone(sm.orders) {
		if s.order.Worker == id {
			sm.answer(s, leader.OutcomeUnknown)
		}
	}
}

func newSimulation(t *rapid.T, count int, pause time.Duration) *simulation {
	sm := &simulation{
		t: t, now: time.Unix(1_700_000_000, 0), log: map[ledger.ID]ledger.Progress{}, jobs: map[ledger.ID]ledger.Job{},
		cancels: map[ledger.ID]bool{}, workers: map[string]*simWorker{}, endedDone: map[string]bool{}, doneForgotten: map[string]bool{}, failedRuns: runSets{}, failsForgotten: runSets{},
		failTogether: func() bool { return false }, pause: pause,
	}
	for i := range count {
		id := fmt.Sprintf("w%d", i)
		sm.workers[id] = &simWorker{
			listing:     leader.Listing{ID: id, Address: id, Service: "s", Capacity: ledger.Resources{CPU: 4000, Memory: 4000}, Rack: fmt.Sprintf("r%d", i%2)},
			incarnation: 1, running: map[string]simRun{}, highestRun: map[string]int{},
		}
	}
	sm.takeoverWith(leader.Leases{Others: sm.now})
	return sm
}

func (sm *simulation) policy() leader.Policy {
	return leader.Policy{Lease: testLease, MaxStaleRenewal: 5 * time.Second, MinPassInterval: sm.pause, Far: farRun}
}

// workerIDs returns the identifiers of the workers in order.
func (sm *simulation) workerIDs() []string {
	var names []string
	for id := range sm.workers {
		names = append(names, id)
	}
	slices.Sort(names)
	return names
}

// jobIDs returns the identifiers of the jobs in order.
func (sm *simulation) jobIDs() []ledger.ID {
	var ids []ledger.ID
	for id := range sm.jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// takeover replaces the leader by one that knows only the log. Orders of the old
// leader remain in transit; its uncommitted records are lost.
func (sm *simulation) takeover() {
	leases := sm.logged
	if leases.Others.IsZero() {
		leases.Others = sm.policy().LeaseEnd(sm.confirmed.Add(sm.policy().MaxStaleRenewal))
	}
	sm.takeoverWith(leases)
}

// handover replaces the leader by one that is told of the leases that it doesn't renew.
func (sm *simulation) handover() {
	sm.release()
	leases := sm.state.Leases()
	if leases.Others.IsZero() {
		leases.Others = sm.policy().LeaseEnd(sm.now)
	}
	sm.takeoverWith(leases)
}

// takeoverWith has a new leader take over, which has the leases in the log with its first record.
func (sm *simulation) takeoverWith(leases leader.Leases) {
	sm.epoch++
	sm.state = leader.New(sm.policy(), sm.now).WithInheritedLeases(leases)
	sm.logged, sm.leases, sm.confirmed = leases, nil, sm.now
	sm.renewed, sm.heard, sm.watches, sm.silences = map[string]bool{}, map[string]int64{}, map[string]int64{}, map[string]int64{}
	sm.records, sm.adviceCalls, sm.acked, sm.wakePending, sm.held = nil, nil, map[string]leader.Acknowledge{}, false, nil
	sm.tellCaps(sm.caps.stale)
	for _, id := range sm.jobIDs() {
		e := leader.Accepted{Job: sm.jobs[id]}
		if p, ok := sm.log[id]; ok {
			if p.Terminated() {
				sm.apply(leader.Settled{Job: sm.jobs[id]})
				continue
			}
			e.Progress = &p
		}
		sm.apply(e)
		if sm.cancels[id] {
			sm.apply(leader.CancelAccepted{Job: id})
		}
	}
	for _, id := range sm.workerIDs() {
		l := sm.workers[id].listing
		l.Incarnation = sm.workers[id].incarnation
		sm.apply(leader.Listed{Listing: l})
	}
	sm.apply(leader.CallersChanged{Callers: []string{"a", "b"}})
}

// apply applies an event, or holds it with those of a deputy's batch.
func (sm *simulation) apply(e leader.Event) {
	switch e.(type) {
	case leader.Reported, leader.PollFailed, leader.OrderAnswered:
		if sm.holding {
			sm.held = append(sm.held, e)
			return
		}
	}
	sm.release()
	sm.applyNow(e)
}

// release applies the events that are held.
func (sm *simulation) release() {
	if held := sm.held; len(held) > 0 {
		sm.held = nil
		sm.applyNow(leader.Batch{Events: held})
	}
}

func (sm *simulation) applyNow(e leader.Event) {
	next, effects := sm.state.Apply(e, sm.now)
	sm.state = next
	var withdrawn []leader.Withdraw
	for _, effect := range effects {
		switch f := effect.(type) {
		case leader.Record:
			sm.checkFailed(f)
			sm.records = append(sm.records, f)
		case leader.RecordLeases:
			sm.leases = append(sm.leases, f)
		case leader.Order:
			sm.orders = append(sm.orders, sentOrder{order: f, epoch: sm.epoch, leaseEnd: sm.now.Add(testLease), version: sm.caps.known})
			if f.Address == "" {
				sm.t.Fatalf("order to %s %s at %s, which nobody calls", f.Kind, f.Task, f.Worker)
			}
			if f.Kind == leader.OrderStop {
				withdrawn = append(withdrawn, leader.Withdraw{Worker: f.Worker, Task: f.Task, Run: f.Run})
			}
		case leader.Withdraw:
			withdrawn = append(withdrawn, f)
		case leader.Acknowledge:
			sm.acked[f.Worker] = f
		case leader.Renew:
			sm.renewed[f.Worker] = true
		case leader.RequestAdvice:
			sm.adviceCalls = append(sm.adviceCalls, f)
		case leader.Wake:
			sm.wakePending = true
		}
	}
	for _, w := range withdrawn {
		sm.withdraw(w)
	}
}

// withdraw has a start given up that waits, and with it the stop of its run.
func (sm *simulation) withdraw(w leader.Withdraw) {
	about := func(kind leader.OrderKind) func(s sentOrder) bool {
		return func(s sentOrder) bool {
			return s.epoch == sm.epoch && !s.sent && s.order.Kind == kind && s.order.Worker == w.Worker && s.order.Task == w.Task && s.order.Run == w.Run
		}
	}
	i := slices.IndexFunc(sm.orders, about(leader.OrderStart))
	if i < 0 {
		return
	}
	start := sm.orders[i]
	sm.orders = slices.DeleteFunc(slices.Delete(sm.orders, i, i+1), about(leader.OrderStop))
	sm.answer(start, leader.NotSent)
}

// checkWanted fails the test if a start is sent that the leader knows to be unwanted: its job
// was cancelled, or its worker drains.
func (sm *simulation) checkWanted(target *simWorker, s sentOrder) {
	if s.epoch != sm.epoch || s.sent {
		return
	}
	if sm.cancels[s.order.Task.Job] {
		sm.t.Fatalf("start of %s run %d is sent after its job was cancelled", s.order.Task, s.order.Run)
	}
	if target.listing.Draining {
		sm.t.Fatalf("start of %s run %d is sent to %s, which drains", s.order.Task, s.order.Run, s.order.Worker)
	}
}

// commit commits the n oldest batches to the log.
func (sm *simulation) commit(n int) {
	for range n {
		if len(sm.records) == 0 {
			return
		}
		batch := sm.records[0].Batch
		for len(sm.leases) > 0 && sm.leases[0].Batch <= batch {
			sm.logged, sm.leases = sm.leases[0].Leases, sm.leases[1:]
		}
		sm.confirmed = sm.now
		for len(sm.records) > 0 && sm.records[0].Batch == batch {
			if r := sm.records[0]; r.Job != "" {
				sm.log[r.Job] = r.Progress
			}
			sm.records = sm.records[1:]
		}
		sm.apply(leader.Committed{Batch: batch})
	}
}

// deliver delivers an order to its worker and the answer to the leader unless the
// answer is lost.
func (sm *simulation) deliver(i int, answered bool) {
	s := sm.orders[i]
	sm.orders = slices.Delete(sm.orders, i, i+1)
	target := sm.workers[s.order.Worker]
	if s.order.Kind == leader.OrderStart {
		sm.checkWanted(target, s)
	}
	if target.partitioned {
		sm.answer(s, leader.OutcomeUnknown)
		return
	}
	outcome := leader.Refused
	if s.epoch >= target.fence {
		target.fence = s.epoch
		outcome = sm.execute(target, s)
	}
	if !answered {
		outcome = leader.OutcomeUnknown
	}
	sm.answer(s, outcome)
}

func (sm *simulation) answer(s sentOrder, o leader.Outcome) {
	if s.epoch == sm.epoch {
		sm.apply(leader.OrderAnswered{Worker: s.order.Worker, Kind: s.order.Kind, Task: s.order.Task, Run: s.order.Run, Outcome: o})
	}
}

func (sm *simulation) execute(target *simWorker, s sentOrder) leader.Outcome {
	task := s.order.Task.String()
	key := fmt.Sprintf("%s#%d", task, s.order.Run)
	switch s.order.Kind {
	case leader.OrderStop:
		if _, ok := target.running[key]; ok {
			target.end(key, leader.EndStopped)
		}
		target.highestRun[task] = max(target.highestRun[task], s.order.Run)
		return leader.Executed
	case leader.OrderStart:
		if _, ok := target.running[key]; ok {
			return leader.Executed
		}
		if s.order.Run <= target.highestRun[task] {
			return leader.StaleRun
		}
		if sm.now.After(s.leaseEnd) {
			return leader.Refused
		}
		sm.check(target, s.order)
		sm.checkCap(s)
		target.leaseEnd = later(target.leaseEnd, s.leaseEnd)
		target.running[key] = simRun{s.order.Task, s.order.Run, sm.size(s.order.Task), sm.now}
	}
	return leader.Executed
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (sm *simulation) size(id ledger.TaskID) ledger.Resources {
	return sm.jobs[id.Job].Steps[id.Step].Reservation()
}

// check fails the test if a start breaks a rule: it must fit, no other run of
// the task may be executing, the task must not be done or have failed too often, and
// the steps before it must be done.
func (sm *simulation) check(target *simWorker, o leader.Order) {
	sm.starts++
	task := o.Task.String()
	job := sm.jobs[o.Task.Job]
	if !target.listing.Capacity.CanFit(target.used().Plus(sm.size(o.Task))) {
		sm.t.Fatalf("start of %s run %d brings %s over its room", task, o.Run, o.Worker)
	}
	for id, other := range sm.workers {
		for _, r := range other.running {
			if r.task == o.Task {
				sm.t.Fatalf("start of %s run %d at %s while run %d goes on at %s", task, o.Run, o.Worker, r.number, id)
			}
		}
	}
	if sm.doneForgotten[task] && !job.Steps[o.Task.Step].LongRunning {
		sm.t.Fatalf("start of %s run %d after its end as done was taken note of", task, o.Run)
	}
	if n := len(sm.failsForgotten[sm.unit(o.Task)]); n >= job.Queue.Attempts && !job.Steps[o.Task.Step].LongRunning {
		sm.t.Fatalf("start of %s run %d after %d failed runs", task, o.Run, n)
	}
	for _, before := range job.Steps[o.Task.Step].After {
		for index := range job.Steps[before].Count {
			if id := (ledger.TaskID{Job: o.Task.Job, Step: before, Index: index}).String(); !sm.endedDone[id] {
				sm.t.Fatalf("start of %s before %s is done", task, id)
			}
		}
	}
}

// poll polls a worker, which renews its leases and reports.
func (sm *simulation) poll(id string, answered bool) {
	target := sm.workers[id]
	renewed, deadline := sm.renewed[id] && sm.now.Sub(sm.confirmed) < sm.policy().MaxStaleRenewal, int64(0)
	if renewed {
		deadline = sm.clock() + testLease.Milliseconds()
	}
	if target.partitioned || !answered {
		delete(sm.renewed, id)
		sm.silences[id] = max(sm.silences[id], leader.FirstSilence(0)) + 1
		sm.apply(leader.PollFailed{Worker: id, Incarnation: sm.heard[id], Deadline: deadline, Silence: sm.silences[id]})
		if target.partitioned {
			return
		}
	}
	target.fence = max(target.fence, sm.epoch)
	if renewed {
		target.leaseEnd = later(target.leaseEnd, sm.now.Add(testLease))
	}
	if a, ok := sm.acked[id]; ok && a.Incarnation == target.incarnation {
		sm.forgetEnds(target, a.Number)
	}
	if !answered {
		return
	}
	sm.heard[id] = target.incarnation
	r := leader.Report{Incarnation: target.incarnation, Clock: sm.clock(), Ended: slices.Clone(target.ends)}
	for _, key := range sortedKeys(target.running) {
		running := target.running[key]
		percent := min(99, int(sm.now.Sub(running.began)/(20*time.Millisecond)))
		r.Running = append(r.Running, leader.RunStatus{Task: running.task.String(), Number: running.number, Percent: percent})
	}
	if sm.partial {
		r.Partial, r.Running = true, nil
	}
	reported := leader.Reported{Worker: id, Report: r, Sent: sm.now, Deadline: deadline}
	if !sm.renewed[id] {
		reported.Silence = max(sm.silences[id], leader.FirstSilence(0))
	}
	sm.apply(reported)
}

func sortedKeys(m map[string]simRun) []string {
	var keys []string
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// forgetEnds drops the ends that the leader has acknowledged. Only these count in
// check, since an unacknowledged end may be lost.
func (sm *simulation) forgetEnds(target *simWorker, number int64) {
	for len(target.ends) > 0 && target.ends[0].Number <= number {
		switch e := target.ends[0]; e.Kind {
		case leader.EndDone:
			sm.doneForgotten[e.Task] = true
		case leader.EndFailed:
			id, err := ledger.ParseTaskID(e.Task)
			if err != nil {
				sm.t.Fatal(err)
			}
			sm.failsForgotten.add(sm.unit(id), e.Run)
		}
		target.ends = target.ends[1:]
	}
}

func (sm *simulation) clock() int64 { return sm.now.UnixMilli() }

// advance advances time: expired leases end runs, and timers of the leader fire.
func (sm *simulation) advance(d time.Duration) {
	sm.release()
	sm.now = sm.now.Add(d)
	for _, id := range sm.workerIDs() {
		target := sm.workers[id]
		if sm.now.After(target.leaseEnd) {
			for _, key := range sortedKeys(target.running) {
				target.end(key, leader.EndLeaseExpired)
			}
		}
	}
	if sm.wakePending {
		sm.wakePending = false
		sm.apply(leader.Woken{})
	}
	sm.apply(leader.Ticked{})
}
