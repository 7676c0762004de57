package main

import (
	"net"
	"sync"
	"time"
)

// probeInterval is the interval of the keep-alive probes that the system's connections
// to runners send while nothing else is sent.
const probeInterval = 2 * time.Second

// line is the network path to the address of a runner. While it is cut, the bytes on
// open connections are held up. Connections of a runner that has crashed meanwhile are
// reset by the first packet that arrives after the path is back, which is a keep-alive
// probe at the latest.
type line struct {
	net.Listener

	mu    sync.Mutex
	up    chan struct{} // closed while the path is open
	cut   bool
	conns map[*conn]bool
}

// conn is a connection to a runner.
type conn struct {
	net.Conn
	line *line

	mu    sync.Mutex
	last  time.Time // when a packet last passed
	stale bool      // the runner that it was opened to has crashed
	// blocked means that the path was cut when it was opened: its first packet was lost, and
	// would be sent again only after the caller has given up.
	blocked bool
}

func newLine(l net.Listener) *line {
	up := make(chan struct{})
	close(up)
	return &line{Listener: l, up: up, conns: map[*conn]bool{}}
}

// Accept returns a connection once the path is open.
func (l *line) Accept() (net.Conn, error) {
	opened, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: opened, line: l, last: time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	c.stale, c.blocked = l.cut, l.cut
	l.conns[c] = true
	return c, nil
}

// wait blocks while the path is cut.
func (l *line) wait() {
	l.mu.Lock()
	up := l.up
	l.mu.Unlock()
	<-up
}

// setCut cuts the path or restores it.
func (l *line) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if cut == l.cut {
		return
	}
	l.cut = cut
	if cut {
		l.up = make(chan struct{})
		return
	}
	close(l.up)
	for c := range l.conns {
		c.resetIfStale()
	}
}

// crash makes all open connections those of a runner that is gone. The path is cut.
func (l *line) crash() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.mu.Lock()
		c.stale = true
		c.mu.Unlock()
	}
}

// resetIfStale resets the connection at the next keep-alive probe if its runner is gone.
func (c *conn) resetIfStale() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.stale || c.blocked {
		return
	}
	time.AfterFunc(probeInterval-time.Since(c.last)%probeInterval, c.reset)
}

// reset breaks the connection off.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.drop()
}

func (c *conn) isStale() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stale
}

// touch records that a packet has passed.
func (c *conn) touch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = time.Now()
}

// firstResend is how long after a packet TCP sends it again without an acknowledgement.
// Each pause is twice as long as the last.
const firstResend = 200 * time.Millisecond

// untilResent returns the time until a packet is sent again that was first sent some time ago.
func untilResent(since time.Duration) time.Duration {
	next, pause := firstResend, firstResend
	for next < since {
		pause *= 2
		next += pause
	}
	return next - since
}

// Read reads what has arrived over an open path.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	for c.blocked && err == nil {
		n, err = c.Conn.Read(b)
	}
	arrived := time.Now()
	c.line.wait()
	if c.isStale() {
		time.Sleep(untilResent(time.Since(arrived)))
		c.reset()
		return 0, net.ErrClosed
	}
	c.touch()
	return n, err
}

// Write sends over an open path. A runner that is gone sends nothing.
func (c *conn) Write(b []byte) (int, error) {
	c.line.wait()
	if c.isStale() {
		return 0, net.ErrClosed
	}
	c.touch()
	return c.Conn.Write(b)
}

// Close closes the connection. A runner that is gone closes nothing.
func (c *conn) Close() error {
	if !c.isStale() {
		c.drop()
	}
	return nil
}

func (c *conn) drop() {
	_ = c.Conn.Close()
	c.line.mu.Lock()
	defer c.line.mu.Unlock()
	delete(c.line.conns, c)
}
