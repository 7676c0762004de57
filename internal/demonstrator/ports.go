package demonstrator

import (
	"fmt"
	"net"

	"github.com/cockroachdb/errors"
)

// Ports of a demo lie below those that systems give to outgoing connections
// (32768 and above on Linux): such a connection could take a port between the
// time it was found free and the time an entry listens there.
const (
	firstPort = 20_000
	lastPort  = 32_000
	blockSize = 64
)

// ports gives out addresses on the loopback interface that no other demo uses.
// A listener at the first port of a block keeps the rest for this one. The zero
// value works.
type ports struct {
	lock net.Listener
	next int
}

// address returns an address on which nothing listens at the moment.
func (p *ports) address() (string, error) {
	if p.lock == nil {
		if err := p.reserve(); err != nil {
			return "", err
		}
	}
	for end := (p.next/blockSize + 1) * blockSize; p.next < end; {
		l, err := net.Listen("tcp", loopback(p.next))
		p.next++
		if err == nil {
			return l.Addr().String(), errors.Wrap(l.Close(), "free the port")
		}
	}
	return "", errors.Newf("no port is free below %d", p.next)
}

// reserve finds a block whose first port is free and holds that.
func (p *ports) reserve() error {
	for port := blockSize * (firstPort/blockSize + 1); port < lastPort; port += blockSize {
		l, err := net.Listen("tcp", loopback(port))
		if err == nil {
			p.lock, p.next = l, port+1
			return nil
		}
	}
	return errors.Newf("no port is free from %d to %d", firstPort, lastPort)
}

// release lets others have the block.
func (p *ports) release() error {
	if p.lock == nil {
		return nil
	}
	return errors.Wrap(p.lock.Close(), "release ports")
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
