package scheduler

import (
	"maps"
	"slices"
	"time"
)

// renewShare is the part of a lease after which it is renewed.
const renewShare = 4

// Lease is what the owner of a worker keeps about its leases there.
type Lease struct {
	Heard time.Time // when the worker last reported
	Asked time.Time // when it was last asked for a report
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
	lease, _ := t.s.Leases.Get(e.Worker)
	lease.Heard = t.now
	t.s.Leases = t.s.Leases.With(e.Worker, lease)
	t.reportEnded(e)
	t.renewRunning(e)
}

func (t *step) reportEnded(e WorkerReported) {
	tasks, _ := t.s.Tasks.Get(e.Worker)
	var records []Record
	for _, end := range e.Ended {
		item, ok := tasks.Get(end.Task)
		if ok {
			t.setTold(item, end)
			records = append(records, FinishRecord{Item: item, Task: end.Task, End: end.End, Why: end.Why})
		}
	}
	if len(records) > 0 {
		t.emit(Append{Stream: ZoneStream(t.s.Self.Zone), Records: records})
	}
}

// setTold keeps what a worker said of a task, so that it is not declared lost
// while the log is slow to take the record.
func (t *step) setTold(item string, end TaskEnd) {
	i, _ := t.s.Items.Get(item)
	index := i.index(end.Task)
	if index < 0 {
		return
	}
	p := i.Placed[index]
	p.Told = end.End
	t.putItem(i.WithPlacement(index, p))
}

// renewRunning extends the leases of the tasks that the worker runs and that
// are to go on, and halts the others.
func (t *step) renewRunning(e WorkerReported) {
	tasks, _ := t.s.Tasks.Get(e.Worker)
	w, _ := t.s.Workers.Get(e.Worker)
	expiry := t.now.Add(t.s.Policy.Lease)
	var renew []string
	for _, task := range e.Running {
		item, ok := tasks.Get(task)
		i, _ := t.s.Items.Get(item)
		if !ok || i.Phase != ItemRunning {
			t.emit(Halt{Worker: e.Worker, Address: w.Instance.Address, Task: task})
			continue
		}
		renew = append(renew, task)
		t.extendLapse(i, task, expiry)
	}
	if len(renew) > 0 {
		t.emit(Renew{Worker: e.Worker, Address: w.Instance.Address, Tasks: renew, Expiry: expiry})
	}
}

func (t *step) extendLapse(i Item, task string, lapse time.Time) {
	index := i.index(task)
	if index < 0 {
		return
	}
	p := i.Placed[index]
	p.Lapse = lapse
	t.putItem(i.WithPlacement(index, p))
}

// extendLapses notes that leases on a worker may be in force until a time.
func (t *step) extendLapses(worker string, lapse time.Time) {
	tasks, _ := t.s.Tasks.Get(worker)
	for task, item := range tasks.All() {
		i, _ := t.s.Items.Get(item)
		t.extendLapse(i, task, lapse)
	}
}

// watchWorkers asks held workers for a report and declares tasks lost whose
// last possible lease has lapsed by more than two clocks can differ.
func (t *step) watchWorkers() {
	for name, w := range t.s.Workers.All() {
		hold, ok := t.s.Holds.Get(WorkerResource(name))
		if !ok {
			continue
		}
		lease, _ := t.s.Leases.Get(name)
		if t.now.Sub(lease.Asked) >= t.s.Policy.Lease/renewShare {
			lease.Asked = t.now
			t.s.Leases = t.s.Leases.With(name, lease)
			t.emit(Ask{Worker: name, Address: w.Instance.Address})
		}
		if hold.Recorded {
			t.loseTasks(name)
		}
	}
	t.retryReserved()
}

func (t *step) loseTasks(worker string) {
	tasks, _ := t.s.Tasks.Get(worker)
	var records []Record
	for task, item := range tasks.All() {
		i, _ := t.s.Items.Get(item)
		index := i.index(task)
		if index < 0 || i.Placed[index].Told != "" {
			continue
		}
		lapse := i.Placed[index].Lapse
		if t.now.Before(lapse.Add(t.s.Policy.Drift)) {
			continue
		}
		t.extendLapse(i, task, t.now.Add(askPause))
		records = append(records, FinishRecord{Item: item, Task: task, End: EndLost, Why: "its lease lapsed"})
	}
	if len(records) > 0 {
		t.emit(Append{Stream: ZoneStream(t.s.Self.Zone), Records: records})
	}
}

// retryReserved repeats the append of starts that were not read back.
func (t *step) retryReserved() {
	for id, since := range t.s.Reserved.All() {
		if t.now.Sub(since) < askPause {
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
