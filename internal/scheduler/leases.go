package scheduler

import (
	"maps"
	"slices"
	"time"
)

const (
	// renewalsPerLease is how often a lease is renewed within its length.
	renewalsPerLease = 4
	// silentLeases is for how many leases a listed worker may be silent until a task
	// counts as lost that may have ended well in time. A worker that is only slow to
	// report then still tells that it has, and the task is not run again.
	silentLeases = 4
)

// Lease is what the owner of a worker knows of the leases of its tasks. None of
// them is in force after Expiry, except those of tasks that State.MissingTasks
// holds with a later time.
type Lease struct {
	Heard  time.Time // when the worker last reported
	Expiry time.Time
}

// TaskEnd is the end of a task as reported by its worker.
type TaskEnd struct {
	Task string
	End  End
	Why  string
}

// WorkerReported reports which tasks a worker runs and which have ended there.
type WorkerReported struct {
	Worker  string
	Running []string
	Ended   []TaskEnd
	Sent    time.Time // when the worker was asked; zero for the time of the event
}

func (e WorkerReported) apply(t *step) {
	if !t.s.Holds.Has(WorkerResource(e.Worker)) {
		return
	}
	reported := make(map[string]bool, len(e.Running)+len(e.Ended))
	t.reportEnded(e, reported)
	t.renewRunning(e, reported)
	t.trackMissing(e, reported)
	lease, _ := t.s.Leases.Get(e.Worker)
	lease.Heard = t.now
	lease.Expiry = t.now.Add(t.s.Policy.Lease)
	t.putLease(e.Worker, lease)
}

// putLease stores a lease and the time at which the tasks of the worker count
// as lost if it does not report.
func (t *step) putLease(worker string, lease Lease) {
	t.s.Leases = t.s.Leases.With(worker, lease)
	t.s.WorkerExpiries = t.s.WorkerExpiries.With(lease.Expiry.Add(t.s.Policy.Drift), worker)
}

// reportEnded appends finish records for the tasks that a worker reports as
// ended.
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

// setReported stores the end that a worker reported for a task, so that the task
// is not declared lost while the log is slow to take the record.
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

// renewRunning renews the leases of the running tasks that are to continue and
// halts the others.
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

// trackMissing declares the tasks lost that a worker does not report although it was
// asked when they could no longer start there, and stores that time for others that it
// does not report: the launch of a task may be in transit, and so may be a report from
// before it.
func (t *step) trackMissing(e WorkerReported, reported map[string]bool) {
	sent := e.Sent
	if sent.IsZero() {
		sent = t.now
	}
	lease, _ := t.s.Leases.Get(e.Worker)
	tasks, _ := t.s.Tasks.Get(e.Worker)
	var records []Record
	for task, item := range tasks.All() {
		over, missing := t.s.MissingTasks.Time(task)
		switch {
		case reported[task] && missing:
			t.s.MissingTasks = t.s.MissingTasks.Without(task)
		case !reported[task] && !missing:
			t.s.MissingTasks = t.s.MissingTasks.With(lease.Expiry.Add(t.s.Policy.Drift), task)
		case !reported[task] && !sent.Before(over):
			t.s.MissingTasks = t.s.MissingTasks.With(t.now.Add(appendRetryDelay), task)
			records = append(records, t.loseTask(item, task)...)
		}
	}
	if len(records) > 0 {
		t.emit(Append{Stream: ZoneStream(t.s.Self.Zone), Records: records})
	}
}

// beginLeases starts tracking the leases on a worker of which this entry became
// the owner. An earlier owner may have renewed them until now.
func (t *step) beginLeases(worker string) {
	t.putLease(worker, Lease{Expiry: t.now.Add(t.s.Policy.Lease)})
	t.s.ReportsDue = t.s.ReportsDue.With(t.now, worker)
}

// endLeases stops tracking the leases on a worker that this entry no longer owns.
func (t *step) endLeases(worker string) {
	t.s.Leases = t.s.Leases.Without(worker)
	t.s.WorkerExpiries = t.s.WorkerExpiries.Without(worker)
	t.s.ReportsDue = t.s.ReportsDue.Without(worker)
	tasks, _ := t.s.Tasks.Get(worker)
	for task := range tasks.All() {
		t.s.MissingTasks = t.s.MissingTasks.Without(task)
	}
}

// extendLease moves the expiry of a worker's leases for a task that starts now.
func (t *step) extendLease(worker string) {
	lease, ok := t.s.Leases.Get(worker)
	if !ok {
		return
	}
	expiry := t.now.Add(t.s.Policy.Lease)
	if expiry.After(lease.Expiry) {
		lease.Expiry = expiry
		t.putLease(worker, lease)
	}
}

// checkWorkers asks held workers for reports and declares tasks lost whose last
// possible lease expired longer ago than two clocks can differ.
func (t *step) checkWorkers() {
	for _, worker := range t.s.ReportsDue.Due(t.now) {
		w, _ := t.s.Workers.Get(worker)
		t.s.ReportsDue = t.s.ReportsDue.With(t.now.Add(t.s.Policy.Lease/renewalsPerLease), worker)
		t.emit(PollWorker{Worker: worker, Address: w.Instance.Address})
	}
	var records []Record
	for _, worker := range t.s.WorkerExpiries.Due(t.now) {
		t.s.WorkerExpiries = t.s.WorkerExpiries.With(t.now.Add(appendRetryDelay), worker)
		records = append(records, t.loseTasks(worker)...)
	}
	if len(records) > 0 {
		t.emit(Append{Stream: ZoneStream(t.s.Self.Zone), Records: records})
	}
	t.releaseStaleReservations()
}

// loseTasks returns the records that the tasks of a worker are lost.
func (t *step) loseTasks(worker string) []Record {
	var records []Record
	tasks, _ := t.s.Tasks.Get(worker)
	for task, item := range tasks.All() {
		if !t.awaitsEnd(worker, item, task) {
			records = append(records, t.loseTask(item, task)...)
		}
	}
	return records
}

// awaitsEnd reports whether a task of a silent worker may have ended well, and the
// worker may still report that.
func (t *step) awaitsEnd(worker, item, task string) bool {
	w, _ := t.s.Workers.Get(worker)
	lease, _ := t.s.Leases.Get(worker)
	i, _ := t.s.Items.Get(item)
	index := i.taskIndex(task)
	silence := t.now.Sub(lease.Expiry) - t.s.Policy.Drift + t.s.Policy.Lease
	return !w.Gone && index >= 0 && i.MayHaveEnded(index, lease.Expiry) && silence < silentLeases*t.s.Policy.Lease
}

// loseTask returns the record that a task is lost, or none if its worker has
// reported its end or the ownership of the worker is not recorded yet.
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

// releaseStaleReservations releases the reservations of starts that were not
// read back within appendRetryDelay.
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
