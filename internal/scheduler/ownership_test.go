package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/scheduler"
)

func id(name string) scheduler.EntryID { return scheduler.EntryID{Name: name, Incarnation: 1} }

// successorState returns the state of entry a in a zone where b owns a server with
// the given successors and displaced entries.
func successorState(line, over []scheduler.EntryID) scheduler.State {
	s := scheduler.New(scheduler.Entry{ID: id("a"), Zone: "z"}, scheduler.Policy{Tranches: 1}, startTime())
	s = after(s, 0, scheduler.InstancesListed{Instances: []scheduler.Instance{
		{Kind: scheduler.KindServer, Name: "s", Zone: "z", Address: "s:1", Slots: 2},
		{Kind: scheduler.KindEntry, Name: "b", Zone: "z", Address: "b:1"},
		{Kind: scheduler.KindEntry, Name: "c", Zone: "z", Address: "c:1"},
	}})
	for _, name := range []string{"b", "c"} {
		s = after(s, 0, scheduler.DigestReceived{Digest: scheduler.Digest{Entry: scheduler.Entry{ID: id(name), Zone: "z", Peer: name + ":1"}, Ready: true}})
	}
	return after(s, 0, ledger(5, scheduler.ClaimRecord{Resource: "server/s", Owner: id("b"), Successors: line, Displaced: over, Acquire: true}))
}

// refusedTwice returns the state after two refused connections, which prove the
// death of an entry.
func refusedTwice(s scheduler.State, name string) scheduler.State {
	s = after(s, time.Second, scheduler.PeerRefused{Entry: id(name)})
	return after(s, 2*time.Second, scheduler.PeerRefused{Entry: id(name)})
}

func TestTakeoverNeedsProofOfDeath(t *testing.T) {
	a, c := id("a"), id("c")
	cases := []struct {
		name  string
		state scheduler.State
		want  bool
	}{
		{"silence alone", after(successorState([]scheduler.EntryID{a}, nil), 10*time.Second, scheduler.Ticked{}), false},
		{"one refusal", after(successorState([]scheduler.EntryID{a}, nil), time.Second, scheduler.PeerRefused{Entry: id("b")}), false},
		{"two refusals at once", after(after(successorState([]scheduler.EntryID{a}, nil), time.Second, scheduler.PeerRefused{Entry: id("b")}), time.Second, scheduler.PeerRefused{Entry: id("b")}), false},
		{"two refusals apart", refusedTwice(successorState([]scheduler.EntryID{a}, nil), "b"), true},
		{"a successor ahead of it is alive", refusedTwice(successorState([]scheduler.EntryID{c, a}, nil), "b"), false},
		{"the successor ahead of it is dead, too", refusedTwice(refusedTwice(successorState([]scheduler.EntryID{c, a}, nil), "b"), "c"), true},
		{"a displaced entry has not read the claim", refusedTwice(successorState([]scheduler.EntryID{a, c}, []scheduler.EntryID{c}), "b"), false},
		{"not a successor", refusedTwice(successorState([]scheduler.EntryID{c}, nil), "b"), false},
	}
	for _, x := range cases {
		s := after(x.state, 12*time.Second, scheduler.Ticked{})
		assert.Equal(t, s.HoldsServer("s"), x.want, x.name)
	}
}

func TestNewIncarnationProvesDeath(t *testing.T) {
	s := successorState([]scheduler.EntryID{id("a")}, nil)
	again := scheduler.Entry{ID: scheduler.EntryID{Name: "b", Incarnation: 2}, Zone: "z", Peer: "b:1"}
	s = after(s, time.Second, scheduler.DigestReceived{Digest: scheduler.Digest{Entry: again}})
	s = after(s, time.Second, scheduler.Ticked{})
	assert.Assert(t, s.HoldsServer("s"))
}

func TestTakeoverCountsAllSlotsAsBusy(t *testing.T) {
	s := refusedTwice(successorState([]scheduler.EntryID{id("a")}, nil), "b")
	assert.Assert(t, s.HoldsServer("s"))
	assert.Equal(t, s.FreeSlots(), 0)
	s, polls := effectsOf[scheduler.PollServer](s, 3*time.Second, scheduler.Ticked{})
	assert.Equal(t, len(polls), 1)
	s = after(s, 3*time.Second, scheduler.ServerPolled{Server: "s", Busy: 1, Lost: polls[0].Lost})
	assert.Equal(t, s.FreeSlots(), 1)
}

