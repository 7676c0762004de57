package commander_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/endivelock/endivelock/internal/classifier"
	"github.com/endivelock/endivelock/internal/commands/commander"
	"github.com/endivelock/endivelock/internal/leader"
)

// Guards against ends that a restarted worker forgets unread: a poll with a new fence and the
// acknowledgements of the earlier incarnation was executed late, and the new incarnation had
// been accepted with the same fence.
func TestNoPollThatRaisesTheFenceTellsValues(t *testing.T) {
	w := &workers{report: leader.Report{Incarnation: 1, Clock: 1000}}
	c, _ := start(t, w, time.Now)
	awaitPolls(t, w, 3)
	w.still.Store(true) // so that the worker answers after its silence before the fence rises
	w.set(leader.Report{}, &classifier.Error{Kind: classifier.Unanswered})
	awaitPolls(t, w, 2)
	w.set(leader.Report{Incarnation: 1, Clock: 2000}, nil)
	polls := awaitValues(t, w, 1)
	shown := polls[len(polls)-1].Fence

	c.Acknowledge(leader.Acknowledge{Worker: "w", Incarnation: 1, Number: 57})
	w.set(leader.Report{Incarnation: 1, Clock: 3000}, nil)
	w.still.Store(false)
	for _, to := range awaitValues(t, w, 3) {
		if to.Values != (commander.Values{}) {
			assert.Assert(t, to.Fence <= shown, "a poll with fence %d tells values; the worker has answered those up to %d", to.Fence, shown)
		}
		shown = max(shown, to.Fence)
	}
}

// awaitValues waits until n polls that tell values were made since the last set, and returns
// all polls since then.
func awaitValues(t *testing.T, w *workers, n int) []commander.Target {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		polls, _ := w.seen()
		telling := 0
		for _, to := range polls {
			if to.Values != (commander.Values{}) {
				telling++
			}
		}
		if telling >= n {
			return poll.Success()
		}
		return poll.Continue("%d of %d polls tell values", telling, len(polls))
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(5*time.Millisecond))
	polls, _ := w.seen()
	return polls
}
