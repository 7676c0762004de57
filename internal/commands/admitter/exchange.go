package admitter

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/endivelock/endivelock/internal/commands/dispatcher"
	"github.com/endivelock/endivelock/internal/scheduler"
	"github.com/endivelock/endivelock/pkg/messenger"
)

// copyBuffer is the size of the buffer between the two ends of a stream.
const copyBuffer = 64 << 10

// reply is what came of sending a request.
type reply struct {
	response *http.Response
	err      error
}

// toServer has the exchange with a backend server of this entry.
func (v *visit) toServer(d scheduler.Place) bool {
	if v.r.Context().Err() != nil {
		v.ended(scheduler.ExchangeUnused)
		return true
	}
	waited := time.Since(v.arrived)
	v.admitter.Waited.Update(waited)
	v.observe(waited, true)
	v.w.Header().Set(headerTiming, timing(waited))
	ctx, cancel := exchangeContext(d.Until)
	replies := v.send(v.outgoing(ctx, d.Address))
	select {
	case p := <-replies:
		return v.fromServer(p, cancel)
	case <-v.r.Context().Done():
	case <-time.After(time.Until(v.request.Deadline)):
		v.write(*v.problem(http.StatusGatewayTimeout, "answer-timeout", "no answer before the deadline"), 0)
	}
	v.settle(replies, cancel)
	return true
}

// settle lets an exchange go on without its caller, so that the slot is free
// exactly when the server has finished. A late answer is dropped.
func (v *visit) settle(replies <-chan reply, cancel context.CancelFunc) {
	v.count("unknown")
	v.admitter.group.Go(func() error {
		defer cancel()
		p := <-replies
		if p.err != nil {
			v.ended(endOf(p.err, true))
			return nil
		}
		v.drop(p.response)
		return nil
	})
}

// drop reads the rest of an answer that nobody waits for.
func (v *visit) drop(response *http.Response) {
	_, err := io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if err != nil {
		v.ended(scheduler.ExchangeBroken)
		return
	}
	v.ended(scheduler.ExchangeWhole)
}

// endOf tells how a failed exchange ended.
func endOf(err error, unused bool) scheduler.EndKind {
	var fault *dispatcher.Fault
	switch {
	case !errors.As(err, &fault) || fault.Sent:
		return scheduler.ExchangeBroken
	case unused:
		return scheduler.ExchangeUnused
	default:
		return scheduler.ExchangeUnsent
	}
}

// fromServer passes a server's answer to the caller.
func (v *visit) fromServer(p reply, cancel context.CancelFunc) bool {
	if p.err != nil {
		cancel()
		return v.failed(p.err)
	}
	err := v.copy(p.response)
	if err == nil {
		cancel()
		_ = p.response.Body.Close()
		v.ended(scheduler.ExchangeWhole)
		v.count("ran")
		return true
	}
	v.count("unknown")
	if errors.Is(err, errCaller) {
		v.admitter.group.Go(func() error {
			defer cancel()
			v.drop(p.response)
			return nil
		})
		panic(http.ErrAbortHandler)
	}
	cancel()
	_ = p.response.Body.Close()
	v.ended(scheduler.ExchangeBroken)
	panic(http.ErrAbortHandler)
}

// failed deals with an exchange that brought no answer. It reports whether the
// request is settled; if not, another decision follows.
func (v *visit) failed(err error) bool {
	end := endOf(err, v.body.read.Load() > 0)
	v.ended(end)
	switch end {
	case scheduler.ExchangeUnsent:
		return false
	case scheduler.ExchangeUnused:
		v.write(*v.refusal(scheduler.ReasonDial), time.Second)
	default:
		v.count("unknown")
		v.admitter.Logger.WithField("work", v.request.ID).WithError(err).Info("exchange with server broke off")
		v.write(*v.problem(http.StatusBadGateway, "answer-lost", "the server gave no whole answer"), 0)
	}
	return true
}

// toEntry has the exchange with another entry.
func (v *visit) toEntry(d scheduler.Forward) bool {
	ctx, cancel := context.WithDeadline(v.r.Context(), v.request.Deadline.Add(time.Second))
	defer cancel()
	own := time.Since(v.arrived)
	request := v.outgoing(ctx, d.Entry.Forward)
	v.markForward(request)
	response, err := v.admitter.Exchangers.Entries.RoundTrip(request)
	if err != nil {
		return v.forwardFailed(err, d.Entry.ID)
	}
	defer func() { _ = response.Body.Close() }()
	refused := response.Header.Get(messenger.HeaderOutcome) == scheduler.NotRun.String()
	if refused && v.body.read.Load() == 0 && tryElsewhere(response) {
		v.forwardEnded(d.Entry.ID, true)
		return false
	}
	v.forwardEnded(d.Entry.ID, false)
	v.w.Header().Set(headerTiming, timing(own+timingOf(response.Header)))
	response.Header.Del(headerTiming)
	v.count("forwarded")
	if err := v.copy(response); err != nil {
		panic(http.ErrAbortHandler)
	}
	return true
}

