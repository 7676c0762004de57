package linker

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
	"golang.org/x/sync/errgroup"
)

const (
	// maxAnswers bounds the requests on one connection that are answered without room.
	maxAnswers = 2
	// answerTimeout bounds the wait of the next one. A peer that reads so slowly fails its pings as well.
	answerTimeout = 3 * time.Second
	// maxNameBytes bounds the parts of a request that its answer repeats.
	maxNameBytes = 128
	// requestBytes is the memory of a request, beside its params, which are held twice: as they arrived
	// and decoded.
	requestBytes = 16 << 10
)

// handler answers a request.
type handler func(ctx context.Context, rpc *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error)

// answerer answers the requests on one connection, each in a goroutine of its own. A request takes up a part of the
// room until its answer is written. If there is none, one that would wait for something else is refused, and all
// need one of maxAnswers places: without one, no further message is read. Pings are answered so all the same.
type answerer struct {
	handle handler
	room   *room
	memory int64 // of the room
	held   int64 // part of it, guarded by its mutex
	group  errgroup.Group
	places chan struct{}
}

var _ jsonrpc2.Handler = (*answerer)(nil)

func newAnswerer(handle handler, room *room, memory int64) *answerer {
	return &answerer{handle: handle, room: room, memory: memory, places: make(chan struct{}, maxAnswers)}
}

// waits reports whether requests of a method wait for the control thread, the log or other entries.
func waits(method string) bool {
	switch method {
	case methodHello, methodState, methodCounts, methodWrite, methodAdvise, methodAppend, methodTell, methodResign, methodDo, methodEvents:
		return true
	}
	return false
}

// Handle implements jsonrpc2.Handler. The next message is read when it returns.
func (a *answerer) Handle(ctx context.Context, rpc *jsonrpc2.Conn, r *jsonrpc2.Request) {
	if len(r.Method) > maxNameBytes || len(r.ID.Str) > maxNameBytes {
		_ = rpc.Close()
		return
	}
	bytes := int64(requestBytes)
	if r.Params != nil {
		bytes += 2 * int64(len(*r.Params))
	}
	if a.room.take(&a.held, bytes, a.memory) {
		a.group.Go(func() error {
			defer a.room.give(&a.held, bytes)
			return a.answer(ctx, rpc, r, a.handle)
		})
		return
	}
	handle := a.handle
	if waits(r.Method) {
		handle = refuse
	}
	if !a.take(ctx) {
		_ = rpc.Close()
		return
	}
	a.group.Go(func() error {
		defer a.leave()
		return a.answer(ctx, rpc, r, handle)
	})
	if !a.take(ctx) {
		_ = rpc.Close()
		return
	}
	a.leave()
}

func refuse(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: codeCongested, Message: "too many requests of other entries wait"}
}

// answer carries out a request and answers it, unless it is a notification.
func (a *answerer) answer(ctx context.Context, rpc *jsonrpc2.Conn, r *jsonrpc2.Request, handle handler) error {
	result, err := handle(ctx, rpc, r)
	if r.Notif {
		return nil
	}
	answer := &jsonrpc2.Response{ID: r.ID}
	if err == nil {
		err = answer.SetResult(result)
	}
	if err != nil && !errors.As(err, &answer.Error) {
		answer.Error = &jsonrpc2.Error{Message: err.Error()}
	}
	return rpc.SendResponse(ctx, answer)
}

// take takes a place. It reports false if none becomes free.
func (a *answerer) take(ctx context.Context) bool {
	select {
	case a.places <- struct{}{}:
		return true
	default:
	}
	bounded, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	select {
	case a.places <- struct{}{}:
		return true
	case <-bounded.Done():
		return false
	}
}

func (a *answerer) leave() { <-a.places }

// room is the memory for requests of all connections.
type room struct {
	mu   sync.Mutex
	used int64
}

// take takes a part for a connection. No connection takes more than it leaves to others, so those that come later
// get a part as well. A request that is alone always gets its part.
func (r *room) take(held *int64, bytes, memory int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.used > 0 && *held+bytes > memory-r.used {
		return false
	}
	*held += bytes
	r.used += bytes
	return true
}

// give returns a part.
func (r *room) give(held *int64, bytes int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*held -= bytes
	r.used -= bytes
}