func TestClaimOfUnownedResourceTakesEffectWhenReadBack(t *testing.T) {
	s := successorState([]scheduler.EntryID{id("a")}, nil)
	s, appends := effectsOf[scheduler.Append](s, 20*time.Second, scheduler.Ticked{})
	assert.Assert(t, len(appends) > 0)
	assert.Assert(t, !s.Holds.Has("tranche/0"))
	record := appends[0].Records[0].(scheduler.ClaimRecord)
	rival := record
	rival.Owner = id("c")
	lost := after(s, 20*time.Second, ledger(6, rival, record))
	assert.Assert(t, !lost.Holds.Has("tranche/0"))
	won := after(s, 20*time.Second, ledger(6, record, rival))
	assert.Assert(t, won.Holds.Has("tranche/0"))
}

func TestHandoverIsAppliedOnce(t *testing.T) {
	s := successorState([]scheduler.EntryID{id("a")}, nil)
	claim := scheduler.Claim{Owner: id("a"), Epoch: 5, Handovers: 1}
	handover := scheduler.HandoverReceived{From: scheduler.Entry{ID: id("b")}, Resource: "server/s", Claim: claim, Running: []scheduler.CarriedRequest{{Request: "r", Until: startTime().Add(time.Minute)}}}
	s = after(s, time.Second, handover)
	assert.Assert(t, s.HoldsServer("s"))
	assert.Equal(t, s.FreeSlots(), 1)
	s = after(s, time.Second, handover)
	assert.Equal(t, s.FreeSlots(), 1)
	s = after(s, time.Second, scheduler.CarriedEnded{Server: "s", Request: "r"})
	assert.Equal(t, s.FreeSlots(), 2)
}

func TestConfigurationRacesAreDecidedByTheLog(t *testing.T) {
	first := scheduler.ListRecord{List: scheduler.ListPlans, Basis: 1, Nonce: "first", Plans: []scheduler.Plan{{Name: "p"}, {Name: "q"}}}
	second := scheduler.ListRecord{List: scheduler.ListPlans, Basis: 1, Nonce: "second", Plans: []scheduler.Plan{{Name: "r"}}}
	s := after(ownerState(1), 0, config(3, first))
	s = after(s, 0, config(4, second))
	assert.Equal(t, s.Config.PlansVersion, int64(3))
	won, _ := s.Config.Edit("first")
	lost, _ := s.Config.Edit("second")
	assert.Assert(t, won.Accepted && !lost.Accepted)
	s = after(s, 0, config(2, second))
	assert.Equal(t, s.Config.Offset, int64(3), "an older offset must not apply")
}

func TestSnapshotServesALateReader(t *testing.T) {
	c := ownerState(1).Config
	s := scheduler.New(scheduler.Entry{ID: id("n"), Zone: "z"}, scheduler.Policy{}, startTime())
	s = after(s, 0, config(9, scheduler.SnapshotRecord{Config: c}))
	assert.Equal(t, s.Config.Offset, c.Offset)
	assert.Assert(t, s.Configured())
}

// Regression test (stateful fuzz test): a taken-over tranche was handed over during
// its quarantine and used at once, beyond the allowance.
func TestHandoverKeepsTheQuarantineOfATranche(t *testing.T) {
	s := successorState([]scheduler.EntryID{id("a")}, nil)
	claim := scheduler.ClaimRecord{Resource: "tranche/0", Owner: id("b"), Successors: []scheduler.EntryID{id("a"), id("c")}, Acquire: true}
	s = refusedTwice(after(s, 0, ledger(6, claim)), "b")
	assert.Assert(t, s.Holds.Has("tranche/0"))
	digest := scheduler.Digest{Entry: scheduler.Entry{ID: id("c"), Zone: "z", Peer: "c:1"}, Ready: true}
	s = after(s, 3*time.Second, scheduler.DigestReceived{Digest: digest})
	_, handovers := effectsOf[scheduler.SendHandover](s, 3*time.Second, scheduler.DrainStarted{})
	for _, g := range handovers {
		if g.Resource == "tranche/0" {
			assert.Equal(t, len(g.Running), 1)
			assert.Assert(t, g.Running[0].Until.After(startTime().Add(s.Policy.RequestLimit)))
			return
		}
	}
	t.Fatal("the tranche was not handed over")
}

