package scheduler

import (
	"fmt"
	"slices"
	"time"
)

// ItemKind is the kind of a work item for workers.
type ItemKind string

// Kinds of work items for workers.
const (
	ItemService  ItemKind = "service"  // runs until it is cancelled
	ItemDeferred ItemKind = "deferred" // runs once, before its deadline
	ItemGang     ItemKind = "gang"     // all members start together or none
)

// ItemPhase is the phase of a work item in the ledger.
type ItemPhase string

// Phases of an item. Only ledger records move an item between phases, so all
// readers of the zone's stream agree on them.
const (
	ItemPending   ItemPhase = "pending"   // waits for workers
	ItemRunning   ItemPhase = "running"   // started, or about to be
	ItemStopping  ItemPhase = "stopping"  // its tasks are being halted
	ItemDone      ItemPhase = "done"      // every member succeeded
	ItemFailed    ItemPhase = "failed"    // a member reported failure
	ItemCancelled ItemPhase = "cancelled" // by its submitter
	ItemUnknown   ItemPhase = "unknown"   // may have run and must not be repeated
)

// Ended reports whether the phase is final.
func (p ItemPhase) Ended() bool {
	return p == ItemDone || p == ItemFailed || p == ItemCancelled || p == ItemUnknown
}

// Work is the work that was submitted. Members is the number of tasks, each of
// the given size; those of a gang start together.
type Work struct {
	ID         string        `json:"id"`
	Kind       ItemKind      `json:"kind"`
	Plan       string        `json:"plan"`
	Name       string        `json:"name"`
	Members    int           `json:"members"`
	Size       Size          `json:"size"`
	Run        time.Duration `json:"run"`      // declared run time, nanoseconds, 0 for a service
	Deadline   time.Time     `json:"deadline"` // zero for none
	AtMostOnce bool          `json:"once"`     // must not be started again after it may have run
}

// Total returns the size of all members together.
func (w Work) Total() Size {
	var total Size
	for range w.Members {
		total = total.Plus(w.Size)
	}
	return total
}

// Placement is one member of an item on a worker.
type Placement struct {
	Worker   string `json:"worker"`
	Task     string `json:"task"`            // unique per member and attempt
	Ended    bool   `json:"ended,omitempty"` // proven by a ledger record to have ended
	Reported End    `json:"-"`               // end that the worker reported to this entry
	// StartedAt is when this entry read the start, zero for a start before this entry began.
	StartedAt time.Time `json:"-"`
}

// Item is a work item with its state in the ledger. It is exclusive: a member is
// never started again while an earlier start of it may still run.
type Item struct {
	Work         Work
	Phase        ItemPhase
	NextPhase    ItemPhase `json:"Then"` // phase that follows ItemStopping
	Epoch        int64     // offset of the last start, the fencing token of its tasks
	Attempt      int
	Placed       []Placement
	Reserved     bool      // this entry has reserved Placed and not yet read back the start record
	Why          string    // reason for the state
	Due          time.Time // sorts the queue of pending items
	LastLogged   time.Time `json:"Kept"`  // when this entry last read or repeated a record that holds the whole item
	PendingSince time.Time `json:"Taken"` // when this entry saw the item become pending, or last reserved workers for it
}

// WithPhase returns the item in another phase.
func (i Item) WithPhase(p ItemPhase) Item {
	i.Phase = p
	return i
}

// WithStopping returns the item while its tasks are being halted, to enter the
// phase next afterwards.
func (i Item) WithStopping(next ItemPhase, why string) Item {
	i.Phase = ItemStopping
	i.NextPhase = next
	i.Why = why
	return i
}

// WithStart returns the item as started by the record at offset epoch, which this
// entry read at a time.
func (i Item) WithStart(placed []Placement, epoch int64, at time.Time) Item {
	i.Phase = ItemRunning
	i.Placed = slices.Clone(placed)
	for index := range i.Placed {
		i.Placed[index].StartedAt = at
	}
	i.Epoch = epoch
	i.Attempt++
	i.Reserved = false
	i.Why = ""
	return i
}

// WithReserved returns the item with placements reserved by this entry.
func (i Item) WithReserved(placed []Placement) Item {
	i.Placed = placed
	i.Reserved = true
	return i
}

// WithPending returns the item without placements, pending since a time.
func (i Item) WithPending(at time.Time) Item {
	i.Phase = ItemPending
	i.Placed = nil
	i.Reserved = false
	i.PendingSince = at
	return i
}

// WithPlacement returns the item with one placement replaced.
func (i Item) WithPlacement(index int, p Placement) Item {
	i.Placed = slices.Clone(i.Placed)
	i.Placed[index] = p
	return i
}

// WithWhy returns the item with the reason of its state.
func (i Item) WithWhy(why string) Item {
	i.Why = why
	return i
}

// MayHaveEnded reports whether a placed member may have ended well by the end of its
// lease: a task of a limited run time whose run fits before that.
func (i Item) MayHaveEnded(index int, expiry time.Time) bool {
	return i.Work.Kind != ItemService && i.Work.Run > 0 && !i.Placed[index].StartedAt.Add(i.Work.Run).After(expiry)
}

// AllEnded reports whether no placement may still run.
func (i Item) AllEnded() bool {
	return !slices.ContainsFunc(i.Placed, func(p Placement) bool { return !p.Ended })
}

// taskIndex returns the position of a task among the placements, or -1.
func (i Item) taskIndex(task string) int {
	return slices.IndexFunc(i.Placed, func(p Placement) bool { return p.Task == task })
}

// taskName returns the name of one member of one attempt.
func taskName(item string, attempt, member int) string {
	return fmt.Sprintf("%s.%d.%d", item, attempt, member)
}
