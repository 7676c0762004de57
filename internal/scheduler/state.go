package scheduler

import (
	"strconv"
	"strings"
	"time"
)

// State is the whole control state of one entry. It is immutable: Apply
// returns a new one that shares structure with the old, so that traffic
// goroutines and queries read a published State without a lock.
type State struct {
	Self     Entry
	Policy   Policy
	Started  time.Time
	Draining bool

	Config          Config
	ConfigNext      int64 // offset after the last one read from the configuration stream
	ConfigRead      bool  // the configuration stream was read to its end once
	ConfigRefreshed time.Time

	Applied  int64 // offset after the last one read from the zone's stream
	First    int64 // first offset of the zone's stream that was read without a gap
	ZoneRead bool  // the zone's stream was read to its end once

	Listed  bool            // the platform's list was read once
	Entries Table[Instance] // entry instances of the platform's list, all zones
	Members Table[Member]   // by EntryID
	Servers Table[Server]   // of this zone
	Workers Table[Worker]   // of this zone

	Claims        Table[Claim] // as the log has them, the same at every reader
	DirectClaims  Table[Claim] // handed over directly, as far as this entry took part
	Holds         Table[Hold]
	FreeServers   Ranking // held servers with a free slot, best first
	FreeWorkers   Ranking // recorded workers that take work, by free processors
	Handovers     Table[Handover]
	Rested        Table[time.Time] // tranches that count only after a time
	PendingClaims Table[time.Time] // resources for which a claim is being appended

	Requests      Table[Request]
	Queue         TimeIndex  // by arrival
	QueueTimeouts TimeIndex  // queued requests by the end of their wait
	SlotExpiries  TimeIndex  // carried and lost requests by the end of their slot
	SlotsUsed     Table[int] // slots in use by plan

	Items          Table[Item]
	Pending        TimeIndex            // by deadline
	Reserved       Table[time.Time]     // items whose start waits for its record
	Live           Table[bool]          // items that have not ended
	Ended          TimeIndex            // items that have ended, by the log\'s time
	SizeUsed       Table[Size]          // size in use by plan in this zone, from the log
	Tasks          Table[Table[string]] // by worker: its unended tasks and their items
	Leases         Table[Lease]         // of held workers
	ReportsDue     TimeIndex            // held workers by the time of the next question
	WorkerExpiries TimeIndex            // held workers by the time at which their tasks are lost
	MissingTasks   TimeIndex            // tasks that their worker does not report, by the time at which they are lost
	RefreshChecked time.Time            // when the repeating of old records was last looked at

	OwnershipChecked time.Time // when missing ownership was last looked for
	BalanceChecked   time.Time // when ownership was last looked at
}

// New returns the state of an entry that starts now.
func New(self Entry, p Policy, now time.Time) State {
	return State{Self: self, Policy: p.withDefaults(), Started: now}
}

// Resource names. A resource is what exactly one entry of a zone owns.
const (
	serverPrefix  = "server/"
	workerPrefix  = "worker/"
	tranchePrefix = "tranche/"
)

// ServerResource names the ownership of a backend server.
func ServerResource(name string) string { return serverPrefix + name }

// WorkerResource names the ownership of a worker.
func WorkerResource(name string) string { return workerPrefix + name }

// TrancheResource names the ownership of one part of the zone's allowances.
func TrancheResource(index int) string { return tranchePrefix + strconv.Itoa(index) }

func trancheIndex(resource string) (int, bool) {
	text, ok := strings.CutPrefix(resource, tranchePrefix)
	if !ok {
		return 0, false
	}
	n, err := strconv.Atoi(text)
	return n, err == nil
}

// Ready reports whether the entry may serve callers: it has a configuration
// and knows who owns what.
func (s State) Ready() bool {
	return s.Configured() && s.ZoneRead && s.Listed && !s.Draining
}

