package emulator

import (
	"fmt"
	"net"

	"github.com/cockroachdb/errors"
)

// The ports lie below the ephemeral ports (32768 and above on Linux): an outgoing
// connection could otherwise take a port between the check that it is free and
// the time an entry listens on it.
const (
	firstPort = 20_000
	lastPort  = 32_000
	blockSize = 64
)

// Ports allocates addresses on the loopback interface that no other demo or test
// uses. It reserves a block of ports by listening on the first one. The zero value
// is usable.
type Ports struct {
	lock net.Listener
	next int
}

// Address returns an address on which nothing listens.
func (p *Ports) Address() (string, error) {
	if p.lock == nil {
		if err := p.reserve(); err != nil {
			return "", err
		}
	}
	for end := (p.next/blockSize + 1) * blockSize; p.next < end; {
		l, err := net.Listen("tcp", loopback(p.next))
		p.next++
		if err == nil {
			return l.Addr().String(), errors.Wrap(l.Close(), "close probe listener")
		}
	}
	return "", errors.Newf("no free port below %d", p.next)
}

// reserve reserves the first block whose first port is free.
func (p *Ports) reserve() error {
	for port := blockSize * (firstPort/blockSize + 1); port < lastPort; port += blockSize {
		l, err := net.Listen("tcp", loopback(port))
		if err == nil {
			p.lock, p.next = l, port+1
			return nil
		}
	}
	return errors.Newf("no free port from %d to %d", firstPort, lastPort)
}

// Release frees the block for others.
func (p *Ports) Release() error {
	if p.lock == nil {
		return nil
	}
	return errors.Wrap(p.lock.Close(), "release ports")
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
