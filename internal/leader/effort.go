package leader

import "github.com/endivelock/endivelock/internal/container"

// effort bounds how many steps a placement pass visits in vain. One half goes to the steps
// that rank first, the other to those that have not had their turn, so that steps that
// cannot be placed do not hold up all that rank behind them.
type effort struct {
	half  int
	spent int
	turns container.Table[bool] // steps visited in vain since each step has had a turn
	cut   bool                  // a step was left out that has not had its turn
}

// allows reports whether the pass may visit a step.
func (e *effort) allows(key string) bool {
	if e.spent < e.half {
		return true
	}
	if e.turns.Has(key) {
		return false
	}
	e.cut = e.cut || e.spent >= 2*e.half
	return e.spent < 2*e.half
}

// spend counts a step that was visited in vain.
func (e *effort) spend(key string) {
	e.spent++
	e.turns = e.turns.With(key, true)
}

// left returns the steps that the next pass counts as having had their turn: none once each
// step has had one.
func (e *effort) left() container.Table[bool] {
	if e.cut {
		return e.turns
	}
	return container.Table[bool]{}
}
