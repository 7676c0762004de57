package scheduler

import (
	"time"

	"github.com/endivelock/endivelock/internal/rationer"
)

const (
	// maxItemScan limits how many pending items are examined per event.
	maxItemScan = 64
	// placementTurn is how long a pending item is left to one entry before the
	// next one tries to place it.
	placementTurn = 500 * time.Millisecond
	// noDeadlineDelay orders items without a deadline after the others.
	noDeadlineDelay = 365 * 24 * time.Hour
)

// enqueueItem stores a pending item and adds it to the queue.
func (t *step) enqueueItem(i Item) {
	i.Due = i.Work.Deadline
	if i.Due.IsZero() {
		i.Due = i.PendingSince.Add(noDeadlineDelay)
	}
	t.s.Pending = t.s.Pending.With(i.Due, i.Work.ID)
	t.putItem(i)
}

// dequeueItem removes an item from the queue.
func (t *step) dequeueItem(i Item) {
	t.s.Pending = t.s.Pending.Without(i.Work.ID)
}

// Feasible reports why work can never run in this zone, or an empty string.
func (s State) Feasible(w Work) string {
	if _, ok := s.Config.Plan(w.Plan); !ok {
		return "plan " + w.Plan + " is not in the list of plans"
	}
	a, ok := s.Config.Allowance(w.Plan)
	if !ok || !w.Total().Fits(s.Policy.zoneShareSize(a.Size, s.Self.Zone)) {
		return "plan " + w.Plan + " is not allowed that much in zone " + string(s.Self.Zone)
	}
	room := 0
	for _, worker := range s.Workers.All() {
		if !worker.Gone {
			room += fitting(w.Size, worker.Instance.Size, w.Members)
		}
	}
	if room < w.Members {
		return "the workers of zone " + string(s.Self.Zone) + " can never hold all members at once"
	}
	return ""
}

// fitting returns how many members of a size fit into room, limit at most.
func fitting(size, room Size, limit int) int {
	n := 0
	for n < limit && size.Fits(room) {
		room = room.Minus(size)
		n++
	}
	return n
}

// applySubmit adds a submitted item. A repeated submission has no effect.
func (t *step) applySubmit(offset int64, r SubmitRecord) {
	if t.s.Items.Has(r.Work.ID) {
		return
	}
	i := Item{Work: r.Work, Epoch: offset, LastLogged: t.now}.WithPending(t.now)
	t.enqueueItem(i)
}

// putItem stores an item and keeps the indexes of live and ended items in sync.
func (t *step) putItem(i Item) {
	ended := i.Phase.Ended() && i.AllEnded()
	if ended {
		i.Placed = nil
	}
	t.s.Items = t.s.Items.With(i.Work.ID, i)
	if ended {
		t.s.Live = t.s.Live.Without(i.Work.ID)
		t.s.Ended = t.s.Ended.With(t.logTime, i.Work.ID)
		return
	}
	t.s.Live = t.s.Live.With(i.Work.ID, true)
}

// placeItems reserves workers for pending items, earliest deadline first, and
// appends their start records to the log. Each pending item has its turn.
func (t *step) placeItems() {
	if t.s.Draining || t.s.Pending.Len() == 0 {
		return
	}
	scan := rationer.Effort{Half: maxItemScan / 2, Turns: t.s.Scanned}
	candidates := t.candidates()
	for _, id := range t.s.Pending.All() {
		if !scan.Allows(id) {
			if scan.Cut() {
				break
			}
			continue
		}
		scan.Spend(id)
		i, _ := t.s.Items.Get(id)
		if !i.Reserved && t.hasPlacementTurn(i, candidates) {
			t.reserve(i)
		}
	}
	t.s.Scanned = scan.Left()
}

// hasPlacementTurn reports whether it is this entry's turn to place a pending
// item. Turns rotate by rank, so that the workers of every entry are tried.
func (t *step) hasPlacementTurn(i Item, candidates []EntryID) bool {
	if len(candidates) == 0 {
		return false
	}
	turn := int(t.now.Sub(i.PendingSince) / placementTurn)
	if turn == 0 {
		return first(i.Work.ID, candidates) == t.s.Self.ID
	}
	return rank(i.Work.ID, candidates)[turn%len(candidates)] == t.s.Self.ID
}

// reserve reserves workers for an item and appends its start record, or notes
// why it cannot be placed.
func (t *step) reserve(i Item) {
	a, _ := t.s.Config.Allowance(i.Work.Plan)
	limit := t.s.Policy.zoneShareSize(a.Size, t.s.Self.Zone)
	used, _ := t.s.SizeUsed.Get(i.Work.Plan)
	if !used.Plus(i.Work.Total()).Fits(limit) {
		t.explain(i, "the plan's allowance in the zone is used")
		return
	}
	placed, ok := t.choosePlacements(i)
	if !ok {
		t.explain(i, "no owned workers have room for all members")
		return
	}
	for _, p := range placed {
		t.changeWorker(p.Worker, func(w Worker) Worker { return w.WithUsed(i.Work.Size) })
	}
	i = i.WithReserved(placed)
	i.PendingSince = t.now
	t.dequeueItem(i)
	t.s.Reserved = t.s.Reserved.With(i.Work.ID, t.now)
	t.putItem(i)
	t.emit(Append{Stream: ZoneStream(t.s.Self.Zone), Records: []Record{StartRecord{
		Item: i.Work.ID, Attempt: i.Attempt, By: t.s.Self.ID, Limit: limit, Placed: placed,
	}}})
}

