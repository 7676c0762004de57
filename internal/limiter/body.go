package limiter

import (
	"bytes"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// firstSegment and segment are the sizes of the buffers that a body is read into.
	firstSegment = 4 << 10
	segment      = 16 << 10
)

// body is the body of a request. Its errors ErrCrowded and ErrSlow mean that the request was not complete.
type body struct {
	io.ReadCloser
	conn *conn
}

// Read reads from the body and counts its bytes against the budget.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !b.conn.hold(int64(n), errors.Is(err, io.EOF)) {
		return 0, ErrCrowded
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		b.conn.listener.limiter.refuse(ReasonSlow)
		return 0, ErrSlow
	}
	return n, err
}

// hold holds bytes of the body, and begins to decide once they are complete. It reports false if the connection had
// to go.
func (c *conn) hold(n int64, complete bool) bool {
	l := c.listener.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if c.listener.relays {
		n = 0
	}
	if !l.hold(c, n, now) {
		return false
	}
	if complete {
		c.begin(deciding, now)
	}
	return true
}

// ReadAll reads a body of a declared size, -1 if it is not known. It takes memory as the bytes arrive, and no more
// than twice their size.
func ReadAll(r io.Reader, declared int64) ([]byte, error) {
	size := int64(firstSegment)
	if declared >= 0 {
		size = min(size, declared+1)
	}
	buffer := make([]byte, 0, size)
	var full [][]byte
	for {
		if len(buffer) == cap(buffer) {
			full = append(full, buffer)
			buffer = make([]byte, 0, segment)
		}
		n, err := r.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case errors.Is(err, io.EOF) && full == nil:
			return buffer, nil
		case errors.Is(err, io.EOF):
			return bytes.Join(append(full, buffer), nil), nil
		case err != nil:
			return nil, err
		}
	}
}

// Hold holds bytes of a message that is arriving or being handled.
func (c *conn) Hold(n int) error {
	if n == 0 {
		return nil
	}
	l := c.listener.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if c.account.held == 0 && !c.account.leaving {
		l.update(c, c.account.withPhase(linked, now))
	}
	if !l.hold(c, int64(n), now) {
		return ErrCrowded
	}
	return nil
}

// Release frees what the message held. The connection is idle until the next one.
func (c *conn) Release() {
	l := c.listener.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if !c.account.leaving {
		l.update(c, c.account.withPhase(linked, time.Now()).withHeld(0))
	}
}
