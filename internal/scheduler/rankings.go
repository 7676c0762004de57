package scheduler

import "strings"

// The methods in this file are the only ones that change holds, servers and
// workers, so that the rankings by free capacity always match them.

// Weights in the score of a server: a failure to connect counts for more than a
// lost slot, and a lost slot for more than all slots busy.
const (
	failureWeight = 1 << 40
	lossWeight    = 1 << 30
	busyScale     = 1 << 20
	// maxRankedFailures is less than what a score has room for: each request that
	// finds a server away counts.
	maxRankedFailures = 1 << 20
)

func (t *step) setHold(resource string, h Hold) {
	t.s.Holds = t.s.Holds.With(resource, h)
	t.rerank(resource)
}

func (t *step) dropHold(resource string) {
	t.s.Holds = t.s.Holds.Without(resource)
	t.rerank(resource)
}

func (t *step) putServer(name string, v Server) {
	t.s.Servers = t.s.Servers.With(name, v)
	t.rankServer(name, v)
}

func (t *step) putWorker(name string, w Worker) {
	t.s.Workers = t.s.Workers.With(name, w)
	t.rankWorker(name, w)
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

// rerank updates the position of a resource in its ranking.
func (t *step) rerank(resource string) {
	if name, ok := strings.CutPrefix(resource, serverPrefix); ok {
		v, _ := t.s.Servers.Get(name)
		t.rankServer(name, v)
	}
	if name, ok := strings.CutPrefix(resource, workerPrefix); ok {
		w, _ := t.s.Workers.Get(name)
		t.rankWorker(name, w)
	}
}

// rankServer ranks a held server that takes work and has a free slot: servers
// that could be reached before others, then those without a lost slot, then
// those with the smallest share of busy slots.
func (t *step) rankServer(name string, v Server) {
	if !t.s.HoldsServer(name) || v.Free() == 0 || !t.s.takesWork(v.Instance, v.Gone) {
		t.s.FreeServers = t.s.FreeServers.Without(name)
		return
	}
	score := int64(v.Busy) * busyScale / int64(v.Instance.Slots)
	if v.Lost > 0 {
		score += lossWeight
	}
	t.s.FreeServers = t.s.FreeServers.With(name, score+min(int64(v.Failures), maxRankedFailures)*failureWeight)
}

// rankWorker ranks a worker whose ownership is recorded and that takes work by
// its free CPU.
func (t *step) rankWorker(name string, w Worker) {
	hold, _ := t.s.Holds.Get(WorkerResource(name))
	if !hold.Recorded || !t.s.takesWork(w.Instance, w.Gone) {
		t.s.FreeWorkers = t.s.FreeWorkers.Without(name)
		return
	}
	t.s.FreeWorkers = t.s.FreeWorkers.With(name, w.Free().CPU)
}

// rerankMarked updates the rankings of instances whose marks may have changed.
func (t *step) rerankMarked(marks map[string]Mark) {
	for _, name := range sortedKeys(marks) {
		t.rerank(ServerResource(name))
		t.rerank(WorkerResource(name))
	}
}
