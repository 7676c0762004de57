package linker

import (
	"time"

	"github.com/endivelock/endivelock/internal/keeper"
)

const (
	// standbyCount is the number of entries that replicate the log in order to take
	// over. Three in different zones survive the loss of a zone and of an entry
	// elsewhere.
	standbyCount = 3
	// standbyInterval is the time after which a leader chooses its standbys anew. A
	// new standby is ready only once it has read both streams.
	standbyInterval = time.Second
)

// chooseStandbys chooses which linked entries are to be able to take over, if the
// last choice is old. The caller holds the lock.
func (l *Linker) chooseStandbys(self keeper.Identity) {
	if len(l.standbys) >= min(standbyCount, len(l.entries)) && time.Since(l.chosenAt) < standbyInterval {
		return
	}
	candidates := make([]keeper.Candidate, 0, len(l.entries))
	for name, p := range l.entries {
		candidates = append(candidates, keeper.Candidate{Name: name, Zone: p.zone, CPUShare: p.strength, ReadsLog: p.readsLog})
	}
	l.standbys, l.chosenAt = keeper.ChooseStandbys(self, candidates, l.standbys, standbyCount), time.Now()
}

// readsLog reports whether the log has answered this entry lately.
func (l *Linker) readsLog() bool {
	return time.Since(l.Viewer.Snapshot().LastRead()) <= maxReadAge
}

// ping returns the ping to the other side of a link.
func (l *Linker) ping() pingMessage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return pingMessage{Version: l.known, ReadsLog: l.readsLog()}
}
