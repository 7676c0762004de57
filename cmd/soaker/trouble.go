package main

import (
	"math/rand/v2"
	"syscall"
	"time"
)

// trouble disturbs a cell and puts it right again.
type trouble struct {
	name string
	play func(s *soak, r *rand.Rand)
}

func troubles() []trouble {
	return []trouble{
		{"term", playTerm}, {"term", playTerm}, {"roll", playRoll}, {"kill", playKill}, {"freeze", playFreeze}, {"slices", playSlices}, {"jitter", playJitter},
		{"crash", playCrash}, {"gone", playGone}, {"slow store", playSlowStore}, {"store away", playStoreAway}, {"configuration", playConfiguration},
		{"odd entry", playOddEntry}, {"hup", playHup}, {"leaders, gone", playLeadersGone}, {"leaders, late", playLeadersLate},
	}
}

func (s *soak) anyEntry(r *rand.Rand) *process { return s.cell.entries[r.IntN(len(s.cell.entries))] }

func between(r *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(r.Int64N(int64(most-least)))
}

// span bounds a time that is drawn.
type span struct{ least, most time.Duration }

func (s span) draw(r *rand.Rand) time.Duration { return between(r, s.least, s.most) }

var (
	notRunning  = span{200 * time.Millisecond, 3 * time.Second} // from the end of a process to its start
	rollGap     = span{300 * time.Millisecond, 2 * time.Second} // between two entries that are stopped
	frozen      = span{300 * time.Millisecond, 4 * time.Second}
	heldBack    = span{3 * time.Second, 8 * time.Second} // how long slices and jitter last
	jitter      = span{10 * time.Millisecond, 250 * time.Millisecond}
	dark        = span{300 * time.Millisecond, 4 * time.Second} // without power
	storeDelay  = span{50 * time.Millisecond, 300 * time.Millisecond}
	storeSlow   = span{time.Second, 5 * time.Second}
	storeAway   = span{500 * time.Millisecond, 4 * time.Second}
	oddEntryFor = span{time.Second, 4 * time.Second}
)

func playTerm(s *soak, r *rand.Rand) { s.playAnyAway(r, stop) }

// stop is process.stop as the end of a process.
func stop(p *process) { _ = p.stop() }

func playKill(s *soak, r *rand.Rand) { s.playAnyAway(r, (*process).kill) }

func (s *soak) playAnyAway(r *rand.Rand, end func(*process)) {
	p := s.anyEntry(r)
	s.playAway(p, notRunning.draw(r), end)
}

// playAway ends a process and starts it again some time later.
func (s *soak) playAway(p *process, length time.Duration, end func(*process)) {
	end(p)
	_ = pause(s.ctx, length)
	s.failed(p.start())
}

// playRoll stops several entries, one soon after the other.
func playRoll(s *soak, r *rand.Rand) {
	gap := rollGap.draw(r)
	for i, at := range r.Perm(len(s.cell.entries))[:len(s.cell.entries)/2] {
		if i > 0 && pause(s.ctx, gap) != nil {
			return
		}
		p := s.cell.entries[at]
		p.stop()
		s.failed(p.start())
	}
}

func playFreeze(s *soak, r *rand.Rand) {
	p := s.anyEntry(r)
	p.signal(syscall.SIGSTOP)
	_ = pause(s.ctx, frozen.draw(r))
	p.signal(syscall.SIGCONT)
}

const (
	slice     = 100 * time.Millisecond
	sliceUsed = 40 * time.Millisecond
)

// playSlices gives each entry a part of each slice of time only, as an enforced share of
// a processor does.
func playSlices(s *soak, r *rand.Rand) {
	until := time.Now().Add(heldBack.draw(r))
	for time.Now().Before(until) && s.ctx.Err() == nil {
		for _, p := range s.cell.entries {
			p.signal(syscall.SIGSTOP)
		}
		_ = pause(s.ctx, slice-sliceUsed)
		for _, p := range s.cell.entries {
			p.signal(syscall.SIGCONT)
		}
		_ = pause(s.ctx, sliceUsed)
	}
}

// playJitter holds up single entries for a short while each.
func playJitter(s *soak, r *rand.Rand) {
	until := time.Now().Add(heldBack.draw(r))
	for time.Now().Before(until) && s.ctx.Err() == nil {
		p := s.anyEntry(r)
		p.signal(syscall.SIGSTOP)
		_ = pause(s.ctx, jitter.draw(r))
		p.signal(syscall.SIGCONT)
	}
}

// playCrash has a runner lose power and return under its id.
func playCrash(s *soak, r *rand.Rand) {
	runners := s.cell.allRunners()
	w := runners[r.IntN(len(runners))]
	s.darken(w, dark.draw(r))
}

// darken takes the power from a runner for some time.
func (s *soak) darken(w *runner, length time.Duration) {
	w.mu.Lock()
	up := w.up
	w.mu.Unlock()
	if !up {
		return
	}
	w.goDark()
	_ = pause(s.ctx, length)
	w.comeBack()
}

// playGone has a runner leave for good, and another one join.
func playGone(s *soak, r *rand.Rand) {
	runners := s.cell.allRunners()
	s.leaveForGood(r, runners[r.IntN(len(runners))])
}

func (s *soak) leaveForGood(r *rand.Rand, w *runner) {
	w.mu.Lock()
	up, kind := w.up, w.kind
	w.mu.Unlock()
	if !up {
		return
	}
	w.goDark()
	_ = pause(s.ctx, 3*heartbeat)
	s.cell.store.put("keyed.servers", w.id, nil)
	_, err := s.cell.addRunner(r.IntN(len(s.cell.allRunners())), kind, w.room, 0)
	s.failed(err)
}

func playSlowStore(s *soak, r *rand.Rand) {
	s.cell.store.disturb(storeDelay.draw(r), false)
	_ = pause(s.ctx, storeSlow.draw(r))
	s.cell.store.disturb(0, false)
}

func playStoreAway(s *soak, r *rand.Rand) {
	s.cell.store.disturb(0, true)
	_ = pause(s.ctx, storeAway.draw(r))
	s.cell.store.disturb(0, false)
}

func playConfiguration(s *soak, _ *rand.Rand) { s.cell.configure(s.queues()...) }

func playHup(s *soak, r *rand.Rand) { s.anyEntry(r).signal(syscall.SIGHUP) }

// playOddEntry has another writer leave an entry among those of the runners.
func playOddEntry(s *soak, r *rand.Rand) {
	entries := oddEntries()
	s.cell.store.putRaw("keyed.servers", "odd", entries[r.IntN(len(entries))])
	_ = pause(s.ctx, oddEntryFor.draw(r))
	s.cell.store.put("keyed.servers", "odd", nil)
}
