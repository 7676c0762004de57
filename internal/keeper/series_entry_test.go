package keeper_test

import (
	"time"

	"github.com/endivelock/endivelock/internal/keeper"
	"github.com/endivelock/endivelock/internal/leader"
)

const (
	maxRead       = 800 * time.Millisecond // delay of a read
	readPause     = 25 * time.Millisecond
	minAppend     = 5 * time.Millisecond
	maxAppend     = 400 * time.Millisecond
	maxSlowAppend = 2 * time.Second // of a slow log
	retryPause    = 60 * time.Millisecond
	claimTimeout  = 700 * time.Millisecond
	fenceAttempts = 4
	tickPeriod    = 100 * time.Millisecond
	leadsPeriod   = 400 * time.Millisecond
	heartbeat     = 200 * time.Millisecond
	maxJitter     = 150 * time.Millisecond
	maxQueueing   = 100 * time.Millisecond // until an event is applied
	minRestart    = 500 * time.Millisecond
	maxRestart    = 4 * time.Second
)

// member is an entry.
type member struct {
	*cell
	name    string
	state   keeper.State
	alive   bool
	process int       // number of its process
	cut     time.Time // until when it doesn't reach the log
	follow  int       // number of its follower of the streams, which ends when it changes
	from    int64     // offset of the follower's next read
	read    map[int64]time.Time
	leads   int   // records of the stream of leaders that it has read
	linked  int64 // epoch of the last leader that it has linked to
	desk    *desk
}

// start starts a process.
func (m *member) start() {
	m.process++
	m.state = keeper.New(keeper.Identity{Name: m.name, Address: m.name, CPUShare: 1}, keeper.Policy{
		Leader:        leader.Policy{Lease: seriesLease, LongestLease: seriesLease, MaxStaleRenewal: seriesRenewal, MinPassInterval: 10 * time.Millisecond},
		LeaderTimeout: 1200 * time.Millisecond, LinkLostTimeout: 700 * time.Millisecond, UnreachableTimeout: 350 * time.Millisecond,
		MaxGrant: seriesGrant, Retention: time.Hour, ReplicaDelay: 1500 * time.Millisecond, MinReplicaTime: 10 * time.Second,
		WeakDelay: 400 * time.Millisecond, MinLeadTime: 3 * time.Second,
	})
	m.alive, m.leads, m.linked, m.desk, m.read = true, 0, 0, nil, map[int64]time.Time{}
	m.follow++
	m.whileAlive(m.between(0, tickPeriod), m.tick)
	m.whileAlive(m.between(0, leadsPeriod), m.readLeads)
}

// whileAlive has something happen after a time, unless the process has ended.
func (m *member) whileAlive(d time.Duration, ring func()) {
	process := m.process
	m.after(d, func() {
		if m.alive && m.process == process {
			ring()
		}
	})
}

// reaches reports whether the entry reaches the log.
func (m *member) reaches() bool { return !m.now.Before(m.cut) && !m.now.Before(m.log.away) }

func (m *member) tick() {
	m.apply(keeper.Ticked{Jitter: m.between(0, maxJitter)})
	m.link()
	m.whileAlive(tickPeriod, m.tick)
}

func (m *member) readLeads() {
	m.whileAlive(leadsPeriod, m.readLeads)
	if !m.reaches() {
		return
	}
	var e keeper.LeadsRead
	if n := len(m.log.leads); n > m.leads {
		newest := m.log.leads[n-1]
		e.Lead, m.leads = &newest, n
	}
	m.apply(e)
}

// replicate follows the streams anew.
func (m *member) replicate() {
	m.follow++
	m.from, m.read = -1, map[int64]time.Time{}
	m.fetch(m.follow)
}

