package rationer_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/container"
	"github.com/endivelock/endivelock/internal/rationer"
)

// Guards against things that are left out for good: while none can be served, each has a
// turn within as many passes as half of the effort covers them, and the first in each pass.
func TestEachHasATurn(t *testing.T) {
	const half, things = 4, 50
	visits := map[string]int{}
	var turns container.Table[bool]
	for pass := range things/half + 1 {
		e := rationer.Effort{Half: half, Turns: turns}
		spent := 0
		for n := range things {
			if key := fmt.Sprint(n); e.Allows(key) {
				e.Spend(key)
				visits[key]++
				spent++
			}
		}
		assert.Assert(t, spent <= 2*half)
		assert.Equal(t, visits["0"], pass+1, "what ranks first is visited in each pass")
		turns = e.Left()
	}
	assert.Equal(t, len(visits), things)
}
