package emulator

import (
	"maps"
	"sync"
)

// History is the record that backends and workers share: how often each request
// and each member of an item ran. The zero value is empty.
type History struct {
	mu            sync.Mutex
	requests      map[string]int // runs by request identifier
	running       map[string]int // concurrent runs by item and member
	doubled       int
	succeeded     map[string]int // successful runs by item and member, and their sum by item
	overcommitted int
}

// RecordRequest records that a server started a request.
func (h *History) RecordRequest(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.requests == nil {
		h.requests = map[string]int{}
	}
	h.requests[id]++
}

// Requests returns how often each request ran.
func (h *History) Requests() map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return maps.Clone(h.requests)
}

// startTask records that a worker started a task of a member.
func (h *History) startTask(member string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.running == nil {
		h.running = map[string]int{}
	}
	h.running[member]++
	if h.running[member] > 1 {
		h.doubled++
	}
}

// endTask records that a task of a member ended on a worker.
func (h *History) endTask(item, member string, succeeded bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.running[member]--
	if !succeeded {
		return
	}
	if h.succeeded == nil {
		h.succeeded = map[string]int{}
	}
	h.succeeded[member]++
	if h.succeeded[member] > 1 {
		h.doubled++
	}
	h.succeeded[item+" members"]++
}

// overcommit records that a worker's tasks exceeded its capacity.
func (h *History) overcommit() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.overcommitted++
}

// TaskViolations returns how often a member ran in two places at once or succeeded twice,
// and how often a worker's capacity was exceeded.
func (h *History) TaskViolations() (doubled, overcommitted int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.doubled, h.overcommitted
}

// Succeeded returns how many members of an item have succeeded.
func (h *History) Succeeded(item string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.succeeded[item+" members"]
}