// Configured reports whether a version of both lists is in force.
func (s State) Configured() bool {
	return s.Config.PlansVersion > 0 && s.Config.AllowanceVersion > 0
}

// Mark returns the operators' mark on an instance.
func (s State) Mark(instance string) Mark {
	return s.Config.Marks[instance]
}

// takesWork reports whether new work may be sent to an instance.
func (s State) takesWork(i Instance, gone bool) bool {
	return !gone && !i.Leaving && s.Mark(i.Name) == MarkNone
}

// HoldsServer reports whether this entry acts as the owner of a server.
func (s State) HoldsServer(name string) bool {
	return s.Holds.Has(ServerResource(name))
}

// Claim returns the ownership of a resource as this entry knows it: the log's
// record, or a direct handover since.
func (s State) Claim(resource string) (Claim, bool) {
	c, ok := s.Claims.Get(resource)
	if handed, passed := s.DirectClaims.Get(resource); passed && (!ok || handed.Newer(c)) {
		return handed, true
	}
	return c, ok
}

// FreeSlots returns the number of slots that this entry could give out now.
func (s State) FreeSlots() int {
	free := 0
	for resource := range s.Holds.All() {
		v, ok := s.heldServer(resource)
		if ok {
			free += v.Free()
		}
	}
	return free
}

// heldServer returns the book of a held server that takes new work.
func (s State) heldServer(resource string) (Server, bool) {
	name, ok := strings.CutPrefix(resource, serverPrefix)
	if !ok {
		return Server{}, false
	}
	v, ok := s.Servers.Get(name)
	if !ok || !s.takesWork(v.Instance, v.Gone) {
		return Server{}, false
	}
	return v, true
}

// SlotLimit returns how many slots this entry may use for a plan: the sum of
// the plan's shares in the tranches that it holds and that have rested.
func (s State) SlotLimit(plan string, now time.Time) int {
	a, ok := s.Config.Allowance(plan)
	if !ok {
		return 0
	}
	zone := s.Policy.zoneShare(int64(a.Slots), s.Self.Zone)
	limit := int64(0)
	for i := range s.Policy.Tranches {
		if s.trancheUsable(TrancheResource(i), now) {
			limit += share(zone, i, s.Policy.Tranches)
		}
	}
	return int(limit)
}

func (s State) trancheUsable(resource string, now time.Time) bool {
	if !s.Holds.Has(resource) {
		return false
	}
	rest, resting := s.Rested.Get(resource)
	return !resting || !now.Before(rest)
}

// acked returns the zone offset up to which this entry vouches that it acts
// by the log. While it holds something on the strength of an older claim, the
// value stays at that claim, so that nobody relies on it having read a later one.
func (s State) acked() int64 {
	acked := s.Applied
	for _, hold := range s.Holds.All() {
		if !hold.Recorded {
			acked = min(acked, hold.Epoch+1)
		}
	}
	return acked
}

// foreign counts the slots that requests of earlier owners may still hold.
func (s State) foreign() int {
	n := 0
	for _, id := range s.SlotExpiries.All() {
		r, _ := s.Requests.Get(id)
		if r.Plan == "" {
			n++
		}
	}
	return n
}

// Digest returns what this entry tells its peers.
func (s State) Digest() Digest {
	return Digest{
		Entry:    s.Self,
		Config:   s.Config.Offset,
		Acked:    s.acked(),
		Free:     s.FreeSlots(),
		Queue:    s.Queue.Len(),
		Foreign:  s.foreign(),
		Ready:    s.Ready(),
		Draining: s.Draining,
	}
}

// Drained reports whether a draining entry has nothing left to do.
func (s State) Drained() bool {
	if !s.Draining || s.Handovers.Len() > 0 {
		return false
	}
	for _, r := range s.Requests.All() {
		if r.Phase == PhaseQueued || r.Phase == PhaseForwarded || r.Phase == PhaseRunning {
			return false
		}
	}
	return true
}
