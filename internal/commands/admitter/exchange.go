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

// maxCopyBuffer bounds the buffer that a response body is copied through, in
// bytes.
const maxCopyBuffer = 64 << 10

// result is the result of Transport.RoundTrip.
type result struct {
	response *http.Response
	err      error
}

// exchangeWithServer sends the request to a backend server that this entry owns.
// It reports whether the request is completed.
func (f *inflight) exchangeWithServer(d scheduler.Place) bool {
	if f.r.Context().Err() != nil {
		f.reportEnded(scheduler.ExchangeUnused)
		return true
	}
	waited := time.Since(f.arrived)
	f.w.Header().Set(headerTiming, formatTiming(waited))
	ctx, cancel := exchangeContext(d.Until)
	if d.Until.Before(f.request.Deadline) {
		// The transport waits for a read of the body that is in progress, also after the end of the context.
		f.readUntil(d.Until)
	}
	results := f.send(f.outgoing(ctx, d.Address))
	select {
	case r := <-results:
		return f.relayFromServer(r, waited, cancel)
	case <-f.r.Context().Done():
	case <-time.After(time.Until(f.request.Deadline)):
		f.readUntil(time.Now())
		f.writeProblem(*f.problem(http.StatusGatewayTimeout, "answer-timeout", "no answer before the deadline"), 0)
	}
	f.observePlaced(waited)
	f.finishDetached(results, cancel)
	return true
}

// finishDetached lets an exchange continue without its caller, so that the slot
// is freed when the server has finished, not earlier. The response is discarded.
func (f *inflight) finishDetached(results <-chan result, cancel context.CancelFunc) {
	f.count("unknown")
	f.admitter.group.Go(func() error {
		defer cancel()
		r := <-results
		if r.err != nil {
			f.reportEnded(endKindOf(r.err, true))
			return nil
		}
		f.discard(r.response)
		return nil
	})
}

// discard reads a response body to its end and reports the end of the exchange.
func (f *inflight) discard(response *http.Response) {
	_, err := io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if err != nil {
		f.reportEnded(scheduler.ExchangeBroken)
		return
	}
	f.reportEnded(scheduler.ExchangeComplete)
}

// endKindOf returns how an exchange that failed with err ended. With unused, an
// exchange of which no byte was sent is ExchangeUnused: it is not tried again.
func endKindOf(err error, unused bool) scheduler.ExchangeEnd {
	var failed *dispatcher.Error
	switch {
	case !errors.As(err, &failed) || failed.Sent:
		return scheduler.ExchangeBroken
	case unused:
		return scheduler.ExchangeUnused
	default:
		return scheduler.ExchangeUnsent
	}
}

// relayFromServer copies a server's response to the caller. It reports whether
// the request is completed. If the copying fails it aborts the caller's
// connection, so that a truncated response is not taken for a complete one.
func (f *inflight) relayFromServer(r result, waited time.Duration, cancel context.CancelFunc) bool {
	if r.err != nil {
		cancel()
		return f.serverFailed(r.err, waited)
	}
	f.observePlaced(waited)
	err := f.copyResponse(r.response)
	if err == nil {
		cancel()
		_ = r.response.Body.Close()
		f.reportEnded(scheduler.ExchangeComplete)
		f.count("ran")
		return true
	}
	f.count("unknown")
	if errors.Is(err, errCallerWrite) {
		f.admitter.group.Go(func() error {
			defer cancel()
			f.discard(r.response)
			return nil
		})
		panic(http.ErrAbortHandler)
	}
	cancel()
	_ = r.response.Body.Close()
	f.reportEnded(scheduler.ExchangeBroken)
	panic(http.ErrAbortHandler)
}

// serverFailed handles an exchange without a response. It reports whether the
// request is completed; if not, another decision follows.
func (f *inflight) serverFailed(err error, waited time.Duration) bool {
	end := endKindOf(err, f.body.read.Load() > 0)
	f.reportEnded(end)
	if end == scheduler.ExchangeUnsent {
		return false
	}
	f.observePlaced(waited)
	switch end {
	case scheduler.ExchangeUnused:
		f.writeProblem(*f.refusal(scheduler.ReasonServerUnreachable), time.Second)
	default:
		f.readUntil(time.Now())
		f.count("unknown")
		f.admitter.Logger.WithField("work", f.request.ID).WithError(err).Info("exchange with server failed")
		f.writeProblem(*f.problem(http.StatusBadGateway, "answer-lost", "the server gave no whole answer"), 0)
	}
	return true
}

// exchangeWithEntry forwards the request to another entry. It reports whether the
// request is completed.
func (f *inflight) exchangeWithEntry(d scheduler.Forward) bool {
	ctx, cancel := context.WithDeadline(f.r.Context(), f.request.Deadline.Add(time.Second))
	defer cancel()
	ownWait := time.Since(f.arrived)
	request := f.outgoing(ctx, d.Entry.Forward)
	f.setForwardHeader(request)
	response, err := f.admitter.Transports.Entries.RoundTrip(request)
	if err != nil {
		return f.forwardFailed(err, d.Entry.ID)
	}
	defer func() { _ = response.Body.Close() }()
	refused := response.Header.Get(messenger.HeaderOutcome) == scheduler.NotRun.String()
	if refused && retryableElsewhere(response.StatusCode) {
		if f.body.read.Load() == 0 {
			f.reportForwardEnded(d.Entry.ID, true)
			return false
		}
		f.observeRefused(response.StatusCode)
	}
	f.reportForwardEnded(d.Entry.ID, false)
	f.w.Header().Set(headerTiming, formatTiming(ownWait+parseTiming(response.Header)))
	response.Header.Del(headerTiming)
	f.count("forwarded")
	if err := f.copyResponse(response); err != nil {
		panic(http.ErrAbortHandler)
	}
	return true
}