// explain stores why an item is still pending.
func (t *step) explain(i Item, why string) {
	if i.Why != why {
		t.putItem(i.WithWhy(why))
	}
}

// choosePlacements chooses held workers for all members. It fills the worker
// with the least free CPU that has room first, so that whole workers stay free
// for large items.
func (t *step) choosePlacements(i Item) ([]Placement, bool) {
	var placed []Placement
	for name := range t.s.FreeWorkers.From(i.Work.Size.CPU) {
		w, _ := t.s.Workers.Get(name)
		if !t.recentlyReported(name) {
			continue
		}
		for range fitting(i.Work.Size, w.Free(), i.Work.Members-len(placed)) {
			task := taskName(i.Work.ID, i.Attempt, len(placed))
			placed = append(placed, Placement{Worker: name, Task: task})
		}
		if len(placed) == i.Work.Members {
			return placed, true
		}
	}
	return nil, false
}

// recentlyReported reports whether a worker has reported within the last lease.
func (t *step) recentlyReported(worker string) bool {
	lease, _ := t.s.Leases.Get(worker)
	return t.now.Sub(lease.Heard) < t.s.Policy.Lease
}

// applyStart accepts or rejects a start by rules that depend only on earlier
// records of the log, so that every reader comes to the same result.
func (t *step) applyStart(offset int64, r StartRecord) {
	i, ok := t.s.Items.Get(r.Item)
	if !ok {
		return
	}
	mine := r.By == t.s.Self.ID && i.Reserved
	if mine {
		t.unreserve(i)
		i, _ = t.s.Items.Get(r.Item)
	}
	if i.Phase != ItemPending || i.Attempt != r.Attempt || !t.ownsWorkers(r) {
		return
	}
	used, _ := t.s.SizeUsed.Get(i.Work.Plan)
	if !used.Plus(i.Work.Total()).Fits(r.Limit) {
		return
	}
	if i.Reserved {
		t.unreserve(i)
		i, _ = t.s.Items.Get(r.Item)
	}
	t.dequeueItem(i)
	i = i.WithStart(r.Placed, offset, t.now)
	t.s.SizeUsed = t.s.SizeUsed.With(i.Work.Plan, used.Plus(i.Work.Total()))
	for _, p := range i.Placed {
		t.changeWorker(p.Worker, func(w Worker) Worker { return w.WithUsed(i.Work.Size) })
		t.addTask(p.Worker, p.Task, r.Item)
		t.extendLease(p.Worker)
	}
	t.putItem(i)
	if r.By == t.s.Self.ID {
		t.launchOrAbandon(i)
	}
}

// launchOrAbandon launches the tasks of an item, or ends them unstarted if the
// late record of an earlier reservation has used up the room on a worker.
func (t *step) launchOrAbandon(i Item) {
	for _, p := range i.Placed {
		w, _ := t.s.Workers.Get(p.Worker)
		if w.Used.Fits(w.Instance.Size) && t.s.Holds.Has(WorkerResource(p.Worker)) {
			continue
		}
		t.abandon(i)
		return
	}
	t.launch(i)
}

// abandon records the tasks of an item as never started.
func (t *step) abandon(i Item) {
	var records []Record
	for _, p := range i.Placed {
		records = append(records, FinishRecord{Item: i.Work.ID, Task: p.Task, End: EndUnused, Why: "no room at the start"})
	}
	t.emit(Append{Stream: ZoneStream(t.s.Self.Zone), Records: records})
}

// ownsWorkers reports whether the log shows the writer of a start as the owner
// of every worker that it names.
func (t *step) ownsWorkers(r StartRecord) bool {
	for _, p := range r.Placed {
		c, ok := t.s.Claims.Get(WorkerResource(p.Worker))
		if !ok || c.Owner != r.By {
			return false
		}
	}
	return true
}

// unreserve releases what this entry reserved for an item and queues the item
// again.
func (t *step) unreserve(i Item) {
	for _, p := range i.Placed {
		t.changeWorker(p.Worker, func(w Worker) Worker { return w.WithUsed(Size{}.Minus(i.Work.Size)) })
	}
	t.s.Reserved = t.s.Reserved.Without(i.Work.ID)
	t.enqueueItem(i.WithPending(i.PendingSince))
}

