package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/scheduler"
)

// rested returns the state of an heir of a tranche and of a server with nothing
// left on it, beside a member that told its digest at a time.
func rested(d scheduler.Digest, heard time.Duration) scheduler.State {
	s := heirState([]scheduler.EntryID{id("a")}, nil)
	s = after(s, 0, ledger(6, scheduler.ClaimRecord{Resource: "tranche/0", Owner: id("b"), Line: []scheduler.EntryID{id("a")}, Found: true}))
	s = refusedTwice(s, "b")
	s = after(s, 2500*time.Millisecond, ledger(7, scheduler.ClaimRecord{Resource: "server/s", Owner: id("a"), Basis: 5, Sure: true}))
	s, polls := does[scheduler.Poll](s, 2600*time.Millisecond, scheduler.Ticked{})
	if len(polls) > 0 {
		s = after(s, 2600*time.Millisecond, scheduler.ServerPolled{Server: "s", Lost: polls[0].Lost})
	}
	d.Entry = scheduler.Entry{ID: id("c"), Zone: "z", Peer: "c:1"}
	s = after(s, heard, scheduler.DigestHeard{Digest: d})
	return after(s, 4*time.Second, scheduler.Ticked{})
}

// An inherited tranche counts again only with proof that nothing of the dead
// owner is in progress.
func TestTrancheRestsUntilAllHaveTold(t *testing.T) {
	cases := []struct {
		name   string
		digest scheduler.Digest
		heard  time.Duration
		rests  bool
	}{
		{"all is told", scheduler.Digest{Acked: 8}, 3 * time.Second, false},
		{"a member holds slots of earlier owners", scheduler.Digest{Acked: 8, Foreign: 1}, 3 * time.Second, true},
		{"a member has not read the servers' claims", scheduler.Digest{Acked: 7}, 3 * time.Second, true},
		{"a member was last heard before", scheduler.Digest{Acked: 8}, 2 * time.Second, true},
	}
	for _, c := range cases {
		s := rested(c.digest, c.heard)
		assert.Assert(t, s.Holds.Has("tranche/0"), c.name)
		assert.Equal(t, s.Rested.Len() == 1, c.rests, c.name)
	}
}

// sender returns the state of an entry without servers beside one that offers n
// slots.
func sender(n int) scheduler.State {
	s := owner(0)
	d := scheduler.Digest{Entry: scheduler.Entry{ID: id("b"), Zone: "z", Peer: "b:1", Forward: "b:2"}, Ready: true, Free: n}
	return after(s, 0, scheduler.DigestHeard{Digest: d})
}

func TestNoMoreIsForwardedThanWasOffered(t *testing.T) {
	s := sender(1)
	s, first := does[scheduler.Forward](s, 0, arrival("x"))
	assert.Equal(t, len(first), 1)
	s, second := does[scheduler.Forward](s, 0, arrival("y"))
	assert.Equal(t, len(second), 0)
	s = after(s, 0, scheduler.ForwardEnded{Request: "x", Entry: id("b")})
	s, third := does[scheduler.Forward](s, 0, arrival("z"))
	assert.Equal(t, len(third), 1)
	s = after(s, 0, scheduler.ForwardEnded{Request: "z", Refused: true, Entry: id("b")})
	_, fourth := does[scheduler.Forward](s, 0, arrival("w"))
	assert.Equal(t, len(fourth), 0)
}

func TestForwardedRequestDoesNotWaitHere(t *testing.T) {
	e := arrival("x")
	e.Request.Hops = 2
	s, refusals := does[scheduler.Refuse](owner(0), 0, e)
	assert.Equal(t, len(refusals), 1)
	assert.Equal(t, refusals[0].Reason, scheduler.ReasonNoFreeSlot)
	assert.Equal(t, s.Queue.Len(), 0)
}

// What a handover names as lost is asked about by the new owner, and so is what
// is carried for an entry that dies.
func TestLostSlotsAreAskedAboutAfterAHandover(t *testing.T) {
	for name, carried := range map[string]scheduler.Carried{
		"lost":          {Request: "r", Until: begin().Add(time.Hour), Lost: true},
		"entry is dead": {Request: "r", Until: begin().Add(time.Hour), From: id("b")},
		"entry lives":   {Request: "r", Until: begin().Add(time.Hour), From: id("c")},
	} {
		s := heirState([]scheduler.EntryID{id("a")}, nil)
		claim := scheduler.Claim{Owner: id("a"), Epoch: 5, Hand: 1}
		s = after(s, 0, scheduler.GiftReceived{Resource: "server/s", Claim: claim, Running: []scheduler.Carried{carried}})
		s = refusedTwice(s, "b")
		s = after(s, 3*time.Second, scheduler.Ticked{})
		_, polls := does[scheduler.Poll](s, 4*time.Second, scheduler.Ticked{})
		assert.Equal(t, len(polls) > 0, name != "entry lives", name)
	}
}
