package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/scheduler"
)

// startTime is the time at which the states in these tests start.
func startTime() time.Time { return time.Unix(1000, 0) }

// ownerState returns the state of an entry that owns one server with the given
// slots, one worker of 4 cores and all tranches.
func ownerState(slots int) scheduler.State {
	self := scheduler.Entry{ID: scheduler.EntryID{Name: "a", Incarnation: 1}, Zone: "z"}
	s := scheduler.New(self, scheduler.Policy{Tranches: 2}, startTime())
	s = after(s, 0, scheduler.InstancesListed{Instances: []scheduler.Instance{
		{Kind: scheduler.KindServer, Name: "s", Zone: "z", Address: "s:1", Slots: slots},
		{Kind: scheduler.KindWorker, Name: "w", Zone: "z", Address: "w:1", Size: scheduler.Size{CPU: 4}},
	}})
	s = after(s, 0, config(1, scheduler.ListRecord{List: scheduler.ListPlans, Nonce: "1", Plans: []scheduler.Plan{{Name: "p"}}}))
	s = after(s, 0, config(2, scheduler.ListRecord{List: scheduler.ListAllowances, Nonce: "2", Allowances: []scheduler.Allowance{
		{Plan: "p", Slots: 100, Size: scheduler.Size{CPU: 4}},
	}}))
	var records []scheduler.Record
	for _, resource := range []string{"server/s", "worker/w", "tranche/0", "tranche/1"} {
		records = append(records, scheduler.ClaimRecord{Resource: resource, Owner: self.ID, Acquire: true})
	}
	s = after(s, 0, ledger(1, records...))
	return after(s, 0, scheduler.WorkerReported{Worker: "w"})
}

func config(offset int64, records ...scheduler.Record) scheduler.RecordsRead {
	return read(scheduler.ConfigStream, offset, records...)
}

func ledger(offset int64, records ...scheduler.Record) scheduler.RecordsRead {
	return read(scheduler.ZoneStream("z"), offset, records...)
}

func read(stream string, offset int64, records ...scheduler.Record) scheduler.RecordsRead {
	e := scheduler.RecordsRead{Stream: stream, First: 1, Next: offset + 1, Tail: true}
	for _, r := range records {
		e.Records = append(e.Records, scheduler.ReadRecord{Offset: offset, Record: r})
	}
	return e
}

func after(s scheduler.State, at time.Duration, e scheduler.Event) scheduler.State {
	s, _ = s.Apply(e, startTime().Add(at))
	return s
}

// effectsOf returns the state after an event and its effects of one type.
func effectsOf[T scheduler.Effect](s scheduler.State, at time.Duration, e scheduler.Event) (scheduler.State, []T) {
	s, effects := s.Apply(e, startTime().Add(at))
	var found []T
	for _, effect := range effects {
		if wanted, ok := effect.(T); ok {
			found = append(found, wanted)
		}
	}
	return s, found
}

func arrival(id string) scheduler.RequestArrived {
	return scheduler.RequestArrived{Request: scheduler.Request{ID: id, Plan: "p", Deadline: startTime().Add(time.Minute)}}
}

func TestSlotsAreNeverExceeded(t *testing.T) {
	s := ownerState(2)
	placed := 0
	for i := range 5 {
		var places []scheduler.Place
		s, places = effectsOf[scheduler.Place](s, 0, arrival(fmt.Sprint(i)))
		placed += len(places)
	}
	assert.Equal(t, placed, 2)
	assert.Equal(t, s.Queue.Len(), 3)
	s, places := effectsOf[scheduler.Place](s, 0, scheduler.RequestEnded{Request: "0", End: scheduler.ExchangeComplete})
	assert.Equal(t, len(places), 1)
	assert.Equal(t, places[0].Request, "2")
	assert.Equal(t, s.FreeSlots(), 0)
}

func TestRefusals(t *testing.T) {
	late := scheduler.Request{ID: "x", Plan: "p", Deadline: startTime()}
	cases := []struct {
		name    string
		state   scheduler.State
		request scheduler.Request
		want    scheduler.Reason
	}{
		{"no configuration", scheduler.New(scheduler.Entry{}, scheduler.Policy{}, startTime()), arrival("x").Request, scheduler.ReasonNotReady},
		{"unknown plan", ownerState(1), scheduler.Request{ID: "x", Plan: "q", Deadline: startTime().Add(time.Second)}, scheduler.ReasonNoPlan},
		{"deadline passed", ownerState(1), late, scheduler.ReasonDeadline},
		{"draining", after(ownerState(0), 0, scheduler.DrainStarted{}), arrival("x").Request, scheduler.ReasonDraining},
	}
	for _, c := range cases {
		_, refusals := effectsOf[scheduler.Refuse](c.state, 0, scheduler.RequestArrived{Request: c.request})
		assert.Equal(t, len(refusals), 1, c.name)
		assert.Equal(t, refusals[0].Reason, c.want, c.name)
	}
}

