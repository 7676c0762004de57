package packer

import (
	"time"

	"github.com/endivelock/endivelock/internal/commands/delegator"
	"github.com/endivelock/endivelock/internal/leader"
)

// Kinds of commands.
const (
	watch = iota + 1
	unwatch
	poll
	acknowledge
	order
	renew
)

// Commands packs a batch of commands.
func Commands(c delegator.Commands) []byte {
	w := newWriter()
	w.number(c.Epoch)
	w.number(c.Session)
	w.number(int64(c.Lease))
	w.number(c.Fence)
	packList(w, c.List, (*writer).command)
	return w.data
}

func (w *writer) command(c delegator.Command) {
	switch {
	case c.Watch != nil:
		w.count(watch)
		w.name(c.Watch.Worker)
		w.name(c.Watch.Address)
		w.name(c.Watch.Zone)
		w.number(c.Watch.Floor)
		w.number(c.Watch.Watch)
	case c.Unwatch != "":
		w.count(unwatch)
		w.name(c.Unwatch)
	case c.Poll != "":
		w.count(poll)
		w.name(c.Poll)
	case c.Renew != nil:
		w.count(renew)
		w.name(c.Renew.Worker)
		w.number(c.Renew.Silence)
	case c.Ack != nil:
		w.count(acknowledge)
		w.name(c.Ack.Worker)
		w.number(c.Ack.Incarnation)
		w.number(c.Ack.Number)
	case c.Order != nil:
		w.count(order)
		w.order(*c.Order)
	}
}

func (w *writer) order(o leader.Order) {
	w.name(o.Worker)
	w.name(o.Address)
	w.number(o.Incarnation)
	w.number(o.Silence)
	w.name(string(o.Kind))
	w.task(o.Task)
	w.number(int64(o.Run))
	w.name(o.Spec)
	w.name(o.Checkpoint)
	w.text(o.Ticket)
	w.number(int64(o.SpeedPercent))
}

// UnpackCommands unpacks a batch of commands. The error is ErrMalformed.
func UnpackCommands(data []byte) (delegator.Commands, error) {
	r := &reader{data: data}
	c := delegator.Commands{Epoch: r.number(), Session: r.number(), Lease: time.Duration(r.number()), Fence: r.number()}
	c.List = list(r, (*reader).command)
	return c, r.end()
}

func (r *reader) command() delegator.Command {
	switch r.unsigned() {
	case watch:
		return delegator.Command{Watch: &leader.StartPolling{Worker: r.name(), Address: r.name(), Zone: r.name(), Floor: r.number(), Watch: r.number()}}
	case unwatch:
		return delegator.Command{Unwatch: r.worker()}
	case poll:
		return delegator.Command{Poll: r.worker()}
	case acknowledge:
		return delegator.Command{Ack: &leader.Acknowledge{Worker: r.name(), Incarnation: r.number(), Number: r.number()}}
	case renew:
		return delegator.Command{Renew: &leader.Renew{Worker: r.name(), Silence: r.number()}}
	case order:
		return delegator.Command{Order: r.order()}
	}
	r.fail()
	return delegator.Command{}
}

// worker reads the name of a worker, which must not be empty.
func (r *reader) worker() string {
	name := r.name()
	if name == "" {
		r.fail()
	}
	return name
}

func (r *reader) order() *leader.Order {
	return &leader.Order{
		Worker: r.name(), Address: r.name(), Incarnation: r.number(), Silence: r.number(), Kind: leader.OrderKind(r.name()), Task: r.task(), Run: r.integer(),
		Spec: r.name(), Checkpoint: r.name(), Ticket: r.text(), SpeedPercent: r.integer(),
	}
}
