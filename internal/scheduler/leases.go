package scheduler

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// renewalsPerLease is the part of a lease after which it is renewed.
const renewalsPerLease = 4

// Lease is what the owner of a worker keeps about the leases there. No lease
// on the worker is in force after Lapse, except those of tasks in State.Missing
// whose time there is later.
type Lease struct {
	Heard  time.Time // when the worker last reported
	Expiry time.Time
}

// TaskEnd is a task's end as its worker reports it.
type TaskEnd struct {
	Task string
	End  End
	Why  string
}

// WorkerReported tells which tasks a worker runs and which have ended there.
type WorkerReported struct {
	Worker  string
	Running []string
	Ended   []TaskEnd
}

func (e WorkerReported) apply(t *step) {
	if !t.s.Holds.Has(WorkerResource(e.Worker)) {
		return
	}
	reported := make(map[string]bool, len(e.Running)+len(e.Ended))
	t.reportEnded(e, reported)
	t.renewRunning(e, reported)
	t.trackMissing(e.Worker, reported)
	lease, _ := t.s.Leases.Get(e.Worker)
	lease.Heard = t.now
	lease.Expiry = t.now.Add(t.s.Policy.Lease)
	t.putLease(e.Worker, lease)
}

// putLease stores a lease and when the worker's tasks count as lost if it
// stays silent.
func (t *step) putLease(worker string, lease Lease) {
	t.s.Leases = t.s.Leases.With(worker, lease)
	t.s.WorkerExpiries = t.s.WorkerExpiries.With(lease.Expiry.Add(t.s.Policy.Drift), worker)
}

// reportEnded records the ends that a worker reports.
func (t *step) reportEnded(e WorkerReported, reported map[string]bool) {
	tasks, _ := t.s.Tasks.Get(e.Worker)
	var records []Record
	for _, end := range e.Ended {
		item, ok := tasks.Get(end.Task)
		if !ok {
			continue
		}
		reported[end.Task] = true
		t.setReported(item, end)
		records = append(records, FinishRecord{Item: item, Task: end.Task, End: end.End, Why: end.Why})
	}
	if len(records) > 0 {
		t.emit(Append{Stream: ZoneStream(t.s.Self.Zone), Records: records})
	}
}

// setReported keeps what a worker said of a task, so that it is not declared lost
// while the log is slow to take the record.
func (t *step) setReported(item string, end TaskEnd) {
	i, _ := t.s.Items.Get(item)
	index := i.taskIndex(end.Task)
	if index < 0 || i.Placed[index].Reported == end.End {
		return
	}
	p := i.Placed[index]
	p.Reported = end.End
	t.putItem(i.WithPlacement(index, p))
}

// renewRunning extends the leases of the tasks that the worker runs and that
// are to go on, and halts the others.
func (t *step) renewRunning(e WorkerReported, reported map[string]bool) {
	tasks, _ := t.s.Tasks.Get(e.Worker)
	w, _ := t.s.Workers.Get(e.Worker)
	var renew []string
	for _, task := range e.Running {
		item, ok := tasks.Get(task)
		i, _ := t.s.Items.Get(item)
		reported[task] = true
		if !ok || i.Phase != ItemRunning {
			t.emit(Halt{Worker: e.Worker, Address: w.Instance.Address, Task: task})
			continue
		}
		renew = append(renew, task)
	}
	if len(renew) > 0 {
		expiry := t.now.Add(t.s.Policy.Lease)
		t.emit(Renew{Worker: e.Worker, Address: w.Instance.Address, Tasks: renew, Expiry: expiry})
	}
}

// trackMissing keeps when each task that the worker does not report is lost. A
// task may be missing because its launch is still on the way.
func (t *step) trackMissing(worker string, reported map[string]bool) {
	lease, _ := t.s.Leases.Get(worker)
	tasks, _ := t.s.Tasks.Get(worker)
	for task := range tasks.All() {
		switch missing := t.s.MissingTasks.Has(task); {
		case reported[task] && missing:
			t.s.MissingTasks = t.s.MissingTasks.Without(task)
		case !reported[task] && !missing:
			t.s.MissingTasks = t.s.MissingTasks.With(lease.Expiry.Add(t.s.Policy.Drift), task)
		}
	}
}

