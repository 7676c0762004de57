// Package closer closes the idle connections of an HTTP server that stops,
// without cutting off a request that has arrived and was not read yet. The
// server's own Shutdown closes an idle connection whatever waits in it; on an
// instance with little processor time a request may wait there for a while.
package closer

import (
	"net"
	"net/http"
	"sync"
	"syscall"
)

// Closer knows which connections of a server are open. The zero value works:
// use Track as the server's ConnState.
type Closer struct {
	mu   sync.Mutex
	open map[net.Conn]http.ConnState
}

// Track takes note of the state of a connection.
func (c *Closer) Track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(c.open, conn)
	default:
		if c.open == nil {
			c.open = map[net.Conn]http.ConnState{}
		}
		c.open[conn] = state
	}
}

// Open returns how many connections are open.
func (c *Closer) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// CloseIdle closes the connections on which no request is answered and none
// waits to be read. A connection that has had no request yet stays open: its
// first one is on the way.
func (c *Closer) CloseIdle() {
	for _, conn := range c.idle() {
		if !unread(conn) {
			_ = conn.Close() // the server takes note of it by its own read
		}
	}
}

func (c *Closer) idle() []net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var idle []net.Conn
	for conn, state := range c.open {
		if state == http.StateIdle {
			idle = append(idle, conn)
		}
	}
	return idle
}

// unread reports whether bytes wait in a connection. One that cannot be looked
// into counts as having none.
func unread(conn net.Conn) bool {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	access, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = access.Control(func(fd uintptr) {
		var b [1]byte
		n, _, _ = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT) // an error means that nothing waits
	})
	return err == nil && n > 0
}