// launch emits one Launch per worker with the tasks of an item there.
func (t *step) launch(i Item) {
	byWorker := map[string][]Task{}
	for _, p := range i.Placed {
		task := Task{ID: p.Task, Item: i.Work.ID, Fence: i.Epoch, Size: i.Work.Size}
		if i.Work.Kind != ItemService {
			task.Run = i.Work.Run
		}
		byWorker[p.Worker] = append(byWorker[p.Worker], task)
	}
	for _, name := range sortedKeys(byWorker) {
		w, _ := t.s.Workers.Get(name)
		t.emit(Launch{
			Worker:  name,
			Address: w.Instance.Address,
			Tasks:   byWorker[name],
			Expiry:  t.now.Add(t.s.Policy.Lease),
		})
	}
}

// applyFinish ends one task of an item. If the task did not succeed, the item
// stops; it moves on only once all of its tasks have ended.
func (t *step) applyFinish(r FinishRecord) {
	i, ok := t.s.Items.Get(r.Item)
	index := i.taskIndex(r.Task)
	if !ok || index < 0 || i.Placed[index].Ended || i.Reserved {
		return
	}
	p := i.Placed[index]
	p.Ended = true
	i = i.WithPlacement(index, p)
	t.changeWorker(p.Worker, func(w Worker) Worker { return w.WithUsed(Size{}.Minus(i.Work.Size)) })
	t.removeTask(p.Worker, p.Task)
	used, _ := t.s.SizeUsed.Get(i.Work.Plan)
	t.s.SizeUsed = t.s.SizeUsed.With(i.Work.Plan, used.Minus(i.Work.Size))
	if i.Phase == ItemRunning {
		switch r.End {
		case EndFailed:
			i = i.WithStopping(ItemFailed, r.Why)
		case EndUnused:
			i = i.WithStopping(ItemPending, r.Why)
		case EndLost, EndHalted:
			i = i.WithStopping(phaseAfterLoss(i.Work), r.Why)
		}
	}
	t.advanceItem(i)
	t.haltRemaining(i)
}

// phaseAfterLoss returns the phase that follows for work of which a task may have
// run in part.
func phaseAfterLoss(w Work) ItemPhase {
	if w.AtMostOnce {
		return ItemUnknown
	}
	return ItemPending
}

// advanceItem stores an item, in its next phase if none of its tasks may still
// run.
func (t *step) advanceItem(i Item) {
	switch {
	case !i.AllEnded():
		t.putItem(i)
	case i.Phase == ItemRunning:
		t.putItem(i.WithPhase(ItemDone))
	case i.Phase == ItemStopping && i.NextPhase == ItemPending:
		t.enqueueItem(i.WithPending(t.now))
	case i.Phase == ItemStopping:
		t.putItem(i.WithPhase(i.NextPhase))
	default:
		t.putItem(i)
	}
}

// haltRemaining halts the tasks of a stopping or cancelled item that have not
// ended on held workers.
func (t *step) haltRemaining(i Item) {
	if i.Phase != ItemStopping && i.Phase != ItemCancelled {
		return
	}
	for _, p := range i.Placed {
		w, ok := t.s.Workers.Get(p.Worker)
		if !p.Ended && ok && t.s.Holds.Has(WorkerResource(p.Worker)) {
			t.emit(Halt{Worker: p.Worker, Address: w.Instance.Address, Task: p.Task})
		}
	}
}

func (t *step) applyCancel(r CancelRecord) {
	i, ok := t.s.Items.Get(r.Item)
	if !ok || i.Phase.Ended() {
		return
	}
	if i.Reserved {
		t.unreserve(i)
		i, _ = t.s.Items.Get(r.Item)
	}
	if i.Phase == ItemPending {
		t.dequeueItem(i)
		t.putItem(i.WithPhase(ItemCancelled))
		return
	}
	i = i.WithStopping(ItemCancelled, "cancelled")
	t.putItem(i)
	t.haltRemaining(i)
}

// applyItemSnapshot adds an item for a reader that began after the item's
// earlier records were trimmed.
func (t *step) applyItemSnapshot(r ItemSnapshotRecord) {
	i := r.Item
	if known, ok := t.s.Items.Get(i.Work.ID); ok {
		known.LastLogged = t.now
		t.putItem(known)
		return
	}
	i.LastLogged = t.now
	if i.Phase == ItemPending {
		t.enqueueItem(i.WithPending(t.now))
		return
	}
	used, _ := t.s.SizeUsed.Get(i.Work.Plan)
	for _, p := range i.Placed {
		if p.Ended {
			continue
		}
		used = used.Plus(i.Work.Size)
		t.changeWorker(p.Worker, func(w Worker) Worker { return w.WithUsed(i.Work.Size) })
		t.addTask(p.Worker, p.Task, i.Work.ID)
		t.extendLease(p.Worker)
	}
	t.s.SizeUsed = t.s.SizeUsed.With(i.Work.Plan, used)
	t.putItem(i)
}

func (t *step) addTask(worker, task, item string) {
	tasks, _ := t.s.Tasks.Get(worker)
	t.s.Tasks = t.s.Tasks.With(worker, tasks.With(task, item))
}

func (t *step) removeTask(worker, task string) {
	tasks, _ := t.s.Tasks.Get(worker)
	t.s.Tasks = t.s.Tasks.With(worker, tasks.Without(task))
	t.s.MissingTasks = t.s.MissingTasks.Without(task)
}