// A handover that an owner sent before it died may arrive after the takeover. It
// must not clear what the dead owner may have left behind.
func TestLateHandoverFromADeadOwnerIsIgnored(t *testing.T) {
	s := refusedTwice(successorState([]scheduler.EntryID{id("a")}, nil), "b")
	claim := scheduler.Claim{Owner: id("a"), Epoch: 5, Handovers: 1}
	s = after(s, 3*time.Second, scheduler.HandoverReceived{From: scheduler.Entry{ID: id("b")}, Resource: "server/s", Claim: claim})
	assert.Equal(t, s.FreeSlots(), 0)
}

// Regression test (kill -9 of all entries in turn): the message that a carried
// request ended arrived before the handover of its server, and its slot stayed in
// use for a minute.
func TestEndOfACarriedRequestFollowsTheHandover(t *testing.T) {
	s := successorState([]scheduler.EntryID{id("a")}, nil)
	claim := scheduler.Claim{Owner: id("a"), Epoch: 5, Handovers: 1, Successors: []scheduler.EntryID{id("c")}}
	tranche := scheduler.Claim{Owner: id("a"), Epoch: 5, Handovers: 1}
	s = after(s, 0, config(1, scheduler.ListRecord{List: scheduler.ListPlans, Nonce: "1", Plans: []scheduler.Plan{{Name: "p"}}}))
	s = after(s, 0, config(2, scheduler.ListRecord{List: scheduler.ListAllowances, Nonce: "2", Allowances: []scheduler.Allowance{{Plan: "p", Slots: 9}}}))
	s = after(s, 0, scheduler.HandoverReceived{Resource: "tranche/0", Claim: tranche})
	s = after(s, 0, scheduler.HandoverReceived{Resource: "server/s", Claim: claim})
	s, places := effectsOf[scheduler.Place](s, 0, arrival("x"))
	assert.Equal(t, len(places), 1)
	s, handovers := effectsOf[scheduler.SendHandover](s, time.Second, scheduler.DrainStarted{})
	assert.Equal(t, len(handovers), 1)
	s, early := effectsOf[scheduler.ReleaseSlot](s, time.Second, scheduler.RequestEnded{Request: "x", End: scheduler.ExchangeComplete})
	assert.Equal(t, len(early), 0)
	_, late := effectsOf[scheduler.ReleaseSlot](s, time.Second, scheduler.HandoverConfirmed{Resource: "server/s", To: id("c")})
	assert.Equal(t, len(late), 1)
	assert.Equal(t, late[0].Request, "x")
}

// A slot stayed in use for a minute if its request ended while the server was being handed over
// for a second time: neither of the two later owners took note of the end.
func TestEndOfACarriedRequestFollowsASecondHandover(t *testing.T) {
	s := successorState([]scheduler.EntryID{id("a")}, nil)
	claim := scheduler.Claim{Owner: id("a"), Epoch: 5, Handovers: 1, Successors: []scheduler.EntryID{id("c")}}
	carried := scheduler.CarriedRequest{Request: "x", From: id("b"), Until: startTime().Add(time.Minute)}
	s = after(s, 0, scheduler.HandoverReceived{Resource: "server/s", Claim: claim, Running: []scheduler.CarriedRequest{carried}})
	s, handovers := effectsOf[scheduler.SendHandover](s, time.Second, scheduler.DrainStarted{})
	assert.Equal(t, len(handovers), 1)
	assert.Equal(t, handovers[0].Running[0].Request, "x")
	for range 2 { // also if the end is reported again
		s = after(s, time.Second, scheduler.CarriedEnded{Server: "s", Request: "x"})
	}
	s = after(s, time.Second, scheduler.CarriedEnded{Server: "s", Request: "not handed over"})
	_, late := effectsOf[scheduler.ReleaseSlot](s, time.Second, scheduler.HandoverConfirmed{Resource: "server/s", To: id("c")})
	assert.Equal(t, len(late), 1)
	assert.Equal(t, late[0].Request, "x")
}
