package scheduler_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/endivelock/endivelock/internal/scheduler"
)

// executeOnWorker carries out the effects that concern workers.
func (cl *cluster) executeOnWorker(self scheduler.EntryID, effect scheduler.Effect) {
	switch e := effect.(type) {
	case scheduler.Launch:
		cl.launch(e)
	case scheduler.Renew:
		for _, wt := range cl.tasks {
			if wt.worker == e.Worker && wt.end == "" && slices.Contains(e.Tasks, wt.task.ID) && e.Expiry.After(wt.expiry) {
				wt.expiry = e.Expiry
			}
		}
	case scheduler.Halt:
		for _, wt := range cl.tasks {
			if wt.worker == e.Worker && wt.end == "" && wt.task.ID == e.Task {
				cl.endTask(wt, scheduler.EndHalted)
			}
		}
	case scheduler.PollWorker:
		cl.send(self, cl.report(e.Worker))
	}
}

func (cl *cluster) launch(e scheduler.Launch) {
	if !cl.now.Before(e.Expiry) {
		return
	}
	for _, task := range e.Tasks {
		if slices.ContainsFunc(cl.tasks, func(wt *workerTask) bool { return wt.worker == e.Worker && wt.task.ID == task.ID }) {
			continue
		}
		wt := &workerTask{task: task, worker: e.Worker, expiry: e.Expiry}
		if task.Run > 0 {
			wt.done = cl.now.Add(task.Run)
		}
		cl.tasks = append(cl.tasks, wt)
		cl.oracle.taskStarted(member(task), strings.HasSuffix(task.Item, "once"), cl.usedOn(e.Worker))
	}
}

// member returns the name of a task's member of its item, the same for every
// attempt.
func member(t scheduler.Task) string {
	parts := strings.Split(t.ID, ".")
	return t.Item + "/" + parts[len(parts)-1]
}

func (cl *cluster) usedOn(worker string) int64 {
	used := int64(0)
	for _, wt := range cl.tasks {
		if wt.worker == worker && wt.end == "" {
			used += wt.task.Size.CPU
		}
	}
	return used
}

func (cl *cluster) endTask(wt *workerTask, end scheduler.End) {
	wt.end = end
	cl.oracle.taskEnded(member(wt.task), end)
}

func (cl *cluster) report(worker string) scheduler.WorkerReported {
	e := scheduler.WorkerReported{Worker: worker, Sent: cl.now}
	for _, wt := range cl.tasks {
		switch {
		case wt.worker != worker:
		case wt.end == "":
			e.Running = append(e.Running, wt.task.ID)
		default:
			e.Ended = append(e.Ended, scheduler.TaskEnd{Task: wt.task.ID, End: wt.end})
		}
	}
	return e
}

// advance moves the clock and ends the requests and tasks that are due.
func (cl *cluster) advance(d time.Duration) {
	cl.now = cl.now.Add(d)
	for i := len(cl.exchanges) - 1; i >= 0; i-- {
		if !cl.now.Before(cl.exchanges[i].ends) {
			cl.finishExchange(i)
		}
	}
	for _, wt := range cl.tasks {
		switch {
		case wt.end != "":
		case !wt.done.IsZero() && !cl.now.Before(wt.done) && !wt.expiry.Before(wt.done):
			cl.endTask(wt, scheduler.EndSucceeded)
		case !cl.now.Before(wt.expiry):
			cl.endTask(wt, scheduler.EndHalted)
		}
	}
}

func (cl *cluster) submit() {
	cl.serial++
	work := scheduler.Work{ID: fmt.Sprint("i", cl.serial), Kind: scheduler.ItemDeferred, Plan: "p", Members: 1, Size: scheduler.Size{CPU: 1}, Run: time.Second}
	switch cl.choose(3) {
	case 0:
		work.Kind, work.Members = scheduler.ItemGang, 3
	case 1:
		work.Kind, work.Run = scheduler.ItemService, 0
	default:
		work.AtMostOnce = cl.choose(2) == 0
	}
	if work.AtMostOnce {
		work.ID += "once"
	}
	cl.batches = append(cl.batches, batch{scheduler.ZoneStream("z"), []scheduler.Record{scheduler.SubmitRecord{Work: work}}})
	cl.oracle.submitted = append(cl.oracle.submitted, work.ID)
}

func (cl *cluster) cancel() {
	if len(cl.oracle.submitted) == 0 {
		return
	}
	id := cl.oracle.submitted[cl.choose(len(cl.oracle.submitted))]
	cl.batches = append(cl.batches, batch{scheduler.ZoneStream("z"), []scheduler.Record{scheduler.CancelRecord{Item: id}}})
}
