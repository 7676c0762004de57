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
	// longCall separates calls for advice that others must not wait behind.
	longCall = 100 * time.Millisecond
	// longShare is the share of the callers that long calls may use.
	longShare = 0.75
	// maxNamed is how many workers a call may name. It is the platform's bound.
	maxNamed = 100
	// minNamed keeps a call from depending on very few workers.
	minNamed = 6
	// seatMargin is how many times over a call looks for room.
	seatMargin = 2.0
	// firstRatio is the share of permitted workers assumed before an answer.
	firstRatio = 0.5
	// ratioWeight is the weight of a new answer in the learned share.
	ratioWeight = 0.1
	// maxSearches is how many steps in one pass look in vain for room that a call
	// could ask about: each looks at all workers, and the next ones hardly find
	// more.
	maxSearches = 8
	// callSlack is how much longer than estimated a call may take before its
	// answer is given up.
	callSlack = 3 * time.Second
	// callerRest is how long an entry whose call failed is not asked again.
	callerRest = 500 * time.Millisecond
	// askPause is how long after an answer another call for the same step waits:
	// what is permitted does not change, only the room does.
	askPause = 300 * time.Millisecond
	// answerTime is what an answer needs beyond the work of the service.
	answerTime = 50 * time.Millisecond
)

// asker is an entry that can ask for advice.
type asker struct {
	calls int       // under way
	rests time.Time // it is not asked before then, since a call failed
}

// ask is a call for advice under way.
type ask struct {
	number int64
	key    string // of the step
	queue  string
	caller string
	sent   time.Time
	length time.Duration // estimated
	named  []string
}

// permitted returns the tickets that hold for a step, and whether the step may
// be placed now. If they are not enough it sees to a call for advice.
func (p *pass) permitted(r stepRef) (tickets, bool) {
	if r.work.Job.Queue.Advice == nil {
		return nil, true
	}
	have, _ := p.permits.Get(r.key)
	held := p.now.Before(have.until)
	if !have.asking && !p.now.Before(have.again) && !(held && p.enoughSeats(r, have.tickets)) {
		p.consult(r, have)
	}
	return have.tickets, held
}

// enoughSeats reports whether permitted workers have room for a task of a step,
// or for all of a gang.
func (p *pass) enoughSeats(r stepRef, held tickets) bool {
	here := p.perWorker(r)
	size := r.spec().Room()
	missing := 1
	if r.spec().Gang {
		missing = p.idleTasks(r)
	}
	for _, i := range p.able(r, held) {
		missing -= p.seatsAt(r, p.candidates[i].Free, size, here[p.candidates[i].ID], missing)
		if missing <= 0 {
			return true
		}
	}
	return false
}

// seatsAt returns how many tasks of a step fit into free room at a worker that
// has some of them already, at most a limit.
func (p *pass) seatsAt(r stepRef, free, size ledger.Size, there, limit int) int {
	if most := r.spec().Most; most > 0 {
		limit = min(limit, most-there)
	}
	return seatsIn(free, size, limit)
}

// consult has a free entry ask for advice on a step.
func (p *pass) consult(r stepRef, have permits) {
	advice := r.work.Job.Queue.Advice
	caller, ok := p.freeCaller(advice.Decide >= longCall)
	if !ok || p.searches >= maxSearches {
		return
	}
	named := p.nominate(r, have)
	if len(named) == 0 {
		p.searches++
		return
	}
	workers := make([]string, len(named))
	for i, o := range named {
		workers[i] = o.id
	}
	p.lastAsk++
	a := ask{
		number: p.lastAsk, key: r.key, queue: r.work.Job.Queue.Name, caller: caller, sent: p.now,
		length: advice.Decide + time.Duration(len(workers))*advice.Each, named: workers,
	}
	p.naming = nil // counted anew for the next call
	have.asking = true
	p.permits = p.permits.With(r.key, have)
	p.asks = p.asks.With(strconv.FormatInt(a.number, 10), a)
	who, _ := p.callers.Get(caller)
	who.calls++
	p.callers = p.callers.With(caller, who)
	p.emit(Consult{Ask: a.number, Caller: caller, Step: r.key, Workers: workers})
	p.emit(Note{What: "ask", Job: r.work.Job.ID, Task: r.key, Peer: caller, Why: strconv.Itoa(len(workers)) + " workers named"})
}

// freeCaller returns an entry that has no call under way. Long calls leave some
// entries to the others.
func (p *pass) freeCaller(long bool) (string, bool) {
	if long {
		running := 0
		for _, a := range p.asks.All() {
			if a.length >= longCall {
				running++
			}
		}
		if running >= max(1, int(longShare*float64(p.callers.Len()))) {
			return "", false
		}
	}
	for caller, who := range p.callers.All() {
		if who.calls == 0 && !p.now.Before(who.rests) {
			return caller, true
		}
	}
	return "", false
}