// fetch reads both streams and goes on with the next read. What it delivers is as old as
// the answer took.
func (m *member) fetch(follow int) {
	if !m.reaches() {
		m.whileAlive(m.between(0, maxRead), func() {
			if m.follow == follow {
				m.apply(keeper.ReadFailed{})
				m.fetch(follow)
			}
		})
		return
	}
	records, next, snapshot := m.log.since(m.from), m.log.end(), m.from < 0
	m.whileAlive(m.between(0, maxRead), func() {
		if m.follow != follow {
			return
		}
		m.from = next
		m.deliver(records, next, snapshot)
		m.whileAlive(readPause, func() {
			if m.follow == follow {
				m.fetch(follow)
			}
		})
	})
}

// deliver applies a read of both streams.
func (m *member) deliver(records []logged, next int64, snapshot bool) {
	changes := make([]keeper.RunChange, len(records))
	for i, r := range records {
		changes[i] = r.RunChange
		if _, read := m.read[r.Offset]; !read {
			m.read[r.Offset] = m.now
		}
	}
	m.apply(keeper.JobsRead{Changes: m.jobs, Next: int64(len(m.jobs)), Snapshot: m.state.Offset(keeper.Jobs) < 0})
	m.apply(keeper.RunsRead{Changes: changes, Next: next, Snapshot: snapshot})
}

// call has the log execute a call, which it may do although the answer is lost or late.
func (m *member) call(timeout time.Duration, execute, answered, failed func()) {
	latency := m.latency()
	m.after(latency/2, func() {
		reached := m.reaches()
		if reached {
			execute()
		}
		if !reached || latency > timeout {
			m.whileAlive(max(timeout-latency/2, 0), failed)
			return
		}
		m.whileAlive(latency/2, func() {
			if !m.reaches() {
				m.whileAlive(timeout-latency, failed)
				return
			}
			answered()
		})
	})
}

// latency returns how long a call of the log takes.
func (m *member) latency() time.Duration {
	if m.now.Before(m.log.slow) {
		return m.between(maxAppend, maxSlowAppend)
	}
	return m.between(minAppend, maxAppend)
}

func (m *member) claim(expected int64) {
	offset := int64(-1)
	m.call(claimTimeout, func() {
		if m.log.end() == expected {
			offset = m.take(0, m.now, keeper.RunChange{Claim: true, Awaits: true})
		}
	}, func() {
		if offset < 0 {
			at := m.state.Offset(keeper.Runs)
			m.deliver(m.log.since(at), m.log.end(), at < 0)
			m.failClaim()
			return
		}
		m.raise(offset, fenceAttempts)
	}, m.failClaim)
}

func (m *member) failClaim() { m.apply(keeper.ClaimFailed{Why: "no answer, or others have written"}) }

// raise fences earlier leaders off.
func (m *member) raise(claim int64, attempts int) {
	refused := false
	m.call(claimTimeout, func() {
		refused = m.log.fence > claim+1
		m.log.fence = max(m.log.fence, claim+1)
	}, func() {
		if refused {
			m.failClaim()
			return
		}
		m.call(claimTimeout, func() {}, func() { m.readRest(claim) }, m.failClaim) // the other writer
	}, func() {
		if attempts == 1 {
			m.failClaim()
			return
		}
		m.raise(claim, attempts-1)
	})
}

// readRest reads what earlier leaders have written, and leads.
func (m *member) readRest(claim int64) {
	var records []logged
	var next int64
	m.call(maxSlowAppend, func() { records, next = m.log.since(claim), m.log.end() }, func() {
		m.deliver(records, next, false)
		m.apply(keeper.Claimed{Epoch: claim + 1})
	}, m.failClaim)
}

func (m *member) apply(e keeper.Event) {
	next, effects := m.state.Apply(e, m.now)
	m.state = next
	for _, effect := range effects {
		m.perform(effect)
	}
}

func (m *member) perform(effect keeper.Effect) {
	switch f := effect.(type) {
	case keeper.Claim:
		m.claim(f.Expected)
	case keeper.StartReplicating:
		m.replicate()
	case keeper.StopReplicating:
		m.follow++
	case keeper.StartLeading:
		m.noteTakeover(m)
		m.follow++
		m.desk = newDesk(m, f)
		m.desk.open()
	case keeper.Resign:
		m.resign(f)
	case keeper.LeaderEffect:
		if d := m.desk; d != nil && d.epoch == f.Epoch {
			d.perform(f.Effect)
		}
	}
}