// beginLeases starts the books of a worker that this entry gained. An earlier
// owner may have renewed leases up to now.
func (t *step) beginLeases(worker string) {
	t.putLease(worker, Lease{Expiry: t.now.Add(t.s.Policy.Lease)})
	t.s.ReportsDue = t.s.ReportsDue.With(t.now, worker)
}

// endLeases drops the books of a worker that this entry no longer owns.
func (t *step) endLeases(worker string) {
	t.s.Leases = t.s.Leases.Without(worker)
	t.s.WorkerExpiries = t.s.WorkerExpiries.Without(worker)
	t.s.ReportsDue = t.s.ReportsDue.Without(worker)
	tasks, _ := t.s.Tasks.Get(worker)
	for task := range tasks.All() {
		t.s.MissingTasks = t.s.MissingTasks.Without(task)
	}
}

// extendLease notes that a lease that begins now may be in force on a worker.
func (t *step) extendLease(worker string) {
	lease, ok := t.s.Leases.Get(worker)
	if !ok {
		return
	}
	lapse := t.now.Add(t.s.Policy.Lease)
	if lapse.After(lease.Expiry) {
		lease.Expiry = lapse
		t.putLease(worker, lease)
	}
}

// checkWorkers asks held workers for reports and declares tasks lost whose
// last possible lease has lapsed by more than two clocks can differ.
func (t *step) checkWorkers() {
	for _, worker := range t.s.ReportsDue.Due(t.now) {
		w, _ := t.s.Workers.Get(worker)
		t.s.ReportsDue = t.s.ReportsDue.With(t.now.Add(t.s.Policy.Lease/renewalsPerLease), worker)
		t.emit(Ask{Worker: worker, Address: w.Instance.Address})
	}
	var records []Record
	for _, worker := range t.s.WorkerExpiries.Due(t.now) {
		t.s.WorkerExpiries = t.s.WorkerExpiries.With(t.now.Add(appendRetryDelay), worker)
		records = append(records, t.loseTasks(worker)...)
	}
	for _, task := range t.s.MissingTasks.Due(t.now) {
		t.s.MissingTasks = t.s.MissingTasks.With(t.now.Add(appendRetryDelay), task)
		records = append(records, t.loseTask(itemOf(task), task)...)
	}
	if len(records) > 0 {
		t.emit(Append{Stream: ZoneStream(t.s.Self.Zone), Records: records})
	}
	t.releaseStaleReservations()
}

func (t *step) loseTasks(worker string) []Record {
	var records []Record
	tasks, _ := t.s.Tasks.Get(worker)
	for task, item := range tasks.All() {
		records = append(records, t.loseTask(item, task)...)
	}
	return records
}

// loseTask returns the record that a task is lost, unless its worker has told
// how it ended or the ownership of the worker is not recorded yet.
func (t *step) loseTask(item, task string) []Record {
	i, _ := t.s.Items.Get(item)
	index := i.taskIndex(task)
	if index < 0 || i.Placed[index].Reported != "" {
		return nil
	}
	hold, _ := t.s.Holds.Get(WorkerResource(i.Placed[index].Worker))
	if !hold.Recorded {
		return nil
	}
	return []Record{FinishRecord{Item: item, Task: task, End: EndLost, Why: "its lease lapsed"}}
}

// itemOf returns the item in the name of a task.
func itemOf(task string) string {
	for range 2 {
		task = task[:max(0, strings.LastIndexByte(task, '.'))]
	}
	return task
}

// releaseStaleReservations gives back what starts that were not read back have reserved.
func (t *step) releaseStaleReservations() {
	for id, since := range t.s.Reserved.All() {
		if t.now.Sub(since) < appendRetryDelay {
			continue
		}
		i, _ := t.s.Items.Get(id)
		t.unreserve(i)
	}
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

var _ Event = WorkerReported{}
