package linker

import (
	"context"
	"encoding/json"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/endivelock/endivelock/internal/commands/delegator"
)

type eventsAnswer struct {
	Confirmed bool `json:"confirmed"`
}

// Command passes a batch of commands on to a linked entry.
func (l *Linker) Command(ctx context.Context, entry string, c delegator.Commands) error {
	l.mu.Lock()
	p, ok := l.entries[entry]
	l.mu.Unlock()
	if !ok {
		return errNoLeader
	}
	return p.rpc.Call(ctx, methodDo, c, nil)
}

// ReportEvents passes a batch of events on to the leader and returns whether it
// confirms this deputy.
func (l *Linker) ReportEvents(ctx context.Context, e delegator.Events) (bool, error) {
	var a eventsAnswer
	err := l.callLeader(ctx, methodEvents, e, &a)
	return a.Confirmed, err
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

func (l *Linker) handleDo(params json.RawMessage) (any, error) {
	c, err := decode[delegator.Commands](params)
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
	e, err := decode[delegator.Events](params)
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
	return eventsAnswer{confirmed}, nil
}
