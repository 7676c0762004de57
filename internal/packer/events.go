package packer

import (
	"time"

	"github.com/endivelock/endivelock/internal/commands/delegator"
	"github.com/endivelock/endivelock/internal/leader"
)

// Kinds of events.
const (
	report = iota + 1
	failed
	answer
)

// Events packs a batch of events. The times of answers are left out, as the leader
// dates them itself.
func Events(e delegator.Events) []byte {
	w := newWriter()
	w.number(e.Epoch)
	w.number(e.Session)
	packList(w, e.List, (*writer).event)
	return w.data
}

func (w *writer) event(e delegator.Event) {
	switch {
	case e.Report != nil:
		w.count(report)
		w.number(int64(e.Sent))
		w.name(e.Report.Worker)
		w.number(e.Report.Deadline)
		w.number(e.Report.Silence)
		w.report(e.Report.Report)
	case e.Failed != nil:
		w.count(failed)
		w.name(e.Failed.Worker)
		w.number(e.Failed.Incarnation)
		w.number(e.Failed.Deadline)
		w.number(e.Failed.Silence)
	case e.Answer != nil:
		w.count(answer)
		w.name(e.Answer.Worker)
		w.name(string(e.Answer.Kind))
		w.task(e.Answer.Task)
		w.number(int64(e.Answer.Run))
		w.number(int64(e.Answer.Outcome))
	}
}

func (w *writer) report(p leader.Report) {
	w.flag(p.Partial)
	w.number(p.Incarnation)
	w.number(p.Clock)
	packList(w, p.Running, (*writer).run)
	packList(w, p.Ended, (*writer).runEnd)
}

func (w *writer) run(run leader.RunStatus) {
	w.text(run.Task)
	w.number(int64(run.Number))
	w.text(run.Checkpoint)
	w.number(int64(run.Percent))
	w.number(int64(run.Measurement))
}

func (w *writer) runEnd(end leader.RunEnd) {
	w.number(end.Number)
	w.text(end.Task)
	w.number(int64(end.Run))
	w.name(string(end.Kind))
	w.text(end.Checkpoint)
}

// UnpackEvents unpacks a batch of events. The error is ErrMalformed.
func UnpackEvents(data []byte) (delegator.Events, error) {
	r := &reader{data: data}
	e := delegator.Events{Epoch: r.number(), Session: r.number()}
	e.List = list(r, (*reader).event)
	return e, r.end()
}

func (r *reader) event() delegator.Event {
	switch r.unsigned() {
	case report:
		sent := time.Duration(r.number())
		return delegator.Event{Sent: sent, Report: &delegator.Report{Worker: r.name(), Deadline: r.number(), Silence: r.number(), Report: r.report()}}
	case failed:
		return delegator.Event{Failed: &leader.PollFailed{Worker: r.name(), Incarnation: r.number(), Deadline: r.number(), Silence: r.number()}}
	case answer:
		return delegator.Event{Answer: &leader.OrderAnswered{
			Worker: r.name(), Kind: leader.OrderKind(r.name()), Task: r.task(), Run: r.integer(), Outcome: leader.Outcome(r.integer()),
		}}
	}
	r.fail()
	return delegator.Event{}
}

func (r *reader) report() leader.Report {
	return leader.Report{
		Partial: r.flag(), Incarnation: r.number(), Clock: r.number(), Running: list(r, (*reader).run), Ended: list(r, (*reader).runEnd),
	}
}

func (r *reader) run() leader.RunStatus {
	return leader.RunStatus{Task: r.text(), Number: r.integer(), Checkpoint: r.text(), Percent: r.integer(), Measurement: r.integer()}
}

func (r *reader) runEnd() leader.RunEnd {
	return leader.RunEnd{Number: r.number(), Task: r.text(), Run: r.integer(), Kind: leader.EndKind(r.name()), Checkpoint: r.text()}
}