// askAhead asks for advice on steps that become ready about when the answer is
// there.
func (p *pass) askAhead() {
	for key := range p.ahead.From(minScore) {
		r, ok := p.resolve(key)
		if !ok {
			p.ahead = p.ahead.Without(key)
			continue
		}
		have, _ := p.permits.Get(key)
		advice := r.work.Job.Queue.Advice
		if have.asking || len(have.tickets) > 0 && p.now.Before(have.until) {
			continue
		}
		if p.readyIn(r) <= advice.Decide+minNamed*advice.Each+answerTime {
			p.consult(r, have)
		}
	}
}

// readyIn estimates when the steps before a step are done.
func (p *pass) readyIn(r stepRef) time.Duration {
	var longest time.Duration
	for _, before := range r.spec().After {
		estimate := r.work.Job.Steps[before].Estimate
		for index, task := range r.work.Progress.Step(r.round, before) {
			switch task.Phase {
			case ledger.Idle:
				longest = max(longest, estimate)
			case ledger.Started:
				id := ledger.TaskID{Job: r.work.Job.ID, Round: r.round, Step: before, Index: index}
				longest = max(longest, p.remaining(id, task, estimate))
			}
		}
	}
	return longest
}

// remaining estimates the time that a run still takes, by its progress if that
// is known and by the estimate of its step otherwise.
func (t *turn) remaining(id ledger.TaskID, task ledger.Task, estimate time.Duration) time.Duration {
	w, ok := t.workers.Get(task.Worker)
	if !ok {
		return estimate
	}
	p, ok := w.Placed.Get(runKey(id.String(), task.Run))
	if !ok || p.Began.IsZero() {
		return estimate
	}
	elapsed := t.now.Sub(p.Began)
	if p.Percent > 0 && p.Moved.After(p.Began) {
		whole := float64(p.Moved.Sub(p.Began)) * 100 / float64(p.Percent)
		return max(0, time.Duration(whole)-elapsed)
	}
	return max(0, estimate-elapsed)
}

func (e Advised) apply(t *turn) {
	number := strconv.FormatInt(e.Ask, 10)
	a, ok := t.asks.Get(number)
	if !ok {
		return
	}
	t.asks = t.asks.Without(number)
	if who, ok := t.callers.Get(a.caller); ok {
		who.calls--
		if e.Failed {
			who.rests = t.now.Add(callerRest)
		}
		t.callers = t.callers.With(a.caller, who)
	}
	t.place = true
	have, _ := t.permits.Get(a.key)
	have.asking = false
	r, live := t.resolve(a.key)
	if !live {
		t.permits = t.permits.Without(a.key)
		return
	}
	if e.Failed {
		t.permits = t.permits.With(a.key, have)
		t.emit(Note{What: "advice", Job: r.work.Job.ID, Task: a.key, Peer: a.caller, Why: "call failed"})
		return
	}
	valid := e.Valid
	if valid == 0 {
		valid = r.work.Job.Queue.Advice.Valid
	}
	known := len(have.good)
	have = have.with(a.named, e.Permits, t.now, t.now.Add(valid-ticketMargin))
	have.again = t.now.Add(askPause)
	t.permits = t.permits.With(a.key, have)
	t.emit(Note{What: "advice", Job: r.work.Job.ID, Task: a.key, Peer: a.caller, Why: strconv.Itoa(len(e.Permits)) + " of " + strconv.Itoa(len(a.named)) + " workers permitted"})
	if known == 0 {
		t.learn(a, len(e.Permits))
	}
}

// learn takes up the share of named workers that an answer permits.
func (t *turn) learn(a ask, permitted int) {
	ratio, ok := t.ratios.Get(a.queue)
	if !ok {
		ratio = firstRatio
	}
	now := float64(permitted) / float64(max(len(a.named), 1))
	ratio = max(0.05, ratio*(1-ratioWeight)+now*ratioWeight)
	t.ratios = t.ratios.With(a.queue, ratio)
}

func (e CallersChanged) apply(t *turn) {
	for caller := range t.callers.All() {
		if !slices.Contains(e.Callers, caller) {
			t.callers = t.callers.Without(caller)
			t.giveUp(func(a ask) bool { return a.caller == caller })
		}
	}
	for _, caller := range e.Callers {
		if !t.callers.Has(caller) {
			t.callers = t.callers.With(caller, asker{})
			t.place = true
		}
	}
}

// giveUp ends the calls for advice that a condition holds for.
func (t *turn) giveUp(over func(ask) bool) {
	for _, a := range t.asks.All() {
		if over(a) {
			Advised{Ask: a.number, Failed: true}.apply(t)
		}
	}
}
