package main

import (
	"os/exec"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// graceTime is how long an entry may take to stop.
	graceTime = 6 * time.Second
	// calmBefore is how long nothing unplanned may have happened to an entry for the requests
	// that it cuts to count.
	calmBefore = 3 * time.Second
)

// process is an entry that may be stopped and started again.
type process struct {
	path  string         // of its settings
	group errgroup.Group // waits for the command

	mu        sync.Mutex
	command   *exec.Cmd
	ended     chan struct{} // closed when the command has ended
	expected  bool          // its end is asked for
	termAt    time.Time     // when it was last asked to stop
	disturbed time.Time     // when it was last killed, paused or started
	ownEnds   int           // times that it has ended by itself
}

// start starts the process, unless it runs.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		return nil
	}
	command, err := spawn(p.path)
	if err != nil {
		return err
	}
	p.command, p.ended, p.expected, p.disturbed = command, make(chan struct{}), false, time.Now()
	ended := p.ended
	p.group.Go(func() error {
		_ = command.Wait()
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.expected {
			p.ownEnds++
		}
		p.command = nil
		close(ended)
		return nil
	})
	return nil
}

// runs reports whether the process runs and isn't asked to end.
func (p *process) runs() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command != nil && !p.expected
}

// signal sends a signal. It returns what is closed at the end of the process, or nil if
// there is none.
func (p *process) signal(sig syscall.Signal) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return nil
	}
	switch sig {
	case syscall.SIGTERM:
		p.expected, p.termAt = true, time.Now()
	case syscall.SIGKILL:
		p.expected, p.disturbed = true, time.Now()
	case syscall.SIGSTOP, syscall.SIGCONT:
		p.disturbed = time.Now()
	}
	_ = p.command.Process.Signal(sig)
	return p.ended
}

// stop asks the process to stop and kills it after the grace time. It reports whether the
// process has ended by then.
func (p *process) stop() bool {
	ended := p.signal(syscall.SIGTERM)
	if ended == nil {
		return true
	}
	select {
	case <-ended:
		return true
	case <-time.After(graceTime):
		p.kill()
		return false
	}
}

// kill kills the process and waits for its end.
func (p *process) kill() {
	if ended := p.signal(syscall.SIGKILL); ended != nil {
		<-ended
	}
}

// cutsRequests reports whether a request that ends without an answer now counts: the
// process was asked to stop lately, and nothing else happened to it.
func (p *process) cutsRequests(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.termAt) < graceTime && now.Sub(p.disturbed) > calmBefore && p.termAt.After(p.disturbed)
}