// retryableElsewhere reports whether another entry might accept a request that
// was refused with a status.
func retryableElsewhere(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusConflict
}

func (f *inflight) forwardFailed(err error, to scheduler.EntryID) bool {
	if endKindOf(err, false) == scheduler.ExchangeUnsent && f.body.read.Load() == 0 {
		f.reportForwardEnded(to, true)
		return false
	}
	f.readUntil(time.Now())
	f.reportForwardEnded(to, false)
	f.count("unknown")
	f.admitter.Logger.WithFields(map[string]any{"work": f.request.ID, "peer": to.Name}).WithError(err).Info("exchange with entry failed")
	f.writeProblem(*f.problem(http.StatusBadGateway, "answer-lost", "the other entry gave no whole answer"), 0)
	return true
}

func (f *inflight) reportForwardEnded(entry scheduler.EntryID, refused bool) {
	f.request.Tried = append(f.request.Tried, entry.String())
	f.admitter.Controller.Submit(scheduler.ForwardEnded{Request: f.request.ID, Refused: refused, Entry: entry})
}

// setForwardHeader sets the headers that the other entry reads from a forwarded
// request.
func (f *inflight) setForwardHeader(request *http.Request) {
	left := max(0, time.Until(f.request.Deadline).Milliseconds())
	request.Header.Set(headerDeadline, strconv.FormatInt(left, 10))
	request.Header.Set(headerHops, strconv.Itoa(f.request.Hops+1))
	self := f.admitter.Controller.Snapshot().Self.ID.String()
	request.Header.Set(headerTried, strings.Join(append(f.request.Tried[:len(f.request.Tried):len(f.request.Tried)], self), " "))
	if f.r.ContentLength != 0 {
		request.Header.Set("Expect", "100-continue")
	}
}

// outgoing returns the request for the next hop. Its body is never nil and cannot
// be rewound, so that net/http does not replay the request.
func (f *inflight) outgoing(ctx context.Context, address string) *http.Request {
	request := (&http.Request{
		Method:        f.r.Method,
		URL:           f.target(address),
		Host:          f.r.Host,
		Header:        http.Header{},
		Body:          f.body,
		ContentLength: f.r.ContentLength,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}).WithContext(ctx)
	dispatcher.CopyHeader(request.Header, f.r.Header)
	for _, name := range []string{headerHops, headerDeadline, headerTried, "Expect"} {
		request.Header.Del(name)
	}
	request.Header.Set(messenger.HeaderWork, f.request.ID)
	if _, ok := request.Header["User-Agent"]; !ok {
		request.Header.Set("User-Agent", "")
	}
	return request
}

func (f *inflight) send(request *http.Request) <-chan result {
	results := make(chan result, 1)
	f.admitter.group.Go(func() error {
		response, err := f.admitter.Transports.Servers.RoundTrip(request)
		results <- result{response, err}
		return nil
	})
	return results
}

// errCallerWrite marks errors of writing to the caller.
var errCallerWrite = errors.New("caller's connection failed")

// copyResponse streams a response to the caller.
func (f *inflight) copyResponse(response *http.Response) error {
	header := f.w.Header()
	dispatcher.CopyHeader(header, response.Header)
	if header.Get(messenger.HeaderOutcome) == "" {
		header.Set(messenger.HeaderOutcome, scheduler.Ran.String())
	}
	header.Set(messenger.HeaderWork, f.request.ID)
	f.w.WriteHeader(response.StatusCode)
	if err := f.copyBody(response); err != nil {
		return err
	}
	for name, values := range response.Trailer {
		header[http.TrailerPrefix+name] = values
	}
	return nil
}

// copyBody copies a response body to the caller. A body of unknown length may be
// a stream, so it is flushed after each write.
func (f *inflight) copyBody(response *http.Response) error {
	control := http.NewResponseController(f.w)
	buffer := make([]byte, min(maxCopyBuffer, bufferSize(response.ContentLength)))
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			if _, writeErr := f.w.Write(buffer[:n]); writeErr != nil {
				return errors.Mark(writeErr, errCallerWrite)
			}
			if response.ContentLength < 0 {
				_ = control.Flush()
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read response")
		}
	}
}

func bufferSize(length int64) int64 {
	if length < 0 {
		return maxCopyBuffer
	}
	return length + 1
}

func formatTiming(waited time.Duration) string {
	return fmt.Sprintf("wait;dur=%.3f", float64(waited)/float64(time.Millisecond))
}

// parseTiming returns the wait that another entry reported, 0 if it reported none.
func parseTiming(h http.Header) time.Duration {
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

// readUntil sets the time until which the request's body is read. The response waits for a read that is in
// progress. The limiter ends the deadline with the body.
func (f *inflight) readUntil(t time.Time) {
	if f.r.ContentLength != 0 && !f.body.ended.Load() {
		_ = http.NewResponseController(f.w).SetReadDeadline(t)
	}
}

// countingBody counts the bytes that were read of a request's body. Close does
// nothing: the HTTP server closes the body.
type countingBody struct {
	inner io.Reader
	read  atomic.Int64
	ended atomic.Bool // read to its end
}

var _ io.ReadCloser = (*countingBody)(nil)

// Read reads from the caller's connection.
func (b *countingBody) Read(p []byte) (int, error) {
	n, err := b.inner.Read(p)
	b.read.Add(int64(n))
	if errors.Is(err, io.EOF) {
		b.ended.Store(true)
	}
	return n, err
}

// Close leaves the body open for another attempt.
func (b *countingBody) Close() error { return nil }
