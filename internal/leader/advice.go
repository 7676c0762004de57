package leader

import (
	"slices"
	"strconv"
	"time"

	"github.com/endivelock/endivelock/internal/ledger"
)

const (
	// ticketMargin is how long before its end a ticket is no longer used: a
	// start needs its record and its way to the worker.
	ticketMargin = 150 * time.Millisecond
	// longCallTime separates calls for advice that others must not wait behind.
	longCallTime = 100 * time.Millisecond
	// longCallShare is the share of the callers that long calls may use.
	longCallShare = 0.75
	// maxNamed is how many workers a call may name. It is the platform's bound.
	maxNamed = 100
	// minNamed keeps a call from depending on very few workers.
	minNamed = 6
	// capacityMargin is how many times over a call looks for room.
	capacityMargin = 2.0
	// initialPermitRatio is the share of permitted workers assumed before an answer.
	initialPermitRatio = 0.5
	// permitRatioWeight is the weight of a new answer in the learned share.
	permitRatioWeight = 0.1
	// maxFailedSearches is how many steps in one pass look in vain for room that a call
	// could ask about: each looks at all workers, and the next ones hardly find
	// more.
	maxFailedSearches = 8
	// callTimeoutSlack is how much longer than estimated a call may take before its
	// answer is given up.
	callTimeoutSlack = 3 * time.Second
	// callerBackoff is how long an entry whose call failed is not asked again.
	callerBackoff = 500 * time.Millisecond
	// adviceInterval is how long after an answer another call for the same step waits:
	// what is permitted does not change, only the room does.
	adviceInterval = 300 * time.Millisecond
	// answerOverhead is what an answer needs beyond the work of the service.
	answerOverhead = 50 * time.Millisecond
)

// callerState is an entry that can ask for advice.
type callerState struct {
	calls        int       // under way
	backoffUntil time.Time // it is not asked before then, since a call failed
}

// adviceCall is a call for advice under way.
type adviceCall struct {
	number   int64
	step     string // of the step
	queue    string
	caller   string
	sent     time.Time
	estimate time.Duration // estimated
	workers  []string
}

// heldTickets returns the tickets that hold for a step, and whether the step may
// be placed now. If they are not enough it sees to a call for advice.
func (p *placementPass) heldTickets(r stepRef) (tickets, bool) {
	if r.job.Job.Queue.Advice == nil {
		return nil, true
	}
	have, _ := p.permits.Get(r.key)
	held := p.now.Before(have.lastExpiry)
	if !have.calling && !p.now.Before(have.nextCall) && !(held && p.hasCapacity(r, have.tickets)) {
		p.requestAdvice(r, have)
	}
	return have.tickets, held
}

// hasCapacity reports whether permitted workers have room for a task of a step,
// or for all of a gang.
func (p *placementPass) hasCapacity(r stepRef, held tickets) bool {
	here := p.runsByWorker(r)
	size := r.spec().Room()
	missing := 1
	if r.spec().Gang {
		missing = p.countIdle(r)
	}
	for _, i := range p.eligible(r, held) {
		missing -= p.fitsAt(r, p.candidates[i].Free, size, here[p.candidates[i].ID], missing)
		if missing <= 0 {
			return true
		}
	}
	return false
}

// fitsAt returns how many tasks of a step fit into free room at a worker that
// has some of them already, at most a limit.
func (p *placementPass) fitsAt(r stepRef, free, size ledger.Size, there, limit int) int {
	if most := r.spec().Most; most > 0 {
		limit = min(limit, most-there)
	}
	return countFits(free, size, limit)
}

