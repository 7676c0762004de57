package delegator_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/commands/delegator"
)

// lostLeader takes no events.
type lostLeader struct{}

func (lostLeader) ReportEvents(context.Context, delegator.Events) (delegator.Confirmation, error) {
	return delegator.Confirmation{}, errCut
}

// Guards against polls that go on after a deputy has stopped (CI beside load: a data race): a
// command was accepted while its session, which had lost the leader, waited for its calls.
func TestASessionThatHasEndedAcceptsNoCommands(t *testing.T) {
	logger, _ := test.NewNullLogger()
	d := &delegator.Deputy{Workers: &workers{}, Leader: lostLeader{}, Logger: logger, Polls: metrics.NilTimer{}, Orders: metrics.NilTimer{}}
	const sessions, commands = 300, 40
	for session := range int64(sessions) {
		refused := false
		for i := range commands {
			w := watch(fmt.Sprintf("w%d", i))
			err := d.Do(context.Background(), delegator.Commands{Epoch: epoch, Session: session + 1, Lease: time.Second, List: []delegator.Command{{Watch: &w}}})
			refused = refused || err != nil
			assert.Equal(t, err != nil, refused, "a command was accepted after one that was refused")
		}
		d.Wait()
	}
}
