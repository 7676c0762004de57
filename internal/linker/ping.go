package linker

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/endivelock/endivelock/internal/keeper"
)

// keepAlive pings the other side until a ping fails, the connection is lost or
// the context ends, and closes the connection. Pings are needed because a
// connection may go silent without an error.
func (l *Linker) keepAlive(ctx context.Context, rpc *jsonrpc2.Conn) {
	defer func() { _ = rpc.Close() }()
	for {
		pause := time.NewTimer(pingInterval)
		select {
		case <-ctx.Done():
			pause.Stop()
			return
		case <-rpc.DisconnectNotify():
			pause.Stop()
			return
		case <-pause.C:
		}
		bounded, cancel := context.WithTimeout(ctx, pingTimeout)
		var pong pongMessage
		err := rpc.Call(bounded, methodPing, l.ping(), &pong)
		cancel()
		if err != nil {
			return
		}
		l.handlePong(pong)
	}
}

// handlePong processes the answer to a ping: who leads, and the addresses of the
// other entries.
func (l *Linker) handlePong(pong pongMessage) {
	l.reportLead(pong.Lead, "ping response")
	if pong.Standby == nil {
		return
	}
	l.Sink.Submit(keeper.StandbysLearned{Epoch: pong.Lead.Epoch, Standby: *pong.Standby})
	l.Sink.Submit(keeper.PeersSeen{MaxCPUShare: pong.Strongest})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaderReadsLog = pong.ReadsLog
	if len(pong.Peers) == 0 {
		return
	}
	l.addresses, l.known = pong.Peers, pong.Version
}

// handlePing answers with who leads. A leader adds the addresses of all linked
// entries, so that they can find a new leader without the log.
func (l *Linker) handlePing(rpc *jsonrpc2.Conn, params json.RawMessage) (any, error) {
	m, err := decode[pingMessage](params)
	if err != nil {
		return nil, err
	}
	s := l.Viewer.Snapshot()
	if s.Role() != keeper.Leading {
		return pongMessage{Lead: s.Lead()}, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	sender := l.nameOf(rpc)
	if p, ok := l.entries[sender]; ok {
		p.readsLog = m.ReadsLog
		l.entries[sender] = p
	}
	l.chooseStandbys(s.Self)
	standby := slices.Contains(l.standbys, sender)
	pong := pongMessage{Standby: &standby, Version: l.version, Strongest: l.strongest(s.Self), ReadsLog: l.readsLog(), Lead: s.Lead()}
	if m.Version == l.version {
		return pong, nil
	}
	pong.Peers = make(map[string]string, len(l.entries))
	for name, p := range l.entries {
		pong.Peers[name] = p.address
	}
	return pong, nil
}