// requestAdvice has a free entry ask for advice on a step.
func (p *placementPass) requestAdvice(r stepRef, have permits) {
	advice := r.job.Job.Queue.Advice
	caller, ok := p.idleCaller(advice.Decide >= longCallTime)
	if !ok || p.failedSearches >= maxFailedSearches {
		return
	}
	named := p.chooseNominees(r, have)
	if len(named) == 0 {
		p.failedSearches++
		return
	}
	workers := make([]string, len(named))
	for i, o := range named {
		workers[i] = o.id
	}
	p.lastAdviceCall++
	a := adviceCall{
		number: p.lastAdviceCall, step: r.key, queue: r.job.Job.Queue.Name, caller: caller, sent: p.now,
		estimate: advice.Decide + time.Duration(len(workers))*advice.Each, workers: workers,
	}
	p.callCounts = nil // counted anew for the next call
	have.calling = true
	p.permits = p.permits.With(r.key, have)
	p.adviceCalls = p.adviceCalls.With(strconv.FormatInt(a.number, 10), a)
	who, _ := p.callers.Get(caller)
	who.calls++
	p.callers = p.callers.With(caller, who)
	p.emit(Consult{Ask: a.number, Caller: caller, Step: r.key, Workers: workers})
	p.emit(Note{What: "ask", Job: r.job.Job.ID, Task: r.key, Peer: caller, Why: strconv.Itoa(len(workers)) + " workers named"})
}

// idleCaller returns an entry that has no call under way. Long calls leave some
// entries to the others.
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
	for caller, who := range p.callers.All() {
		if who.calls == 0 && !p.now.Before(who.backoffUntil) {
			return caller, true
		}
	}
	return "", false
}

// prefetchAdvice asks for advice on steps that become ready about when the answer is
// there.
func (p *placementPass) prefetchAdvice() {
	for key := range p.prefetch.From(minScore) {
		r, ok := p.resolveStep(key)
		if !ok {
			p.prefetch = p.prefetch.Without(key)
			continue
		}
		have, _ := p.permits.Get(key)
		advice := r.job.Job.Queue.Advice
		if have.calling || len(have.tickets) > 0 && p.now.Before(have.lastExpiry) {
			continue
		}
		if p.timeUntilReady(r) <= advice.Decide+minNamed*advice.Each+answerOverhead {
			p.requestAdvice(r, have)
		}
	}
}

// timeUntilReady estimates when the steps before a step are done.
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

// remainingTime estimates the time that a run still takes, by its progress if that
// is known and by the estimate of its step otherwise.
func (t *transition) remainingTime(id ledger.TaskID, task ledger.Task, estimate time.Duration) time.Duration {
	w, ok := t.workers.Get(task.Worker)
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

func (e Advised) apply(t *transition) {
	number := strconv.FormatInt(e.Ask, 10)
	a, ok := t.adviceCalls.Get(number)
	if !ok {
		return
	}
	t.adviceCalls = t.adviceCalls.Without(number)
	if who, ok := t.callers.Get(a.caller); ok {
		who.calls--
		if e.Failed {
			who.backoffUntil = t.now.Add(callerBackoff)
		}
		t.callers = t.callers.With(a.caller, who)
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
		t.emit(Note{What: "advice", Job: r.job.Job.ID, Task: a.step, Peer: a.caller, Why: "call failed"})
		return
	}
	valid := e.Valid
	if valid == 0 {
		valid = r.job.Job.Queue.Advice.Valid
	}
	known := len(have.permitted)
	have = have.with(a.workers, e.Permits, t.now, t.now.Add(valid-ticketMargin))
	have.nextCall = t.now.Add(adviceInterval)
	t.permits = t.permits.With(a.step, have)
	t.emit(Note{What: "advice", Job: r.job.Job.ID, Task: a.step, Peer: a.caller, Why: strconv.Itoa(len(e.Permits)) + " of " + strconv.Itoa(len(a.workers)) + " workers permitted"})
	if known == 0 {
		t.learnPermitRatio(a, len(e.Permits))
	}
}

// learnPermitRatio takes up the share of named workers that an answer permits.
func (t *transition) learnPermitRatio(a adviceCall, permitted int) {
	ratio, ok := t.permitRatios.Get(a.queue)
	if !ok {
		ratio = initialPermitRatio
	}
	now := float64(permitted) / float64(max(len(a.workers), 1))
	ratio = max(0.05, ratio*(1-permitRatioWeight)+now*permitRatioWeight)
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

// failCalls ends the calls for advice that a condition holds for.
func (t *transition) failCalls(over func(adviceCall) bool) {
	for _, a := range t.adviceCalls.All() {
		if over(a) {
			Advised{Ask: a.number, Failed: true}.apply(t)
		}
	}
}
