package keeper_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/endivelock/endivelock/internal/keeper"
	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
)

// alarm is something that happens at a time.
type alarm struct {
	at     time.Time
	number int
	ring   func()
}

// alarms are alarms by time, a heap.
type alarms []alarm

func (a alarms) Len() int { return len(a) }
func (a alarms) Less(i, j int) bool {
	if a[i].at.Equal(a[j].at) {
		return a[i].number < a[j].number
	}
	return a[i].at.Before(a[j].at)
}
func (a alarms) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push adds an alarm.
func (a *alarms) Push(x any) { *a = append(*a, x.(alarm)) }

// Pop removes the last alarm.
func (a *alarms) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// timeline is a simulated clock with alarms and delays.
type timeline struct {
	now    time.Time
	alarms alarms
	count  int
	random *rand.Rand // nil for delays in the middle, and no chances
}

// after has something happen after a time.
func (l *timeline) after(d time.Duration, ring func()) {
	l.count++
	heap.Push(&l.alarms, alarm{l.now.Add(d), l.count, ring})
}

// advance lets time pass.
func (l *timeline) advance(d time.Duration) {
	end := l.now.Add(d)
	for len(l.alarms) > 0 && !l.alarms[0].at.After(end) {
		next := heap.Pop(&l.alarms).(alarm)
		l.now = next.at
		next.ring()
	}
	l.now = end
}

// between returns a random delay.
func (l *timeline) between(least, most time.Duration) time.Duration {
	if l.random == nil {
		return (least + most) / 2
	}
	return least + time.Duration(l.random.Int64N(int64(most-least)+1))
}

// chance returns true once in n times.
func (l *timeline) chance(n int) bool { return l.random != nil && l.random.IntN(n) == 0 }

// logged is a record in the log of runs, with what the books need.
type logged struct {
	keeper.RunChange
	epoch   int64     // of the leader that wrote it; 0 for a claim
	encoded time.Time // when that leader made it
	taken   time.Time // when the log took it
}

// name returns the name of the record's value.
func (r logged) name() string {
	switch {
	case r.Lead != nil:
		return keeper.LeadName
	case r.Leases != nil:
		return keeper.LeasesName
	case r.Claim:
		return keeper.ClaimName
	}
	return string(r.ID)
}

// runsLog is the platform's log: the stream of runs, and that of leaders.
type runsLog struct {
	records []logged // the index is the offset
	newest  map[string]logged
	fence   int64
	away    time.Time // until when it doesn't answer
	slow    time.Time // until when it is slow
	leads   []keeper.LeaderRecord
}

// end returns the offset of the next record.
func (l *runsLog) end() int64 { return int64(len(l.records)) }

// add adds a record.
func (l *runsLog) add(r logged) {
	l.records = append(l.records, r)
	l.newest[r.name()] = r
}

// since returns the records from an offset on, or the newest of each name for -1.
func (l *runsLog) since(from int64) []logged {
	if from >= 0 {
		return slices.Clone(l.records[min(from, l.end()):])
	}
	return slices.SortedFunc(maps.Values(l.newest), func(a, b logged) int { return int(a.Offset - b.Offset) })
}

// leases returns the newest record of leases, nil if there is none.
func (l *runsLog) leases() *keeper.LeaseRecord { return l.newest[keeper.LeasesName].Leases }

// progress returns the newest progress of a job, nil if there is none.
func (l *runsLog) progress(id ledger.ID) *ledger.Progress { return l.newest[string(id)].Progress }

// renews reports whether a record lets its leader renew the leases of a worker.
func renews(r *keeper.LeaseRecord, worker string) bool {
	if r == nil || r.Others != 0 {
		return false
	}
	_, named := r.Until[worker]
	return !named
}

const (
	seriesLease    = 6 * time.Second
	seriesRenewal  = 2500 * time.Millisecond // MaxStaleRenewal
	seriesGrant    = 1250 * time.Millisecond // MaxGrant
	slowestPercent = 98                      // of the rate of our clocks, at workers
)

// machine is a worker. It ends its runs when its leases lapse on its own clock.
type machine struct {
	*timeline
	id          string
	incarnation int64
	rate        float64
	began       time.Time
	uptime      int64 // its clock when it began, milliseconds
	fence       int64
	lease       int64 // on its clock
	running     map[string]leader.RunStatus
	highest     map[string]int // highest run that it knows of, by task
	ends        []leader.RunEnd
	lastEnd     int64
	lost        bool    // nobody reaches it
	near        *member // but this entry, if there is one
	lostAt      time.Time
}

// begin starts an incarnation.
func (w *machine) begin() {
	w.incarnation++
	w.began, w.uptime = w.now, w.between(time.Second, time.Minute).Milliseconds()
	w.fence, w.lease, w.lastEnd, w.ends = 0, 0, 0, nil
	w.running, w.highest, w.lost, w.near = map[string]leader.RunStatus{}, map[string]int{}, false, nil
}

// hidden reports whether an entry doesn't reach the worker.
func (w *machine) hidden(from *member) bool { return w.lost && w.near != from }

func (w *machine) clock() int64 {
	return w.uptime + int64(w.rate*float64(w.now.Sub(w.began))/float64(time.Millisecond))
}

