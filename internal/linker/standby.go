package linker

import (
	"slices"
	"time"

	"github.com/endivelock/endivelock/internal/keeper"
)

const (
	// minStandbys is the number of entries that replicate the log in order to take
	// over, if there are as many. Three in different zones survive the loss of a zone
	// and of an entry elsewhere. Up to maxStandbys do where enough strong entries reach
	// the log, so that small cells survive any loss without reading everything anew.
	minStandbys, maxStandbys = 3, 8
	// standbyInterval is the time after which a leader chooses its standbys anew. A
	// new standby is ready only once it has read both streams.
	standbyInterval = time.Second
)

// chooseStandbys chooses which linked entries are to be able to take over, if the
// last choice is old. The caller holds the lock.
func (l *Linker) chooseStandbys(self keeper.Identity) {
	if len(l.standbys) >= min(minStandbys, len(l.entries)) && time.Since(l.chosenAt) < standbyInterval {
		return
	}
	l.standbys, l.chosenAt = keeper.ChooseStandbys(self, l.candidates(), l.standbys, minStandbys, maxStandbys), time.Now()
}

// candidates returns the linked entries. The caller holds the lock.
func (l *Linker) candidates() []keeper.Candidate {
	candidates := make([]keeper.Candidate, 0, len(l.entries))
	for name, p := range l.entries {
		candidates = append(candidates, keeper.Candidate{Name: name, Zone: p.zone, CPUShare: p.strength, ReadsLog: p.readsLog})
	}
	return candidates
}

// Standbys returns the sorted names of the entries that are to be able to take over
// from this one, as last determined.
func (l *Linker) Standbys() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Sorted(slices.Values(l.standbys))
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
