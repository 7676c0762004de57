package leader

import (
	"slices"
	"strconv"
	"time"

	"github.com/endivelock/endivelock/internal/ledger"
)

const (
	// ticketMargin is how long before its expiry a ticket is no longer used: a start
	// must be recorded and reach the worker before the ticket expires.
	ticketMargin = 150 * time.Millisecond
	// longCallTime is the decision time from which an advice call counts as long.
	// Short calls must not wait behind long ones.
	longCallTime = 100 * time.Millisecond
	// longCallShare is the fraction of the callers that long calls may occupy.
	longCallShare = 0.75
	// maxQueried is the platform's limit on the workers queried in one advice call.
	maxQueried = 100
	// minQueried is the least number of workers with unknown permission that a call
	// queries, if there are as many, so that it does not depend on very few.
	minQueried = 6
	// capacityMargin is the ratio of the capacity that a call queries to the capacity
	// that the step needs.
	capacityMargin = 2.0
	// initialPermitRatio is the fraction of permitted workers assumed before the
	// first answer.
	initialPermitRatio = 0.5
	// permitRatioWeight is the weight of a new answer in the moving average.
	permitRatioWeight = 0.1
	// maxFailedSearches is how many steps in one pass may find no worker with room to
	// query, in either half of the effort. Each search visits all workers.
	maxFailedSearches = 4
	// callTimeoutSlack is how much longer than estimated a call may take before it
	// counts as failed.
	callTimeoutSlack = 3 * time.Second
	// callerBackoff is how long an entry gets no calls after one has failed.
	callerBackoff = 500 * time.Millisecond
	// adviceInterval is the least time between an answer and the next call for the
	// same step. Permissions do not change in between, only free capacity does.
	adviceInterval = 300 * time.Millisecond
	// answerOverhead is the time that an answer takes beyond the service's decision.
	answerOverhead = 50 * time.Millisecond
)

// callerState is the state of an entry that can call for advice.
type callerState struct {
	calls        int       // in progress
	backoffUntil time.Time // no calls before this time, because one has failed
}

// idle reports whether the entry can be given a call.
func (c callerState) idle(now time.Time) bool { return c.calls == 0 && !now.Before(c.backoffUntil) }

// adviceCall is an advice call in progress.
type adviceCall struct {
	number   int64
	step     string // key of the step
	queue    string
	caller   string
	sent     time.Time
	estimate time.Duration // of the duration of the call
	workers  []string
}

// heldTickets returns the valid tickets of a step, and whether the step may be
// placed now. If they are not enough, it requests advice.
func (p *placementPass) heldTickets(r stepRef) (tickets, bool) {
	if r.job.Job.Queue.Advice == nil {
		return nil, true
	}
	have, _ := p.permits.Get(r.key)
	held := p.ticketsUsableAt(r.job.Job.Queue).Before(have.lastExpiry)
	if !have.calling && !p.now.Before(have.nextCall) && !(held && p.hasCapacity(r, have.tickets)) {
		p.requestAdvice(r, have)
	}
	return have.tickets, held
}

// hasCapacity reports whether the workers with tickets have room for a task of a
// step, or for all tasks of a gang.
func (p *placementPass) hasCapacity(r stepRef, held tickets) bool {
	counts := p.runsByWorker(r)
	size := r.spec().Reservation()
	needed := 1
	if r.spec().Gang {
		needed = p.countIdle(r)
	}
	for _, i := range p.eligible(r, held) {
		needed -= p.fitsAt(r, p.slots[i].Free, size, counts[p.slots[i].ID], needed)
		if needed <= 0 {
			return true
		}
	}
	return false
}

// fitsAt returns how many tasks of a step, at most limit, fit into the free
// capacity of a worker that already runs some of them.
func (p *placementPass) fitsAt(r stepRef, free, size ledger.Resources, running, limit int) int {
	if most := r.spec().MaxPerWorker; most > 0 {
		limit = min(limit, most-running)
	}
	return free.Count(size, limit)
}

