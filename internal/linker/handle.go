package linker

import (
	"context"
	"encoding/json"
	"maps"
	"runtime/debug"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/endivelock/endivelock/internal/classifier"
	"github.com/endivelock/endivelock/internal/keeper"
	"github.com/endivelock/endivelock/internal/ledger"
	"github.com/endivelock/endivelock/internal/replicator"
)

// handle answers a request of another entry. A panic ends the request, not the
// process: requests change no state that others share but through the control thread.
func (l *Linker) handle(ctx context.Context, rpc *jsonrpc2.Conn, r *jsonrpc2.Request) (result any, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			l.Logger.WithFields(logrus.Fields{"method": r.Method, "panic": cause, "stack": string(debug.Stack())}).Error("request of an entry failed")
			result, err = nil, &jsonrpc2.Error{Code: codeUnknown, Message: "the request failed at the other entry"}
		}
	}()
	return l.dispatch(ctx, rpc, r)
}

// dispatch answers a request. The texts of its errors go over the wire.
func (l *Linker) dispatch(ctx context.Context, rpc *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	if r.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "params are missing"}
	}
	switch r.Method {
	case methodPing:
		return l.handlePing(rpc, *r.Params)
	case methodLead:
		return l.Viewer.Snapshot().Lead(), nil
	case methodHello:
		return l.handleHello(rpc, *r.Params)
	case methodState:
		return l.handleState(ctx, *r.Params)
	case methodCounts:
		return l.handleCounts(ctx)
	case methodWrite:
		return l.handleWrite(ctx, *r.Params)
	case methodAdvise:
		return l.handleAdvise(ctx, *r.Params)
	case methodAppend:
		return l.handleAppend(ctx, *r.Params)
	case methodTell:
		return l.handleTell(*r.Params)
	case methodResign:
		return l.handleResign(*r.Params)
	case methodDo:
		return l.handleDo(*r.Params)
	case methodEvents:
		return l.handleEvents(rpc, *r.Params)
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "method " + r.Method + " is not known"}
}

// decode unmarshals the params of a request.
func decode[T any](params json.RawMessage) (T, error) {
	var m T
	if err := json.Unmarshal(params, &m); err != nil {
		return m, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	return m, nil
}

func (l *Linker) handleHello(rpc *jsonrpc2.Conn, params json.RawMessage) (any, error) {
	m, err := decode[helloMessage](params)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	if l.entries == nil {
		l.entries = map[string]peer{}
	}
	l.entries[m.Name] = peer{rpc, m.Address, m.Zone, m.Strength, m.ReadsLog}
	l.version++
	known := maps.Clone(l.addresses)
	if known == nil {
		known = map[string]string{}
	}
	known[m.Name] = m.Address
	l.addresses = known
	l.mu.Unlock()
	l.Logger.WithField("peer", m.Name).Info("entry is linked")
	l.SubmitLinked()
	if m.Follows {
		l.Sink.Submit(keeper.EntryFollows{Name: m.Name, Epoch: m.Epoch})
	}
	s := l.Viewer.Snapshot()
	if s.Role() != keeper.Leading || s.Lead().Epoch < m.Epoch {
		return helloAnswer{}, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.chooseStandbys(s.Self)
	return helloAnswer{Leading: true, Standby: slices.Contains(l.standbys, m.Name)}, nil
}

func (l *Linker) handleState(ctx context.Context, params json.RawMessage) (any, error) {
	m, err := decode[stateMessage](params)
	if err != nil {
		return nil, err
	}
	s := l.Viewer.Snapshot()
	if s.Role() != keeper.Leading {
		return nil, &jsonrpc2.Error{Code: codeNotLeading, Message: "entry does not lead"}
	}
	state, _, err := l.Inspector.JobState(ctx, m.Job)
	if err != nil {
		return nil, &jsonrpc2.Error{Code: codeUnknown, Message: err.Error()}
	}
	return stateAnswer{State: state, Epoch: s.Lead().Epoch}, nil
}

func (l *Linker) handleCounts(ctx context.Context) (any, error) {
	if l.Viewer.Snapshot().Role() != keeper.Leading {
		return nil, &jsonrpc2.Error{Code: codeNotLeading, Message: "entry does not lead"}
	}
	counts, err := l.Inspector.Counts(ctx)
	if err != nil {
		return nil, &jsonrpc2.Error{Code: codeUnknown, Message: err.Error()}
	}
	return countsAnswer{counts}, nil
}

func (l *Linker) handleWrite(ctx context.Context, params json.RawMessage) (any, error) {
	m, err := decode[writeMessage](params)
	if err != nil {
		return nil, err
	}
	if m.Claim != nil && l.Gate != nil {
		if err := l.Gate.Admit(ledger.ID(m.Name), ledger.Claim(*m.Claim)); err != nil {
			failed := &jsonrpc2.Error{Code: codeBeyond, Message: err.Error()}
			if errors.Is(err, classifier.ErrCongested) {
				failed.Code = codeCongested
			}
			failed.SetError(refusal{RetryAfter: classifier.RetryAfter(err)})
			return nil, failed
		}
	}
	bounded, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := l.Journal.Add(bounded, replicator.Value{Name: m.Name, Data: m.Data}); err != nil {
		if m.Claim != nil && l.Gate != nil && classifier.NotExecuted(err) {
			l.Gate.Withdraw(ledger.ID(m.Name))
		}
		failed := &jsonrpc2.Error{Code: codeUnknown, Message: err.Error()}
		switch {
		case errors.Is(err, classifier.ErrCongested):
			failed.Code = codeCongested
		case classifier.NotExecuted(err):
			failed.Code = codeNotDone
		default:
			failed.SetError(writeFailure{Waiting: true})
		}
		return nil, failed
	}
	return struct{}{}, nil
}

func (l *Linker) handleAdvise(ctx context.Context, params json.RawMessage) (any, error) {
	m, err := decode[adviseMessage](params)
	if err != nil {
		return nil, err
	}
	permits, valid, err := l.Adviser.Advise(ctx, m.Step, m.Workers)
	if err != nil {
		return nil, &jsonrpc2.Error{Code: codeUnknown, Message: err.Error()}
	}
	return adviseAnswer{permits, valid}, nil
}

// resignMessage announces that the leader of an epoch has stopped.
type resignMessage struct {
	Epoch int64               `json:"epoch"`
	Next  keeper.LeaderRecord `json:"next"` // who leads now, if that is known
}

func (l *Linker) handleResign(params json.RawMessage) (any, error) {
	m, err := decode[resignMessage](params)
	if err != nil {
		return nil, err
	}
	l.Sink.Submit(keeper.LinkLost{Epoch: m.Epoch, SteppedDown: true})
	l.reportLead(m.Next, "previous leader")
	return struct{}{}, nil
}

// Resign notifies all linked entries that this one no longer leads, and who does
// if that is known. Entries that miss the notification learn it from the log.
func (l *Linker) Resign(ctx context.Context, epoch int64) {
	resigned := resignMessage{Epoch: epoch, Next: l.Viewer.Snapshot().Lead()}
	l.mu.Lock()
	peers := slices.Collect(maps.Values(l.entries))
	l.mu.Unlock()
	for _, p := range peers {
		if err := p.rpc.Notify(ctx, methodResign, resigned); err != nil {
			l.Logger.WithError(err).Debug("entry not notified of the resignation")
		}
	}
}
