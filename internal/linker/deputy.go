package linker

import (
	"context"
	"encoding/json"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/endivelock/endivelock/internal/commands/delegator"
	"github.com/endivelock/endivelock/internal/packer"
)

// batchMessage carries commands or events.
type batchMessage struct {
	Batch []byte `json:"batch"` // as packed by package packer
}

type eventsAnswer struct {
	Confirmed bool  `json:"confirmed"`
	Fence     int64 `json:"fence"`
}

// Command passes a batch of commands on to a linked entry.
func (l *Linker) Command(ctx context.Context, entry string, c delegator.Commands) error {
	l.mu.Lock()
	p, ok := l.entries[entry]
	l.mu.Unlock()
	if !ok {
		return errNoLeader
	}
	return p.rpc.Call(ctx, methodDo, batchMessage{packer.Commands(c)}, nil)
}

// ReportEvents passes a batch of events on to the leader and returns its answer.
func (l *Linker) ReportEvents(ctx context.Context, e delegator.Events) (delegator.Confirmation, error) {
	var a eventsAnswer
	err := l.callLeader(ctx, methodEvents, batchMessage{packer.Events(e)}, &a)
	return delegator.Confirmation(a), err
}

// Entries returns the linked entries.
func (l *Linker) Entries() []delegator.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	entries := make([]delegator.Entry, 0, len(l.entries))
	for name, p := range l.entries {
		entries = append(entries, delegator.Entry{Name: name, Zone: p.zone, CPUShare: p.strength})
	}
	return entries
}

// unpack returns the batch of a request.
func unpack[T any](params json.RawMessage, unpackBatch func([]byte) (T, error)) (T, error) {
	var batch T
	m, err := decode[batchMessage](params)
	if err != nil {
		return batch, err
	}
	if batch, err = unpackBatch(m.Batch); err != nil {
		return batch, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	return batch, nil
}

func (l *Linker) handleDo(params json.RawMessage) (any, error) {
	c, err := unpack(params, packer.UnpackCommands)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	ctx := l.ctx
	l.mu.Unlock()
	if err := l.Deputy.Do(ctx, c); err != nil {
		return nil, &jsonrpc2.Error{Code: codeNotDone, Message: err.Error()}
	}
	return struct{}{}, nil
}

func (l *Linker) handleEvents(rpc *jsonrpc2.Conn, params json.RawMessage) (any, error) {
	e, err := unpack(params, packer.UnpackEvents)
	if err != nil {
		return nil, err
	}
	active, ok := l.Delegator()
	if !ok {
		return nil, &jsonrpc2.Error{Code: codeNotLeading, Message: "entry does not lead"}
	}
	l.mu.Lock()
	name := l.nameOf(rpc)
	l.mu.Unlock()
	confirmed, err := active.Report(name, e)
	if err != nil {
		return nil, &jsonrpc2.Error{Code: codeNotDone, Message: err.Error()}
	}
	return eventsAnswer(confirmed), nil
}