// resign closes the services of the leader and follows the streams again.
func (m *member) resign(r keeper.Resign) {
	d := m.desk
	if d == nil || d.epoch != r.Epoch {
		return
	}
	m.desk = nil
	d.close()
	if r.Graceful {
		d.resign(r.Leases)
	}
	for _, other := range m.members {
		if other != m && !m.chance(2) {
			other.whileAlive(m.between(0, maxAppend), func() { other.apply(keeper.LinkLost{Epoch: r.Epoch, SteppedDown: true}) })
		}
	}
	m.replicate()
}

// kill ends the process, which is started again some time later.
func (m *member) kill() {
	if !m.alive {
		return
	}
	m.alive = false
	if d := m.desk; d != nil {
		d.close()
		for _, other := range m.members {
			if other != m && !m.chance(2) {
				other.whileAlive(m.between(0, maxAppend), func() { other.apply(keeper.LinkLost{Epoch: d.epoch, Unreachable: true}) })
			}
		}
	}
	m.desk = nil
	m.after(m.between(minRestart, maxRestart), m.start)
}

// stop asks the process to stop. It ends once it has resigned.
func (m *member) stop() {
	m.apply(keeper.Stopping{})
	m.whileAlive(maxAppend, m.kill)
}

// desk is the services of an entry that leads.
type desk struct {
	*member
	process  int
	epoch    int64
	clock    keeper.Clock
	lead     keeper.LeaderRecord
	leases   *leader.Leases // not written yet
	pending  []leader.Record
	leadAt   time.Time
	inFlight *batch
	wrote    time.Time // when the last append was made
	closed   bool
	stopped  time.Time // when its calls end, once it is closed
	resigned bool
	fence    int64
	sent     time.Time // when the last append was sent that the log took
	callers  map[string]*caller
	since    time.Time
}

func newDesk(m *member, f keeper.StartLeading) *desk {
	leases := f.Leases
	return &desk{
		member: m, process: m.process, epoch: f.Epoch, clock: f.Clock, lead: keeper.LeaderRecord{Epoch: f.Epoch, Name: m.name, Address: m.name},
		leases: &leases, fence: max(f.Epoch, m.state.Offset(keeper.Runs)+1), sent: m.now, since: m.now, callers: map[string]*caller{},
	}
}

// open starts the services.
func (d *desk) open() {
	d.write()
	d.call(claimTimeout, func() {
		announced := d.lead
		for _, other := range d.members {
			announced.Standbys = append(announced.Standbys, other.name)
		}
		if n := len(d.log.leads); n == 0 || d.log.leads[n-1].Epoch < d.epoch {
			d.log.leads = append(d.log.leads, announced)
		}
	}, func() {}, func() {})
	for _, id := range d.ids() {
		d.whileOpen(d.between(0, maxAppend), func() { d.list(id) })
	}
}

// close ends the services. Deputies go on with the calls for a while.
func (d *desk) close() {
	d.closed, d.stopped = true, d.now.Add(d.between(0, seriesGrant))
}

// whileOpen has something happen after a time unless the entry doesn't lead any more.
func (d *desk) whileOpen(after time.Duration, ring func()) {
	d.after(after, func() {
		if !d.closed {
			ring()
		}
	})
}

func (d *desk) submit(e leader.Event) {
	if !d.closed {
		d.apply(keeper.LeaderEvent{Epoch: d.epoch, Event: e})
	}
}

func (d *desk) list(id string) {
	d.submit(leader.Listed{Listing: leader.Listing{
		ID: id, Address: id, Service: "s", Incarnation: d.machines[id].incarnation, Capacity: seriesRoom, Rack: id,
	}})
}

