package linker

import (
	"context"
	"maps"
	"net"

	"github.com/cockroachdb/errors"

	"github.com/endivelock/endivelock/internal/keeper"
)

// findLeader asks the other entries who leads, until one names a later leader. An
// entry that can't read the log learns of a new leader this way.
func (l *Linker) findLeader(ctx context.Context) {
	l.mu.Lock()
	known := maps.Clone(l.addresses)
	l.mu.Unlock()
	s := l.Viewer.Snapshot()
	for name, address := range known {
		if name == s.Self.Name || ctx.Err() != nil {
			continue
		}
		lead, err := l.askForLeader(ctx, address)
		if err != nil {
			l.Logger.WithField("peer", name).WithError(err).Debug("entry did not answer who leads")
			continue
		}
		if lead.Epoch > s.Lead().Epoch {
			l.Sink.Submit(keeper.LeaderLearned{Lead: lead, From: name})
			return
		}
	}
}

// askForLeader asks the entry at an address who leads.
func (l *Linker) askForLeader(ctx context.Context, address string) (keeper.LeaderRecord, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var lead keeper.LeaderRecord
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return lead, errors.Wrap(err, "dial entry")
	}
	rpc := l.connect(ctx, conn)
	defer func() { _ = rpc.Close() }()
	err = rpc.Call(ctx, methodLead, struct{}{}, &lead)
	return lead, errors.Wrap(err, "ask who leads")
}

// Known returns the number of entries whose addresses this one knows.
func (l *Linker) Known() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.addresses)
}
