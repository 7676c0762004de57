// Package launcher runs functions in a bounded number of goroutines. Launch never waits, so that
// it may be called on the control thread; what is beyond the bound waits in a queue.
package launcher

import (
	"sync"

	"golang.org/x/sync/errgroup"
)

// Launcher runs functions, each under a key. The zero value runs one at a time.
type Launcher struct {
	Limit int // functions that run at a time, 0 for 1

	mu      sync.Mutex
	group   errgroup.Group
	queue   []task
	pending map[string]bool // keys of the functions that wait or run
	running int
}

type task struct {
	key string
	run func()
}

// Launch runs a function as soon as there is room, unless one with its key waits or runs.
func (l *Launcher) Launch(key string, run func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pending[key] {
		return
	}
	if l.pending == nil {
		l.pending = map[string]bool{}
	}
	l.pending[key] = true
	l.queue = append(l.queue, task{key, run})
	if l.running >= max(l.Limit, 1) {
		return
	}
	l.running++
	l.group.Go(func() error {
		for t, ok := l.next(); ok; t, ok = l.next() {
			t.run()
			l.done(t)
		}
		return nil
	})
}

// next returns the function to run next. If there is none, the goroutine ends.
func (l *Launcher) next() (task, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queue) == 0 {
		l.running--
		return task{}, false
	}
	t := l.queue[0]
	l.queue = l.queue[1:]
	return t, true
}

func (l *Launcher) done(t task) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, t.key)
}

// Waiting returns the number of functions that wait.
func (l *Launcher) Waiting() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue)
}

// Wait returns once all functions have run. Launch must not be called any more.
func (l *Launcher) Wait() { _ = l.group.Wait() }
