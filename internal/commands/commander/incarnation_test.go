package commander_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/endivelock/endivelock/internal/commands/commander"
	"github.com/endivelock/endivelock/internal/leader"
)

const (
	// rounds is how often the scripts of one check are drawn.
	rounds = 20
	// shortPause and longPause bound the pauses between events. The short ones let several fall
	// between two polls.
	shortPause = 30 * time.Millisecond
	longPause  = 700 * time.Millisecond
	// longestRestart bounds the time between a crash and the next incarnation.
	longestRestart = 900 * time.Millisecond
	// longestDelay bounds the time after which a call is executed late.
	longestDelay = 12 * time.Second
	// calm is long enough for all late calls to be executed and for the worker to be heard.
	calm = 20 * time.Second
)

// newModel returns a commander of a model worker. Its fence rises with the heartbeats of a
// leader.
func newModel(ctx context.Context) (*model, *follower) {
	return newModelConfirmed(ctx, time.Second, time.Now)
}

// newModelConfirmed is like newModel, for a leader that the log last confirmed at a time, and
// that renews leases for as long after it.
func newModelConfirmed(ctx context.Context, renewal time.Duration, confirmed func() time.Time) (*model, *follower) {
	logger, _ := test.NewNullLogger()
	m := &model{}
	m.begin(longUptime)
	f := &follower{model: m}
	began := time.Now()
	f.commander = &commander.Commander{
		Workers: m, Sink: f, Logger: logger, Epoch: 7, Lease: lease, Renewal: renewal, LastConfirmed: confirmed,
		Fence: func() int64 { return 7 + int64(time.Since(began)/(200*time.Millisecond)) },
		Polls: metrics.NilTimer{}, Orders: metrics.NilTimer{},
	}
	f.commander.Start(ctx)
	f.commander.Watch(leader.StartPolling{Worker: "w", Address: "a"})
	return m, f
}

// drawFate draws what becomes of a call: most are executed and answered.
func drawFate(t *rapid.T) fate {
	f := fate{executed: true, answered: true}
	switch rapid.IntRange(0, 9).Draw(t, "fate") {
	case 6:
		f.executed, f.answered = false, false // lost
	case 7:
		f.answered = false // its answer is lost
	case 8:
		f.executed, f.answered = false, false
		f.again = duration(t, "late", time.Millisecond, longestDelay)
	case 9:
		f.again = duration(t, "doubled", time.Millisecond, longestDelay)
	}
	return f
}

// duration draws whole milliseconds.
func duration(t *rapid.T, what string, least, most time.Duration) time.Duration {
	return time.Duration(rapid.Int64Range(least.Milliseconds(), most.Milliseconds()).Draw(t, what)) * time.Millisecond
}

// Kinds of events of a script.
const (
	restart = iota
	pollNow
	orders     // and above: an order
	eventKinds = orders + 3
)

// event is something that happens after a pause.
type event struct {
	pause time.Duration
	kind  int
	dark  time.Duration // of a restart
}

// script is what happens to a worker and to the calls to it.
type script struct {
	fates  []fate
	events []event
}

func drawScript(t *rapid.T) script {
	return script{
		fates: rapid.SliceOfN(rapid.Custom(drawFate), 0, 150).Draw(t, "fates"),
		events: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) event {
			return event{
				pause: duration(t, "pause", 0, rapid.SampledFrom([]time.Duration{shortPause, longPause}).Draw(t, "most")),
				kind:  rapid.IntRange(0, eventKinds-1).Draw(t, "kind"),
				dark:  duration(t, "dark", 0, longestRestart),
			}
		}), 1, 60).Draw(t, "events"),
	}
}

// Guards against calls that another incarnation of a worker executes than the one that they
// are for (review/3: done tasks ran again; review/4: leases an hour too long). Restarts take
// any time; calls are lost before or after they are executed, executed late, or twice.
func TestNoIncarnationReceivesTheValuesOfAnotherOne(t *testing.T) { checkPlays(t, drawScript, play) }

// checkPlays checks that nothing is broken in plays of drawn scripts.
func checkPlays[S any](t *testing.T, draw func(*rapid.T) S, play func(S) *model) {
	for range rounds {
		rapid.Check(t, func(rt *rapid.T) {
			s := draw(rt)
			var m *model
			synctest.Test(t, func(*testing.T) { m = play(s) })
			assert.DeepEqual(rt, m.broken, []string(nil))
		})
	}
}

// play plays a script, and then a calm time in which the last incarnation must be heard and
// execute an order. It returns what was broken in the model.
func play(s script) *model {
	ctx, cancel := context.WithCancel(context.Background())
	m, f := newModel(ctx)
	defer f.commander.Wait()
	defer cancel()
	m.setFates(s.fates)
	for _, e := range s.events {
		time.Sleep(e.pause)
		switch e.kind {
		case restart:
			m.crash()
			time.Sleep(e.dark)
			m.begin(0)
		case pollNow:
			f.commander.Poll(leader.PollNow{Worker: "w"})
		default:
			f.order()
		}
	}
	m.setFates(nil)
	time.Sleep(calm)
	before := f.executed()
	f.order()
	time.Sleep(time.Second)
	if f.executed() != before+1 {
		m.violate("an order in a calm cell is not executed")
	}
	if heard := f.heard(); heard != m.current.number {
		m.violate("incarnation %d is there, %d was heard", m.current.number, heard)
	}
	m.crash() // the poll in flight fails, and tells the deadline that it carried
	time.Sleep(time.Second)
	m.checkLeases()
	return m
}
