package leader_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
)

func gangOf(n int) ledger.Step {
	return ledger.Step{Count: n, Gang: true, Size: ledger.Size{CPU: 1000}}
}

// The log held up the records of a gang, and one of its workers fell silent
// meanwhile. No member starts: the others would wait for it in vain.
func TestNoMemberOfAGangStartsWithoutTheOthers(t *testing.T) {
	b := newBench(t, 3, ledger.Size{CPU: 1000, Memory: 8000})
	b.away = true
	b.submit("j", ledger.Queue{}, gangOf(3))
	b.apply(leader.Missed{Worker: "w02"})
	b.away = false
	for _, batch := range b.held {
		b.apply(leader.Committed{Batch: batch})
	}
	assert.Equal(t, b.ordered(leader.OrderStart), 0)
	b.report("w02")
	b.pass(time.Second)
	assert.Equal(t, b.ordered(leader.OrderStart), 3, "it starts as a whole once its worker answers")
}

// A worker refuses the start of a member. The others are stopped at once.
func TestAGangIsStoppedIfAMemberIsRefused(t *testing.T) {
	b := newBench(t, 3, ledger.Size{CPU: 1000, Memory: 8000})
	b.refuse = "w01"
	b.submit("j", ledger.Queue{}, gangOf(3))
	assert.Equal(t, b.ordered(leader.OrderStop), 2)
}
