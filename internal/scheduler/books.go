package scheduler

import "strings"

// The setters in this file are the only ones to change holds and the books of
// servers and workers, so that the rankings by free capacity are always true.

const (
	failureWeight = 1 << 40
	lossWeight    = 1 << 30
	fullBusy      = 1 << 20
)

func (t *step) setHold(resource string, h Hold) {
	t.s.Holds = t.s.Holds.With(resource, h)
	t.index(resource)
}

func (t *step) dropHold(resource string) {
	t.s.Holds = t.s.Holds.Without(resource)
	t.index(resource)
}

func (t *step) putServer(name string, v Server) {
	t.s.Servers = t.s.Servers.With(name, v)
	t.indexServer(name, v)
}

func (t *step) putWorker(name string, w Worker) {
	t.s.Workers = t.s.Workers.With(name, w)
	t.indexWorker(name, w)
}

func (t *step) changeServer(name string, change func(Server) Server) {
	if v, ok := t.s.Servers.Get(name); ok {
		t.putServer(name, change(v))
	}
}

func (t *step) changeWorker(name string, change func(Worker) Worker) {
	w, _ := t.s.Workers.Get(name)
	t.putWorker(name, change(w))
}

// index brings the place of a resource in the rankings up to date.
func (t *step) index(resource string) {
	if name, ok := strings.CutPrefix(resource, serverPrefix); ok {
		v, _ := t.s.Servers.Get(name)
		t.indexServer(name, v)
	}
	if name, ok := strings.CutPrefix(resource, workerPrefix); ok {
		w, _ := t.s.Workers.Get(name)
		t.indexWorker(name, w)
	}
}

// indexServer ranks a held server that takes work and has a free slot: servers
// that could be reached before others, then those without a lost slot, then
// those with the smallest share of busy slots.
func (t *step) indexServer(name string, v Server) {
	if !t.s.HoldsServer(name) || v.Free() == 0 || !t.s.takesWork(v.Instance, v.Gone) {
		t.s.Open = t.s.Open.Without(name)
		return
	}
	score := int64(v.Busy) * fullBusy / int64(v.Instance.Slots)
	if v.Lost > 0 {
		score += lossWeight
	}
	t.s.Open = t.s.Open.With(name, score+int64(v.Failures)*failureWeight)
}

// indexWorker ranks a worker whose ownership is recorded and that takes work
// by its free processors.
func (t *step) indexWorker(name string, w Worker) {
	hold, _ := t.s.Holds.Get(WorkerResource(name))
	if !hold.Recorded || !t.s.takesWork(w.Instance, w.Gone) {
		t.s.Room = t.s.Room.Without(name)
		return
	}
	t.s.Room = t.s.Room.With(name, w.Free().CPU)
}

// indexMarked brings instances up to date whose marks may have changed.
func (t *step) indexMarked(marks map[string]Mark) {
	for _, name := range sortedKeys(marks) {
		t.index(ServerResource(name))
		t.index(WorkerResource(name))
	}
}
