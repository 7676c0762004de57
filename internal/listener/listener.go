// Package listener accepts connections for servers that are not HTTP.
package listener

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

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
