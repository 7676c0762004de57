package packer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/commands/delegator"
	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
	"github.com/endivelock/endivelock/internal/packer"
)

func task(index int) ledger.TaskID {
	return ledger.TaskID{Job: "0123456789abcdef", Step: 1, Index: index}
}

// orders returns a batch of n starts of one job's tasks.
func orders(n int) delegator.Commands {
	c := delegator.Commands{Epoch: 7, Session: 2, Lease: 3 * time.Second, Fence: 40}
	for i := range n {
		c.List = append(c.List, delegator.Command{Order: &leader.Order{
			Worker: fmt.Sprintf("w%d", i), Address: "10.0.0.1:80", Incarnation: 1 << 41, Silence: 1<<24 | 1, Kind: leader.OrderStart, Task: task(i), Run: 2, Spec: "a spec of some length", Ticket: "t",
		}})
	}
	return c
}

func commands() delegator.Commands {
	c := orders(2)
	c.List = append(c.List,
		delegator.Command{Watch: &leader.StartPolling{Worker: "w1", Address: "10.0.0.1:80", Zone: "a", Floor: 39}},
		delegator.Command{Unwatch: "w1"}, delegator.Command{Poll: "w0"},
		delegator.Command{Ack: &leader.Acknowledge{Worker: "w1", Incarnation: -3, Number: 1 << 40}},
		delegator.Command{Order: &leader.Order{Worker: "w0", Kind: leader.OrderThrottle, Task: task(0), Run: 2, SpeedPercent: 40, Checkpoint: "saved"}},
	)
	return c
}

func events() delegator.Events {
	return delegator.Events{Epoch: 7, Session: 2, List: []delegator.Event{
		{Sent: time.Second, Report: &delegator.Report{Worker: "w0", Deadline: 1234, Report: leader.Report{
			Partial: true, Incarnation: 5, Clock: 99,
			Running: []leader.RunStatus{{Task: task(1).String(), Number: 1, Checkpoint: "saved", Percent: 30, Measurement: -1}},
			Ended:   []leader.RunEnd{{Number: 4, Task: task(2).String(), Run: 3, Kind: leader.EndFailed, Checkpoint: "saved"}},
		}}},
		{Failed: &leader.PollFailed{Worker: "w1", Incarnation: 7, Deadline: 12}},
		{Answer: &leader.OrderAnswered{Worker: "w1", Kind: leader.OrderStop, Task: task(3), Run: 1, Outcome: leader.StaleRun}},
	}}
}

func TestBatchesAreUnpackedAsTheyWere(t *testing.T) {
	c, err := packer.UnpackCommands(packer.Commands(commands()))
	assert.NilError(t, err)
	assert.DeepEqual(t, c, commands())
	e, err := packer.UnpackEvents(packer.Events(events()))
	assert.NilError(t, err)
	assert.DeepEqual(t, e, events())
	e, err = packer.UnpackEvents(packer.Events(delegator.Events{Epoch: 1, Session: 1}))
	assert.NilError(t, err)
	assert.DeepEqual(t, e, delegator.Events{Epoch: 1, Session: 1})
}

// A batch that was cut short, or that goes on behind its end, must be an error as a
// whole: a part of its orders would count as all of them.
func TestTruncatedBatchesAreErrors(t *testing.T) {
	packed := packer.Commands(commands())
	for n := range packed {
		_, err := packer.UnpackCommands(packed[:n])
		assert.ErrorIs(t, err, packer.ErrMalformed, "%d bytes", n)
	}
	_, err := packer.UnpackCommands(append(packed, 0))
	assert.ErrorIs(t, err, packer.ErrMalformed)
	packed = packer.Events(events())
	for n := range packed {
		_, err := packer.UnpackEvents(packed[:n])
		assert.ErrorIs(t, err, packer.ErrMalformed, "%d bytes", n)
	}
}

func FuzzCommands(f *testing.F) {
	f.Add(packer.Commands(commands()))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := packer.UnpackCommands(data)
		if err != nil {
			return
		}
		again, err := packer.UnpackCommands(packer.Commands(c))
		assert.NilError(t, err)
		assert.DeepEqual(t, again, c)
	})
}

func FuzzEvents(f *testing.F) {
	f.Add(packer.Events(events()))
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := packer.UnpackEvents(data)
		if err != nil {
			return
		}
		again, err := packer.UnpackEvents(packer.Events(e))
		assert.NilError(t, err)
		assert.DeepEqual(t, again, e)
	})
}

func BenchmarkOrders(b *testing.B) {
	c := orders(30)
	for range b.N {
		if _, err := packer.UnpackCommands(packer.Commands(c)); err != nil {
			b.Fatal(err)
		}
	}
}
