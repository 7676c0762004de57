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
	ConfigNext      int64     // offset after the last one read from the configuration stream
	ConfigRead      bool      // the configuration stream has been read to its end once
	ConfigRefreshed time.Time // when the configuration was last set or repeated

	Applied  int64 // offset after the last one read from the zone's stream
	First    int64 // first offset of the zone's stream that was read without a gap
	ZoneRead bool  // the zone's stream has been read to its end once

	Listed  bool            // the platform's list has been read once
	Entries Table[Instance] // entries on the platform's list, all zones
	Members Table[Member]   // by EntryID
	Servers Table[Server]   // of this zone
	Workers Table[Worker]   // of this zone

	Claims        Table[Claim]     // as recorded in the log, the same at every reader
	DirectClaims  Table[Claim]     // passed on without the log, as far as this entry took part
	Holds         Table[Hold]      // resources on which this entry acts as the owner
	FreeServers   Ranking          // held servers with a free slot, best first
	FreeWorkers   Ranking          // workers with recorded ownership that take work, by free CPU
	Handovers     Table[Handover]  // sent and not yet confirmed
	Quarantined   Table[time.Time] // quarantined tranches by the end of their quarantine
	PendingClaims Table[time.Time] // resources by the time at which a claim was appended

	Requests      Table[Request]
	Queue         TimeIndex  // by arrival
	QueueTimeouts TimeIndex  // queued requests by the end of their wait
	SlotExpiries  TimeIndex  // carried, lost and charged requests by the time at which their slot is free
	SlotsUsed     Table[int] // slots in use, by plan

	Items          Table[Item]
	Pending        TimeIndex            // by deadline
	Scanned        Table[bool]          // pending items that had a turn to be placed, as in rationer.Effort.Turns
	Reserved       Table[time.Time]     // items whose start record was appended and not yet read back
	Live           Table[bool]          // items that have not ended
	Ended          TimeIndex            // items that have ended, by the log's time
	SizeUsed       Table[Size]          // size in use in this zone, by plan, computed from the log
	Tasks          Table[Table[string]] // by worker: its tasks that have not ended, with their items
	Leases         Table[Lease]         // of held workers
	ReportsDue     TimeIndex            // held workers by the time at which the next report is requested
	WorkerExpiries TimeIndex            // held workers by the time at which their tasks are lost
	MissingTasks   TimeIndex            // tasks that their worker does not report, by the time from which on they can no longer start there
	RefreshChecked time.Time            // when records to repeat were last looked for

	OwnershipChecked time.Time // when every resource was last checked for an owner
	BalanceChecked   time.Time // when resources were last rebalanced
}

// New returns the state of an entry that starts now.
func New(self Entry, p Policy, now time.Time) State {
	return State{Self: self, Policy: p.withDefaults(), Started: now}
}

// Prefixes of resource names.
const (
	serverPrefix  = "server/"
	workerPrefix  = "worker/"
	tranchePrefix = "tranche/"
)

// ServerResource returns the resource name of a backend server.
func ServerResource(name string) string { return serverPrefix + name }

// WorkerResource returns the resource name of a worker.
func WorkerResource(name string) string { return workerPrefix + name }

// TrancheResource returns the resource name of one tranche of the zone's
// allowances.
func TrancheResource(index int) string { return tranchePrefix + strconv.Itoa(index) }

func trancheIndex(resource string) (int, bool) {
	text, ok := strings.CutPrefix(resource, tranchePrefix)
	if !ok {
		return 0, false
	}
	n, err := strconv.Atoi(text)
	return n, err == nil
}

// Ready reports whether the entry may serve callers: it has a configuration,
// has read ownership and the platform's list, and is not draining.
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

// Claim returns the ownership of a resource as this entry knows it: the last
// claim in the log, or a direct handover since.
func (s State) Claim(resource string) (Claim, bool) {
	c, ok := s.Claims.Get(resource)
	if direct, found := s.DirectClaims.Get(resource); found && (!ok || direct.Newer(c)) {
		return direct, true
	}
	return c, ok
}

// FreeSlots returns the number of free slots on held servers that take work.
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

// heldServer returns the server of a held resource if it takes new work.
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
// the plan's shares in the held tranches that are not in quarantine.
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

// trancheUsable reports whether this entry holds a tranche and its quarantine
// has ended.
func (s State) trancheUsable(resource string, now time.Time) bool {
	if !s.Holds.Has(resource) {
		return false
	}
	until, quarantined := s.Quarantined.Get(resource)
	return !quarantined || !now.Before(until)
}

// acked returns the zone offset up to which this entry is known to act by the
// log. While it holds a resource under an older claim that is not recorded, the
// value stays at that claim, so that no entry relies on it having read a later
// one.
func (s State) acked() int64 {
	acked := s.Applied
	for _, hold := range s.Holds.All() {
		if !hold.Recorded {
			acked = min(acked, hold.Epoch+1)
		}
	}
	return acked
}

// foreign returns the number of slots that requests of earlier owners may
// still hold.
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

// Digest returns the digest that this entry sends to its peers.
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
