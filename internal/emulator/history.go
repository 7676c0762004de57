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
func (b *History) RecordRequest(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.requests == nil {
		b.requests = map[string]int{}
	}
	b.requests[id]++
}

// Requests returns how often each request ran.
func (b *History) Requests() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.requests)
}

// startTask records that a worker started a task of a member.
func (b *History) startTask(member string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.running == nil {
		b.running = map[string]int{}
	}
	b.running[member]++
	if b.running[member] > 1 {
		b.doubled++
	}
}

// endTask records that a task of a member ended on a worker.
func (b *History) endTask(item, member string, succeeded bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running[member]--
	if !succeeded {
		return
	}
	if b.succeeded == nil {
		b.succeeded = map[string]int{}
	}
	b.succeeded[member]++
	if b.succeeded[member] > 1 {
		b.doubled++
	}
	b.succeeded[item+" members"]++
}

// overcommit records that a worker's tasks exceeded its capacity.
func (b *History) overcommit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.overcommitted++
}

// TaskViolations returns how often a member ran in two places at once or succeeded twice,
// and how often a worker's capacity was exceeded.
func (b *History) TaskViolations() (doubled, overcommitted int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.doubled, b.overcommitted
}

// Succeeded returns how many members of an item have succeeded.
func (b *History) Succeeded(item string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.succeeded[item+" members"]
}
