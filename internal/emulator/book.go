package emulator

import (
	"maps"
	"sync"
)

// Book is the common record of stand-ins: which requests ran how often, and
// which tasks ran where. The zero value is empty.
type Book struct {
	mu      sync.Mutex
	ran     map[string]int
	running map[string]int // by item and member
	doubled int
	ended   map[string]int // by item, members that ended well
	over    int
}

// Ran records that a server began a request.
func (b *Book) Ran(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ran == nil {
		b.ran = map[string]int{}
	}
	b.ran[id]++
}

// Requests returns how often each request ran.
func (b *Book) Requests() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.ran)
}

// begin records that a worker started a member of an item.
func (b *Book) begin(member string) {
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

// end records that a member does not run any more.
func (b *Book) end(item, member string, well bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running[member]--
	if !well {
		return
	}
	if b.ended == nil {
		b.ended = map[string]int{}
	}
	b.ended[member]++
	if b.ended[member] > 1 {
		b.doubled++
	}
	b.ended[item+" members"]++
}

// exceed records that a worker was given more than it has.
func (b *Book) exceed() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.over++
}

// Tasks returns how often a member ran in two places or ended well twice, and
// how often a worker was given more than it has.
func (b *Book) Tasks() (doubled, over int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.doubled, b.over
}

// Ended returns how many members of an item ended well.
func (b *Book) Ended(item string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ended[item+" members"]
}
