package leader

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/endivelock/endivelock/internal/ledger"
	"github.com/endivelock/endivelock/internal/placer"
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

// ticket allows a worker to run tasks of a step.
type ticket struct {
	value string
	until time.Time // it is not used after this
}

// tickets are the tickets of a step by worker. They are never changed once they
// are stored.
type tickets map[string]ticket

// permits are what advice has told of one step.
type permits struct {
	tickets tickets
	until   time.Time // end of the last ticket
	good    []string  // workers that were permitted, which does not change
	bad     []string  // workers that were not, which does not change either
	asking  bool
	again   time.Time // another call does not help before then
}

// without returns the permits less the ticket of a worker.
func (p permits) without(worker string) permits {
	p.tickets = maps.Clone(p.tickets)
	delete(p.tickets, worker)
	return p
}

// with returns the permits with an answer taken up that names those of the
// workers asked about that may run the step. Tickets of earlier answers hold on.
func (p permits) with(named []string, answer []Permit, now, until time.Time) permits {
	held := make(tickets, len(p.tickets)+len(answer))
	for id, t := range p.tickets {
		if now.Before(t.until) {
			held[id] = t
		}
	}
	permitted := make(map[string]bool, len(answer))
	for _, a := range answer {
		held[a.Worker] = ticket{a.Ticket, until}
		permitted[a.Worker] = true
	}
	p.tickets, p.until = held, until
	for _, id := range named {
		switch {
		case permitted[id] && !slices.Contains(p.good, id):
			p.good = append(p.good[:len(p.good):len(p.good)], id)
		case !permitted[id]:
			p.bad = append(p.bad[:len(p.bad):len(p.bad)], id)
		}
	}
	return p
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

// option is a worker that a call may name.
type option struct {
	id    string
	known bool // to be permitted
	seats int  // tasks of the step that fit
	free  int64
	speed int // tenths of slowness, counted for urgent steps only
	calls int // under way that name it
}

// calls returns how many calls under way name a worker. What they count on may
// be taken when another call is answered.
func (p *pass) calls(worker string) int {
	if p.naming == nil {
		p.naming = map[string]int{}
		for _, a := range p.asks.All() {
			for _, id := range a.named {
				p.naming[id]++
			}
		}
	}
	return p.naming[worker]
}

// idleTasks returns how many tasks of a step wait.
func (p *pass) idleTasks(r stepRef) int {
	idle := 0
	for _, task := range r.work.Progress.Step(r.round, r.step) {
		if task.Phase == ledger.Idle {
			idle++
		}
	}
	return idle
}

// nominate chooses the workers that a call names among those with room: those
// known to be permitted, then those that fewer calls under way name, then those
// with most room, until there is room enough for the step, given the share that
// advice lets pass. Without any room no call helps.
func (p *pass) nominate(r stepRef, have permits) []option {
	ratio, ok := p.ratios.Get(r.work.Job.Queue.Name)
	if !ok {
		ratio = firstRatio
	}
	idle := p.idleTasks(r)
	options := p.options(r, have, idle)
	named, found, unknown := 0, p.seatsHeld(r, have, idle), 0
	for _, o := range options {
		enough := found >= seatMargin*float64(idle) && (unknown == 0 || unknown >= minNamed)
		if enough || named >= maxNamed {
			break
		}
		named++
		if o.known {
			found += seatMargin * float64(o.seats)
			continue
		}
		unknown++
		found += ratio * float64(o.seats)
	}
	return options[:named]
}

// freshTicket is the share of its time that a ticket still has to hold for its
// worker not to be named again.
const freshTicket = 0.5

// fresh reports whether a worker has a ticket that holds for some time yet.
func (p *pass) fresh(r stepRef, have permits, id string) bool {
	t, ok := have.tickets[id]
	left := time.Duration(freshTicket * float64(r.work.Job.Queue.Advice.Valid))
	return ok && t.until.Sub(p.now) > left
}

// seatsHeld returns how much of the room that a call looks for is at workers
// with fresh tickets.
func (p *pass) seatsHeld(r stepRef, have permits, idle int) float64 {
	seats := 0
	here := p.perWorker(r)
	for id := range have.tickets {
		if i, ok := p.index[id]; ok && p.fresh(r, have, id) {
			seats += p.seatsAt(r, p.candidates[i].Free, r.spec().Room(), here[id], idle)
		}
	}
	return seatMargin * float64(seats)
}

// options lists the workers with room that a call may name, the best first.
func (p *pass) options(r stepRef, have permits, idle int) []option {
	size := r.spec().Room()
	var options []option
	here := p.perWorker(r)
	for i, c := range p.candidates {
		if !p.suits(r, i) || slices.Contains(have.bad, c.ID) || p.fresh(r, have, c.ID) {
			continue
		}
		seats := p.seatsAt(r, c.Free, size, here[c.ID], idle)
		if seats == 0 {
			continue
		}
		o := option{id: c.ID, known: slices.Contains(have.good, c.ID), seats: seats, free: c.Free.CPU, calls: p.calls(c.ID)}
		if r.work.Job.Queue.Priority == 0 {
			o.speed = placer.Tenths(c.Slowness)
		}
		options = append(options, o)
	}
	slices.SortStableFunc(options, func(a, b option) int {
		if a.known != b.known {
			return prefer(a.known)
		}
		return cmp.Or(cmp.Compare(a.calls, b.calls), cmp.Compare(a.speed, b.speed), cmp.Compare(b.seats, a.seats), cmp.Compare(b.free, a.free))
	})
	return options
}

// prefer returns the order of two options of which one is better.
func prefer(first bool) int {
	if first {
		return -1
	}
	return 1
}

// seatsIn returns how many tasks of a size fit, at most a limit.
func seatsIn(free, size ledger.Size, limit int) int {
	n := 0
	for n < limit && free.Fits(size.Times(n+1)) {
		n++
	}
	return n
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
