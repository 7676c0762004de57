// Package listener accepts connections for servers that are not HTTP.
package listener

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/endivelock/endivelock/internal/timer"
)

// retryPause is the time until the next Accept after one that found too few resources.
const retryPause = 50 * time.Millisecond

// Serve accepts connections until the context ends and calls handle for each in
// a goroutine of its own. Then it closes the listener, waits for the calls to
// return and returns the error of Accept.
func Serve(ctx context.Context, l net.Listener, handle func(ctx context.Context, conn net.Conn)) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		return l.Close()
	})
	for {
		conn, err := l.Accept()
		if err != nil && transient(err) && ctx.Err() == nil {
			timer.Sleep(ctx, retryPause)
			continue
		}
		if err != nil {
			_ = group.Wait()
			return errors.Wrap(err, "accept connection")
		}
		group.Go(func() error {
			handle(ctx, conn)
			return nil
		})
	}
}

// transient reports whether an Accept has failed for want of resources, such as descriptors, or as the client
// has gone.
func transient(err error) bool {
	return errors.IsAny(err, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED)
}
