// Package closer closes the idle connections of an HTTP server that shuts down,
// without losing a request that has arrived but has not been read yet. The
// server's own Shutdown closes an idle connection even if it has unread data; on
// an instance with little processor time a request may stay unread for a while.
package closer

import (
	"net"
	"net/http"
	"sync"
	"syscall"
)

// Closer tracks the open connections of a server. The zero value is ready to use:
// set the server's ConnState to Track.
type Closer struct {
	mu   sync.Mutex
	open map[net.Conn]http.ConnState
}

// Track records the state of a connection.
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

// Open returns the number of open connections.
func (c *Closer) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// CloseIdle closes the connections on which no request is being served and no
// data is unread. A connection that has had no request yet stays open, since its
// first one is expected.
func (c *Closer) CloseIdle() {
	for _, conn := range c.idle() {
		if !hasUnread(conn) {
			_ = conn.Close() // the server notices this by its pending read
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

// hasUnread reports whether the socket of a connection has unread data. A
// connection whose socket can't be inspected counts as having none.
func hasUnread(conn net.Conn) bool {
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
		n, _, _ = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT) // an error means that there is no data
	})
	return err == nil && n > 0
}