// requestAdvice has an idle entry call for advice on a step.
func (p *placementPass) requestAdvice(r stepRef, have permits) {
	advice := r.job.Job.Queue.Advice
	long := advice.PerCall >= longCallTime
	if p.callersBusy[long] || !p.failedSearches.Allows(r.key) {
		p.noteFull(r.job)
		return
	}
	caller, ok := p.idleCaller(long)
	if !ok {
		p.callersBusy[long] = true // none becomes idle during the pass
		p.noteFull(r.job)
		return
	}
	queried := p.chooseNominees(r, have)
	if len(queried) == 0 {
		p.failedSearches.Spend(r.key)
		p.deferStep(r)
		p.noteFull(r.job)
		return
	}
	workers, counts := make([]string, len(queried)), p.countCalls()
	for i, slot := range queried {
		workers[i] = p.slots[slot].ID
		counts[slot]++
	}
	p.lastAdviceCall++
	a := adviceCall{
		number: p.lastAdviceCall, step: r.key, queue: r.job.Job.Queue.Name, caller: caller, sent: p.now,
		estimate: advice.PerCall + time.Duration(len(workers))*advice.PerWorker, workers: workers,
	}
	have.calling = true
	p.permits = p.permits.With(r.key, have)
	p.adviceCalls = p.adviceCalls.With(strconv.FormatInt(a.number, 10), a)
	state, _ := p.callers.Get(caller)
	state.calls++
	p.callers = p.callers.With(caller, state)
	p.emit(RequestAdvice{Call: a.number, Caller: caller, Step: r.key, Workers: workers})
	p.emit(Decision{What: "ask", Job: r.job.Job.ID, Task: r.key, Peer: caller, Why: strconv.Itoa(len(workers)) + " workers queried"})
}

// idleCaller returns an entry that has no call in progress. Long calls leave some
// entries free for short ones.
func (p *placementPass) idleCaller(long bool) (string, bool) {
	if long {
		running := 0
		for _, a := range p.adviceCalls.All() {
			if a.estimate >= longCallTime {
				running++
			}
		}
		if running >= max(1, int(longCallShare*float64(p.callers.Len()))) {
			return "", false
		}
	}
	for caller, state := range p.callers.All() {
		if state.idle(p.now) {
			return caller, true
		}
	}
	return "", false
}

// prefetchAdvice requests advice on steps that are expected to become ready by the
// time of the answer.
func (p *placementPass) prefetchAdvice() {
	for key, score := range p.prefetch.From(minScore) {
		if deferrable(score) && !p.pace.room(p.starting, true) {
			break
		}
		if due, ok := p.prefetchDue.Get(key); ok && p.now.Before(due) {
			continue
		}
		r, ok := p.resolveStep(key)
		if !ok {
			p.unrankPrefetch(key)
			continue
		}
		have, _ := p.permits.Get(key)
		advice := r.job.Job.Queue.Advice
		if have.calling || len(have.tickets) > 0 && p.now.Before(have.lastExpiry) {
			continue
		}
		early := p.timeUntilReady(r) - (advice.PerCall + minQueried*advice.PerWorker + answerOverhead)
		if early <= 0 {
			p.requestAdvice(r, have)
			continue
		}
		// Runs may end sooner than estimated, so the next look comes halfway.
		p.prefetchDue = p.prefetchDue.With(key, p.now.Add(max(early/2, minPrefetchPause)))
	}
}

// minPrefetchPause is the least time between two estimates of when a step becomes
// ready. Each visits all tasks of the steps before it.
const minPrefetchPause = 25 * time.Millisecond

// timeUntilReady estimates the time until the steps before a step are done.
func (p *placementPass) timeUntilReady(r stepRef) time.Duration {
	var longest time.Duration
	for _, before := range r.spec().After {
		estimate := r.job.Job.Steps[before].Estimate
		for index, task := range r.job.Progress.Step(r.round, before) {
			switch task.Phase {
			case ledger.Idle:
				longest = max(longest, estimate)
			case ledger.Started:
				id := ledger.TaskID{Job: r.job.Job.ID, Round: r.round, Step: before, Index: index}
				longest = max(longest, p.remainingTime(id, task, estimate))
			}
		}
	}
	return longest
}