func (d *desk) perform(effect leader.Effect) {
	switch f := effect.(type) {
	case leader.Record:
		d.pending = append(d.pending, f)
		d.whileOpen(0, d.write)
	case leader.RecordLeases:
		d.leases = &f.Leases
	case leader.Order:
		d.caller(f.Worker).order(f)
	case leader.StartPolling:
		d.caller(f.Worker).watch()
	case leader.PollNow:
		d.caller(f.Worker).poll(0, false)
	case leader.Renew:
		d.caller(f.Worker).renew(f.Silence)
	case leader.Acknowledge:
		d.caller(f.Worker).acknowledge(f)
	case leader.Wake:
		d.whileOpen(f.After, func() { d.submit(leader.Woken{}) })
	case leader.Decision:
		d.noteDecision(d, f)
	}
}

// batch is one append.
type batch struct {
	number  int64
	changes []keeper.RunChange
	written []keeper.RunChange
	sent    time.Time
	taken   bool
}

// write appends what is pending, or a heartbeat.
func (d *desk) write() {
	if d.inFlight != nil || d.closed {
		return
	}
	b := &batch{sent: d.now}
	d.inFlight, d.wrote = b, d.now
	if d.leases != nil {
		r := keeper.NewLeaseRecord(d.epoch, d.clock, *d.leases).WithRenewals(seriesRenewal, seriesGrant)
		b.changes, d.leases = append(b.changes, keeper.RunChange{Leases: &r}), nil
	}
	for _, r := range d.pending {
		b.number = max(b.number, r.Batch)
		if r.Job != "" {
			progress := r.Progress
			b.written = append(b.written, keeper.RunChange{ID: r.Job, Progress: &progress})
		}
	}
	d.pending, b.changes = nil, append(b.changes, b.written...)
	if len(b.changes) == 0 || d.now.Sub(d.leadAt) >= heartbeat {
		d.leadAt = d.now
		d.lead.Heartbeats++
		d.lead.Clock = d.clock.Reading(d.now)
		lead := d.lead
		b.changes = append(b.changes, keeper.RunChange{Lead: &lead})
	}
	d.append(b)
}

// append sends a batch until the log answers. The log may have taken it before.
func (d *desk) append(b *batch) {
	retry := func() {
		d.whileOpen(d.between(retryPause, maxAppend), func() { d.append(b) })
	}
	latency := d.latency()
	d.after(latency/2, func() {
		if !d.reaches() || d.resigned {
			retry()
			return
		}
		fenced := d.epoch < d.log.fence
		if !fenced && !b.taken {
			b.taken = true
			d.fence = max(d.fence, d.take(d.epoch, b.sent, b.changes...)+1)
		}
		d.whileOpen(latency/2, func() {
			switch {
			case !d.reaches():
				retry()
			case fenced:
				d.apply(keeper.Deposed{Why: "fenced"})
			default:
				d.confirm(b)
			}
		})
	})
}

// confirm goes on after the log has taken a batch.
func (d *desk) confirm(b *batch) {
	d.sent, d.inFlight = b.sent, nil
	d.whileOpen(heartbeat, func() {
		if d.now.Sub(d.wrote) >= heartbeat {
			d.write()
		}
	})
	d.whileOpen(d.between(0, maxQueueing), func() { d.apply(keeper.Written{Batch: b.number, Changes: b.written}) })
	if len(d.pending) > 0 {
		d.write()
	}
}

// resign appends that the leader has stopped. The log refuses that while an append before it
// is on its way.
func (d *desk) resign(l leader.Leases) {
	r, lead := keeper.NewLeaseRecord(d.epoch, d.clock, l).WithRenewals(seriesRenewal, seriesGrant), d.lead
	lead.Name, lead.Address, lead.Clock = "", "", d.clock.Reading(d.now)
	lead.Heartbeats++
	encoded := d.now
	d.call(claimTimeout, func() {
		if d.epoch < d.log.fence || d.inFlight != nil && !d.inFlight.taken {
			return
		}
		d.resigned = true
		d.take(d.epoch, encoded, keeper.RunChange{Leases: &r}, keeper.RunChange{Lead: &lead})
	}, func() {}, func() {})
	d.call(claimTimeout, func() {
		if d.log.leads[len(d.log.leads)-1].Epoch == d.epoch {
			d.log.leads = append(d.log.leads, lead)
		}
	}, func() {}, func() {})
}