func TestWaitInQueueIsBounded(t *testing.T) {
	s := after(ownerState(0), 0, arrival("x"))
	s, refusals := effectsOf[scheduler.Refuse](s, time.Second, scheduler.Ticked{})
	assert.Equal(t, len(refusals), 0)
	_, refusals = effectsOf[scheduler.Refuse](s, 3*time.Second, scheduler.Ticked{})
	assert.Equal(t, len(refusals), 1)
	assert.Equal(t, refusals[0].Reason, scheduler.ReasonQueueTimeout)
}

func TestLeavingServerGetsNoNewRequests(t *testing.T) {
	for _, m := range []scheduler.Mark{scheduler.MarkLeave, scheduler.MarkStop} {
		s := after(ownerState(2), 0, config(3, scheduler.MarkRecord{Instance: "s", Mark: m}))
		_, places := effectsOf[scheduler.Place](s, 0, arrival("x"))
		assert.Equal(t, len(places), 0, string(m))
	}
}

// A broken exchange keeps its slot and its share of the plan's allowance until the
// server can no longer be working on it.
func TestBrokenExchangeKeepsItsSlot(t *testing.T) {
	s := after(ownerState(1), 0, arrival("x"))
	s = after(s, 0, scheduler.RequestEnded{Request: "x", End: scheduler.ExchangeBroken})
	assert.Equal(t, s.FreeSlots(), 0)
	used, _ := s.SlotsUsed.Get("p")
	assert.Equal(t, used, 1)
	s = after(s, time.Minute, scheduler.Ticked{})
	assert.Equal(t, s.FreeSlots(), 1)
	assert.Equal(t, s.SlotsUsed.Len(), 0)
}

// Regression test (stateful fuzz test, seed 1461): if a server with two lost
// requests reports one busy slot, the request that expires last must be kept.
func TestPollFreesTheLostRequestThatExpiresFirst(t *testing.T) {
	s := after(ownerState(2), 0, arrival("early"))
	s = after(s, 0, arrival("late"))
	s = after(s, 0, scheduler.RequestEnded{Request: "early", End: scheduler.ExchangeBroken})
	s = after(s, 10*time.Second, scheduler.RequestEnded{Request: "late", End: scheduler.ExchangeBroken})
	s, polls := effectsOf[scheduler.PollServer](s, 11*time.Second, scheduler.Ticked{})
	assert.Equal(t, len(polls), 1)
	s = after(s, 11*time.Second, scheduler.ServerPolled{Server: "s", Busy: 1, Lost: polls[0].Lost})
	s = after(s, 35*time.Second, scheduler.Ticked{})
	assert.Equal(t, s.FreeSlots(), 1, "the request that expires at 40 s may still run")
}

func TestUnsentRequestIsDecidedAgain(t *testing.T) {
	s := after(ownerState(1), 0, arrival("x"))
	s, places := effectsOf[scheduler.Place](s, 0, scheduler.RequestEnded{Request: "x", End: scheduler.ExchangeUnsent})
	assert.Equal(t, len(places), 1)
	v, _ := s.Servers.Get("s")
	assert.Equal(t, v.Failures, 1)
	assert.Equal(t, v.Busy, 1)
}

func TestStatesAreImmutable(t *testing.T) {
	s := ownerState(1)
	before := s.FreeSlots()
	_ = after(s, 0, arrival("x"))
	assert.Equal(t, s.FreeSlots(), before)
	assert.Equal(t, s.Requests.Len(), 0)
}

func TestStandingRequestIsNotBoundedByTheRequestLimit(t *testing.T) {
	e := arrival("feed")
	e.Request.Standing = true
	s, places := effectsOf[scheduler.Place](ownerState(1), 0, e)
	assert.Assert(t, places[0].Until.After(startTime().Add(24*time.Hour)))
	s = after(s, time.Hour, scheduler.Ticked{})
	assert.Equal(t, s.FreeSlots(), 0)
}

// A server that no request could reach for a long time was ranked before all others once its
// failures no longer fitted into the score.
func TestAServerIsNeverPreferredForItsFailures(t *testing.T) {
	for _, failures := range []int{0, 1 << 20, 1<<23 - 1, 1<<24 - 1, 1 << 40} {
		s := after(ownerState(4), 0, scheduler.InstancesListed{Instances: []scheduler.Instance{
			{Kind: scheduler.KindServer, Name: "s", Zone: "z", Address: "s:1", Slots: 4},
			{Kind: scheduler.KindServer, Name: "t", Zone: "z", Address: "t:1", Slots: 4},
		}})
		s = after(s, 0, ledger(2, scheduler.ClaimRecord{Resource: "server/t", Owner: s.Self.ID, Acquire: true}))
		s, places := effectsOf[scheduler.Place](s, 0, arrival("x"))
		assert.Equal(t, places[0].Server, "s")
		v, _ := s.Servers.Get("s")
		s.Servers = s.Servers.With("s", v.WithFailures(failures))
		_, places = effectsOf[scheduler.Place](s, 0, scheduler.RequestEnded{Request: "x", End: scheduler.ExchangeUnsent})
		assert.Equal(t, len(places), 1)
		assert.Equal(t, places[0].Server, "t", "after %d failures", failures+1)
	}
}
