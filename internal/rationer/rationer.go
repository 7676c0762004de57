// Package rationer bounds how many waiting things a pass over a ranking visits in vain,
// without leaving any out for good. It does not rank them and does not judge a visit.
package rationer

import "github.com/endivelock/endivelock/internal/container"

// Effort is what one pass may spend on visits in vain. One half goes to what ranks first,
// the other to what has not had its turn, so that things that can't be served do not hold
// up all that rank behind them.
type Effort struct {
	Half  int                   // bound of each half
	Turns container.Table[bool] // visited in vain since each thing has had a turn: Left of the last pass

	spent int
	cut   bool // one was left out that has not had its turn
}

// Allows reports whether the pass may visit the thing with a key.
func (e *Effort) Allows(key string) bool {
	if e.spent < e.Half {
		return true
	}
	if e.Turns.Has(key) {
		return false
	}
	e.cut = e.cut || e.spent >= 2*e.Half
	return e.spent < 2*e.Half
}

// Cut reports whether the pass may visit nothing more.
func (e *Effort) Cut() bool { return e.cut }

// Spend counts a visit in vain.
func (e *Effort) Spend(key string) {
	e.spent++
	e.Turns = e.Turns.With(key, true)
}

// Left returns what the next pass counts as having had its turn: nothing once each thing
// has had one.
func (e *Effort) Left() container.Table[bool] {
	if e.cut {
		return e.Turns
	}
	return container.Table[bool]{}
}