// tryElsewhere reports whether another entry might decide otherwise.
func tryElsewhere(response *http.Response) bool {
	return response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusConflict
}

func (v *visit) forwardFailed(err error, to scheduler.EntryID) bool {
	if endOf(err, false) == scheduler.ExchangeUnsent && v.body.read.Load() == 0 {
		v.forwardEnded(to, true)
		return false
	}
	v.forwardEnded(to, false)
	v.count("unknown")
	v.admitter.Logger.WithFields(map[string]any{"work": v.request.ID, "peer": to.Name}).WithError(err).Info("exchange with entry broke off")
	v.write(*v.problem(http.StatusBadGateway, "answer-lost", "the other entry gave no whole answer"), 0)
	return true
}

func (v *visit) forwardEnded(entry scheduler.EntryID, refused bool) {
	v.request.Tried = append(v.request.Tried, entry.String())
	v.admitter.Controller.Submit(scheduler.ForwardEnded{Request: v.request.ID, Refused: refused, Entry: entry})
}

// markForward adds what the next entry has to know.
func (v *visit) markForward(request *http.Request) {
	left := max(0, time.Until(v.request.Deadline).Milliseconds())
	request.Header.Set(headerDeadline, strconv.FormatInt(left, 10))
	request.Header.Set(headerHops, strconv.Itoa(v.request.Hops+1))
	self := v.admitter.Controller.Snapshot().Self.ID.String()
	request.Header.Set(headerTried, strings.Join(append(v.request.Tried[:len(v.request.Tried):len(v.request.Tried)], self), " "))
	if v.r.ContentLength != 0 {
		request.Header.Set("Expect", "100-continue")
	}
}

// outgoing returns the request for the next hop. Its body is never nil and
// cannot be rewound, so that the transport does not repeat it by itself.
func (v *visit) outgoing(ctx context.Context, address string) *http.Request {
	request := (&http.Request{
		Method:        v.r.Method,
		URL:           v.target(address),
		Host:          v.r.Host,
		Header:        http.Header{},
		Body:          v.body,
		ContentLength: v.r.ContentLength,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}).WithContext(ctx)
	dispatcher.CopyHeader(request.Header, v.r.Header)
	for _, name := range []string{headerHops, headerDeadline, headerTried, "Expect"} {
		request.Header.Del(name)
	}
	request.Header.Set(messenger.HeaderWork, v.request.ID)
	if _, ok := request.Header["User-Agent"]; !ok {
		request.Header.Set("User-Agent", "")
	}
	return request
}

func (v *visit) send(request *http.Request) <-chan reply {
	replies := make(chan reply, 1)
	v.admitter.group.Go(func() error {
		response, err := v.admitter.Exchangers.Servers.RoundTrip(request)
		replies <- reply{response, err}
		return nil
	})
	return replies
}

// errCaller tells that the caller's side of a stream failed.
var errCaller = errors.New("caller's connection failed")

// copy streams an answer to the caller.
func (v *visit) copy(response *http.Response) error {
	header := v.w.Header()
	dispatcher.CopyHeader(header, response.Header)
	if header.Get(messenger.HeaderOutcome) == "" {
		header.Set(messenger.HeaderOutcome, scheduler.Ran.String())
	}
	header.Set(messenger.HeaderWork, v.request.ID)
	v.w.WriteHeader(response.StatusCode)
	if err := v.copyBody(response); err != nil {
		return err
	}
	for name, values := range response.Trailer {
		header[http.TrailerPrefix+name] = values
	}
	return nil
}

// copyBody copies in pieces. An answer of unknown length is a stream, each
// piece of which is passed on at once.
func (v *visit) copyBody(response *http.Response) error {
	control := http.NewResponseController(v.w)
	buffer := make([]byte, min(copyBuffer, bufferFor(response.ContentLength)))
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			if _, werr := v.w.Write(buffer[:n]); werr != nil {
				return errors.Mark(werr, errCaller)
			}
			if response.ContentLength < 0 {
				_ = control.Flush()
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read answer")
		}
	}
}

func bufferFor(length int64) int64 {
	if length < 0 {
		return copyBuffer
	}
	return length + 1
}

func timing(waited time.Duration) string {
	return fmt.Sprintf("wait;dur=%.3f", float64(waited)/float64(time.Millisecond))
}

// timingOf returns the wait that another entry reported.
func timingOf(h http.Header) time.Duration {
	text, ok := strings.CutPrefix(h.Get(headerTiming), "wait;dur=")
	if !ok {
		return 0
	}
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// countedBody counts what was read of a request's body. Close does nothing:
// the body belongs to the listener.
type countedBody struct {
	inner io.Reader
	read  atomic.Int64
}

var _ io.ReadCloser = (*countedBody)(nil)

// Read reads from the caller.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.inner.Read(p)
	b.read.Add(int64(n))
	return n, err
}

// Close leaves the body open for another try.
func (b *countedBody) Close() error { return nil }
