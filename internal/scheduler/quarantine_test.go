package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/scheduler"
)

// quarantinedState returns the state of an entry that took over a tranche and an
// idle server, after a digest of another member was received at a time.
func quarantinedState(d scheduler.Digest, heard time.Duration) scheduler.State {
	s := successorState([]scheduler.EntryID{id("a")}, nil)
	s = after(s, 0, ledger(6, scheduler.ClaimRecord{Resource: "tranche/0", Owner: id("b"), Successors: []scheduler.EntryID{id("a")}, Acquire: true}))
	s = refusedTwice(s, "b")
	s = after(s, 2500*time.Millisecond, ledger(7, scheduler.ClaimRecord{Resource: "server/s", Owner: id("a"), Basis: 5, Held: true}))
	s, polls := effectsOf[scheduler.PollServer](s, 2600*time.Millisecond, scheduler.Ticked{})
	if len(polls) > 0 {
		s = after(s, 2600*time.Millisecond, scheduler.ServerPolled{Server: "s", Lost: polls[0].Lost})
	}
	d.Entry = scheduler.Entry{ID: id("c"), Zone: "z", Peer: "c:1"}
	s = after(s, heard, scheduler.DigestReceived{Digest: d})
	return after(s, 4*time.Second, scheduler.Ticked{})
}

// A taken-over tranche is usable again only with proof that no request of the dead
// owner is in progress.
func TestQuarantineEndsWhenAllMembersHaveReported(t *testing.T) {
	cases := []struct {
		name        string
		digest      scheduler.Digest
		heard       time.Duration
		quarantined bool
	}{
		{"all members have reported", scheduler.Digest{Acked: 8}, 3 * time.Second, false},
		{"a member holds slots of earlier owners", scheduler.Digest{Acked: 8, Foreign: 1}, 3 * time.Second, true},
		{"a member has not read the servers' claims", scheduler.Digest{Acked: 7}, 3 * time.Second, true},
		{"the last digest of a member is not later than the takeover", scheduler.Digest{Acked: 8}, 2 * time.Second, true},
	}
	for _, c := range cases {
		s := quarantinedState(c.digest, c.heard)
		assert.Assert(t, s.Holds.Has("tranche/0"), c.name)
		assert.Equal(t, s.Quarantined.Len() == 1, c.quarantined, c.name)
	}
}

// forwardingState returns the state of an entry without free slots next to a member
// that offers n slots.
func forwardingState(n int) scheduler.State {
	s := ownerState(0)
	d := scheduler.Digest{Entry: scheduler.Entry{ID: id("b"), Zone: "z", Peer: "b:1", Forward: "b:2"}, Ready: true, Free: n}
	return after(s, 0, scheduler.DigestReceived{Digest: d})
}

func TestNoMoreIsForwardedThanWasOffered(t *testing.T) {
	s := forwardingState(1)
	s, first := effectsOf[scheduler.Forward](s, 0, arrival("x"))
	assert.Equal(t, len(first), 1)
	s, second := effectsOf[scheduler.Forward](s, 0, arrival("y"))
	assert.Equal(t, len(second), 0)
	s = after(s, 0, scheduler.ForwardEnded{Request: "x", Entry: id("b")})
	s, third := effectsOf[scheduler.Forward](s, 0, arrival("z"))
	assert.Equal(t, len(third), 1)
	s = after(s, 0, scheduler.ForwardEnded{Request: "z", Refused: true, Entry: id("b")})
	_, fourth := effectsOf[scheduler.Forward](s, 0, arrival("w"))
	assert.Equal(t, len(fourth), 0)
}

func TestForwardedRequestDoesNotWaitHere(t *testing.T) {
	e := arrival("x")
	e.Request.Hops = 2
	s, refusals := effectsOf[scheduler.Refuse](ownerState(0), 0, e)
	assert.Equal(t, len(refusals), 1)
	assert.Equal(t, refusals[0].Reason, scheduler.ReasonNoFreeSlot)
	assert.Equal(t, s.Queue.Len(), 0)
}

// The new owner of a server polls it for requests that the handover names as lost,
// and for carried requests of an entry that died.
func TestLostSlotsArePolledAfterAHandover(t *testing.T) {
	for name, carried := range map[string]scheduler.CarriedRequest{
		"lost":          {Request: "r", Until: startTime().Add(time.Hour), Lost: true},
		"entry is dead": {Request: "r", Until: startTime().Add(time.Hour), From: id("b")},
		"entry lives":   {Request: "r", Until: startTime().Add(time.Hour), From: id("c")},
	} {
		s := successorState([]scheduler.EntryID{id("a")}, nil)
		claim := scheduler.Claim{Owner: id("a"), Epoch: 5, Handovers: 1}
		s = after(s, 0, scheduler.HandoverReceived{Resource: "server/s", Claim: claim, Running: []scheduler.CarriedRequest{carried}})
		s = refusedTwice(s, "b")
		s = after(s, 3*time.Second, scheduler.Ticked{})
		_, polls := effectsOf[scheduler.PollServer](s, 4*time.Second, scheduler.Ticked{})
		assert.Equal(t, len(polls) > 0, name != "entry lives", name)
	}
}