// lapse ends the runs if the leases have lapsed.
func (w *machine) lapse() {
	if w.clock() < w.lease {
		return
	}
	for _, key := range slices.Sorted(maps.Keys(w.running)) {
		w.end(key, leader.EndLeaseExpired)
	}
}

func (w *machine) end(key string, how leader.EndKind) {
	r := w.running[key]
	delete(w.running, key)
	w.highest[r.Task] = max(w.highest[r.Task], r.Number)
	w.lastEnd++
	w.ends = append(w.ends, leader.RunEnd{Number: w.lastEnd, Task: r.Task, Run: r.Number, Kind: how})
}

// hear executes what a poll tells, and reports whether its fence is high enough.
func (w *machine) hear(fence, deadline, acked int64) bool {
	w.lapse()
	if fence < w.fence {
		return false
	}
	w.fence, w.lease = fence, max(w.lease, deadline)
	w.ends = slices.DeleteFunc(w.ends, func(e leader.RunEnd) bool { return e.Number <= acked })
	return true
}

func (w *machine) report() leader.Report {
	w.lapse()
	r := leader.Report{Incarnation: w.incarnation, Clock: w.clock(), Ended: slices.Clone(w.ends)}
	for _, key := range slices.Sorted(maps.Keys(w.running)) {
		r.Running = append(r.Running, w.running[key])
	}
	return r
}

// runKey names a run.
func runKey(task string, run int) string { return fmt.Sprintf("%s#%d", task, run) }

// execute executes an order. Before it starts a run it has it checked.
func (w *machine) execute(o leader.Order, fence, deadline int64, check func(leader.Order)) leader.Outcome {
	if !w.hear(fence, 0, 0) {
		return leader.Refused
	}
	task, key := o.Task.String(), runKey(o.Task.String(), o.Run)
	_, running := w.running[key]
	switch {
	case o.Kind == leader.OrderStop && running:
		w.end(key, leader.EndStopped)
	case o.Kind == leader.OrderStop:
		w.highest[task] = max(w.highest[task], o.Run)
	case o.Kind != leader.OrderStart || running:
	case o.Run <= w.highest[task]:
		return leader.StaleRun
	case w.clock() >= max(w.lease, deadline):
		return leader.Refused
	default:
		check(o)
		w.lease = max(w.lease, deadline)
		w.running[key] = leader.RunStatus{Task: task, Number: o.Run}
	}
	return leader.Executed
}

// cell is a simulated cell: a log, entries and workers, and the books of the test.
type cell struct {
	timeline
	t        rapid.TB
	log      runsLog
	jobs     []keeper.JobChange
	members  []*member
	machines map[string]*machine
	faults   bool // answers of workers are lost now and then
	books
}

// ids returns the identifiers of the workers in order.
func (c *cell) ids() []string { return slices.Sorted(maps.Keys(c.machines)) }

// take has the log take records of a leader.
func (c *cell) take(epoch int64, encoded time.Time, changes ...keeper.RunChange) int64 {
	first := c.log.end()
	c.noteRenewers(epoch)
	for i, change := range changes {
		change.Offset = first + int64(i)
		c.log.add(logged{change, epoch, encoded, c.now})
	}
	c.noteRenewers(epoch)
	return first
}

func newCell(t rapid.TB, entries, workers int, random *rand.Rand) *cell {
	c := &cell{t: t, timeline: timeline{now: time.Unix(1_700_000_000, 0), random: random}, machines: map[string]*machine{}}
	c.log.newest = map[string]logged{}
	c.books = books{renewedAt: map[string]time.Time{}, givenUp: map[givenUp]bool{}, heard: map[string]time.Time{}, heardBy: map[heardBy]time.Time{}}
	for i := range workers {
		w := &machine{timeline: &c.timeline, id: fmt.Sprintf("w%d", i), rate: 1}
		if random != nil {
			w.rate = 1 - (1-slowestPercent/100.0)*random.Float64()
		}
		w.begin()
		c.machines[w.id] = w
	}
	for i := range entries {
		m := &member{cell: c, name: fmt.Sprintf("e%d", i)}
		c.members = append(c.members, m)
		m.start()
	}
	return c
}

// accept puts a lasting job into the stream of jobs.
func (c *cell) accept(tasks int) {
	j := ledger.Job{
		ID: ledger.ID(fmt.Sprintf("j%d", len(c.jobs))), Accepted: c.now, Queue: ledger.Queue{Service: "s", Priority: 1, Attempts: 3},
		Steps: []ledger.Step{{Count: tasks, LongRunning: true, Request: ledger.Resources{CPU: 1000}}},
	}
	c.jobs = append(c.jobs, keeper.JobChange{Offset: int64(len(c.jobs)), ID: j.ID, Job: &j})
}

// link tells the leader that the entry knows of that it is followed.
func (m *member) link() {
	epoch := m.state.Lead().Epoch
	if m.desk != nil || epoch == m.linked {
		return
	}
	for _, other := range m.members {
		if other.alive && other.desk != nil && other.desk.epoch == epoch {
			m.linked = epoch
			other.whileAlive(m.between(0, tickPeriod), func() { other.apply(keeper.EntryFollows{Name: m.name, Epoch: epoch}) })
		}
	}
}
