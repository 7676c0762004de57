package limiter

import (
	"bytes"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// tooLarge answers a head over the limit.
const tooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n431 Request Header Fields Too Large"

// conn is an accepted connection.
type conn struct {
	net.Conn
	listener *Listener
	account  account   // guarded by the limiter's mutex, like the fields below
	due      time.Time // deadline for the body that is set
	timed    bool      // a limit ends the next read, and it has not been looked at again
	released bool
}

// SyscallConn returns the socket, which package closer inspects.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	if s, ok := c.Conn.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, errors.New("the connection has no socket")
}

// CloseWrite closes the sending side. A connection that was told to close is closed at once, since the server would
// wait for its client.
func (c *conn) CloseWrite() error {
	l := c.listener.limiter
	l.mu.Lock()
	leaving := c.account.leaving
	l.mu.Unlock()
	if leaving {
		return c.Close()
	}
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// enter begins a phase.
func (c *conn) enter(p phase) {
	l := c.listener.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	c.begin(p, time.Now())
}

// begin begins a phase. The caller holds limiter.mu.
func (c *conn) begin(p phase, now time.Time) {
	if c.account.leaving || c.account.phase == p {
		return
	}
	c.listener.limiter.update(c, c.account.withPhase(p, now))
	if p != deciding && p != answering && c.listener.open > c.listener.most {
		c.listener.room.Signal()
	}
	switch p {
	case inBody:
		c.due = c.bodyDeadline()
		c.timed = true
		_ = c.Conn.SetReadDeadline(c.due)
	case deciding:
		c.timed = false
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
}

// bodyDeadline returns when the time for the body ends. The caller holds limiter.mu.
func (c *conn) bodyDeadline() time.Time {
	if c.listener.relays && !c.account.patience.IsZero() {
		return c.account.patience
	}
	return c.account.bodyDeadline()
}

// SetReadDeadline sets the deadline of the server. A time to come stands for the limit of the phase, but while a body
// arrives it is a handler's, the time until which the client waits. No deadline then stands for that of the body.
func (c *conn) SetReadDeadline(t time.Time) error {
	l := c.listener.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if c.account.leaving {
		return nil
	}
	c.timed = t.After(now) || c.account.phase == inBody && t.IsZero()
	switch {
	case c.account.phase == inBody && (t.IsZero() || t.After(now)):
		if !t.IsZero() {
			l.update(c, c.account.withPatience(t))
		}
		c.due = c.bodyDeadline()
		t = c.due
	case c.account.phase == inHead && t.After(now):
		t = now.Add(c.listener.limits().HeadTimeout() + slack)
	case c.account.phase == idle && t.After(now):
		t = now.Add(c.listener.limits().IdleTimeout() + slack)
	}
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline sets the deadline of the server, which lifts it after each response. That of a connection that was
// told to close stays.
func (c *conn) SetWriteDeadline(t time.Time) error {
	l := c.listener.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.account.leaving {
		return nil
	}
	return c.Conn.SetWriteDeadline(t)
}

// lookAgain reports whether a limit has ended a read, and allows another read to find what had arrived by then.
func (c *conn) lookAgain() bool {
	l := c.listener.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.account.leaving || !c.timed {
		return false
	}
	c.timed = false
	return c.Conn.SetReadDeadline(time.Now().Add(secondLook)) == nil
}

// Read reads and counts what arrives.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.lookAgain() {
		n, err = c.Conn.Read(p)
	}
	if n == 0 {
		return n, err
	}
	over, gone := c.count(p[:n])
	switch {
	case over:
		c.refuseHead()
		return 0, os.ErrDeadlineExceeded
	case gone:
		return 0, os.ErrDeadlineExceeded
	}
	return n, err
}

// count counts bytes that arrived. It reports whether a head is over its limit, and whether the connection
// had to go.
func (c *conn) count(p []byte) (over, gone bool) {
	l := c.listener.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.account.phase == idle {
		l.update(c, c.account.withPhase(inHead, time.Now()))
	}
	l.update(c, c.account.withReceived(int64(len(p))))
	switch c.account.phase {
	case inHead:
		if c.account.received > c.listener.limits().HeadBytes()+headSlop {
			l.refuse(ReasonHead)
			return true, false
		}
		return false, !l.hold(c, int64(len(p)+fieldBytes*bytes.Count(p, []byte{'\n'})), time.Now())
	case inBody:
		if due := c.bodyDeadline(); !c.account.leaving && due.Sub(c.due) > time.Second {
			c.due, c.timed = due, true
			_ = c.Conn.SetReadDeadline(due)
		}
	}
	return false, false
}

// refuseHead answers a head over the limit and reads on for a short time, so that the client gets the answer.
func (c *conn) refuseHead() {
	deadline := time.Now().Add(partingTime)
	if c.Conn.SetDeadline(deadline) != nil {
		return
	}
	if _, err := io.WriteString(c.Conn, tooLarge); err != nil {
		return
	}
	_ = c.CloseWrite()
	_, _ = io.CopyN(io.Discard, c.Conn, partingBytes)
}

// Write writes, a piece of writePiece bytes within writeTimeout.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	for {
		n, err := c.write(p[written:min(written+writePiece, len(p))])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

func (c *conn) write(p []byte) (int, error) {
	l := c.listener.limiter
	l.mu.Lock()
	now := time.Now()
	if c.account.phase == deciding {
		c.begin(answering, now)
	}
	if !c.account.leaving && c.account.phase != linked {
		_ = c.Conn.SetWriteDeadline(now.Add(writeTimeout))
	}
	l.mu.Unlock()
	return c.Conn.Write(p)
}

// Close closes the connection and frees what it used.
func (c *conn) Close() error {
	err := c.Conn.Close()
	l := c.listener.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.released {
		return err
	}
	c.released = true
	if c.account.leaving {
		c.listener.leaving--
	}
	l.update(c, account{})
	delete(l.conns, c)
	c.listener.open--
	c.listener.room.Signal()
	return err
}
