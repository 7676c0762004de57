package listener_test

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/listener"
)

// failing is a listener whose first calls of Accept fail.
type failing struct {
	net.Listener
	errors chan error
}

func (f failing) Accept() (net.Conn, error) {
	select {
	case err := <-f.errors:
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
	default:
		return f.Listener.Accept()
	}
}

// Guards against an entry that is cut off from its peers for good: its listener ended once the
// process had no descriptor left for a moment.
func TestAnAcceptWithoutDescriptorsIsTriedAgain(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	f := failing{l, make(chan error, 3)}
	for _, err := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED} {
		f.errors <- err
	}
	ctx, cancel := context.WithCancel(context.Background())
	accepted := make(chan struct{})
	var group errgroup.Group
	group.Go(func() error {
		return listener.Serve(ctx, f, func(_ context.Context, conn net.Conn) {
			_ = conn.Close()
			close(accepted)
		})
	})
	conn, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	select {
	case <-accepted:
	case <-time.After(10 * time.Second):
		t.Error("no connection is accepted any more")
	}
	cancel()
	assert.ErrorIs(t, group.Wait(), net.ErrClosed)
}