// remainingTime estimates the remaining time of a run, by its progress if that is
// known and by the estimate of its step otherwise.
func (t *transition) remainingTime(id ledger.TaskID, task ledger.Task, estimate time.Duration) time.Duration {
	w, ok := t.fleet.get(task.Worker)
	if !ok {
		return estimate
	}
	p, ok := w.Placements.Get(runKey(id.String(), task.Run))
	if !ok || p.StartedAt.IsZero() {
		return estimate
	}
	elapsed := t.now.Sub(p.StartedAt)
	if p.Percent > 0 && p.ProgressedAt.After(p.StartedAt) {
		whole := float64(p.ProgressedAt.Sub(p.StartedAt)) * 100 / float64(p.Percent)
		return max(0, time.Duration(whole)-elapsed)
	}
	return max(0, estimate-elapsed)
}

func (e AdviceAnswered) apply(t *transition) {
	number := strconv.FormatInt(e.Call, 10)
	a, ok := t.adviceCalls.Get(number)
	if !ok {
		return
	}
	t.adviceCalls = t.adviceCalls.Without(number)
	if state, ok := t.callers.Get(a.caller); ok {
		state.calls--
		if e.Failed {
			state.backoffUntil = t.now.Add(callerBackoff)
		}
		t.callers = t.callers.With(a.caller, state)
	}
	t.placementDue = true
	have, _ := t.permits.Get(a.step)
	have.calling = false
	r, live := t.resolveStep(a.step)
	if !live {
		t.permits = t.permits.Without(a.step)
		return
	}
	if e.Failed {
		t.permits = t.permits.With(a.step, have)
		t.emit(Decision{What: "advice", Job: r.job.Job.ID, Task: a.step, Peer: a.caller, Why: "call failed"})
		return
	}
	valid := e.Valid
	if valid == 0 {
		valid = r.job.Job.Queue.Advice.TTL
	}
	first := len(have.known) == 0
	have = have.with(a.workers, e.Permits, t.now, t.now.Add(valid-ticketMargin))
	have.nextCall = t.now.Add(adviceInterval)
	t.permits = t.permits.With(a.step, have)
	t.emit(Decision{What: "advice", Job: r.job.Job.ID, Task: a.step, Peer: a.caller, Why: strconv.Itoa(len(e.Permits)) + " of " + strconv.Itoa(len(a.workers)) + " workers permitted"})
	if first {
		t.learnPermitRatio(a, len(e.Permits))
	}
}

// learnPermitRatio updates the moving average of the fraction of queried workers
// that are permitted in a queue.
func (t *transition) learnPermitRatio(a adviceCall, permitted int) {
	ratio, ok := t.permitRatios.Get(a.queue)
	if !ok {
		ratio = initialPermitRatio
	}
	current := float64(permitted) / float64(max(len(a.workers), 1))
	ratio = max(0.05, ratio*(1-permitRatioWeight)+current*permitRatioWeight)
	t.permitRatios = t.permitRatios.With(a.queue, ratio)
}

func (e CallersChanged) apply(t *transition) {
	for caller := range t.callers.All() {
		if !slices.Contains(e.Callers, caller) {
			t.callers = t.callers.Without(caller)
			t.failCalls(func(a adviceCall) bool { return a.caller == caller })
		}
	}
	for _, caller := range e.Callers {
		if !t.callers.Has(caller) {
			t.callers = t.callers.With(caller, callerState{})
			t.placementDue = true
		}
	}
}

// failCalls fails the advice calls that satisfy a condition.
func (t *transition) failCalls(failed func(adviceCall) bool) {
	for _, a := range t.adviceCalls.All() {
		if failed(a) {
			AdviceAnswered{Call: a.number, Failed: true}.apply(t)
		}
	}
}
