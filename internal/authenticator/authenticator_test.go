package authenticator_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/authenticator"
	"github.com/endivelock/endivelock/internal/ledger"
	"github.com/endivelock/endivelock/internal/router"
)

const (
	revoke = 5 * time.Second
	apply  = 3 * time.Second
	sent   = time.Hour // when the read was sent that confirmed the configuration
)

func workspace(name string, keys ...string) router.Workspace {
	w := router.Workspace{Workspace: ledger.Workspace{Name: name}}
	for _, key := range keys {
		w.Keys = append(w.Keys, router.Hash(key))
	}
	return w
}

func reading(workspaces ...router.Workspace) authenticator.Reading {
	return authenticator.Reading{}.WithConfig(router.Config{Version: 4, Workspaces: workspaces}).WithConfirmation(sent)
}

func TestDecisionsByKeyAndAge(t *testing.T) {
	two := reading(workspace("a", "a1", "a2"), workspace("b", "b1"), workspace("none"))
	unconfirmed := authenticator.Reading{}.WithConfig(router.Config{Workspaces: []router.Workspace{workspace("a", "a1")}})
	strict := authenticator.Policy{Revoke: revoke, Apply: apply}
	for _, c := range []struct {
		name    string
		reading authenticator.Reading
		policy  authenticator.Policy
		key     string
		public  bool
		age     time.Duration
		want    authenticator.Verdict
		owner   string
	}{
		{"first key", two, strict, "a1", false, 0, authenticator.Admitted, "a"},
		{"second key", two, strict, "a2", false, 0, authenticator.Admitted, "a"},
		{"other workspace", two, strict, "b1", false, 0, authenticator.Admitted, "b"},
		{"known, between apply and revoke", two, strict, "a1", false, 4 * time.Second, authenticator.Admitted, "a"},
		{"known, before the margin", two, strict, "a1", false, 4899 * time.Millisecond, authenticator.Admitted, "a"},
		{"known, within the margin", two, strict, "a1", false, 4900 * time.Millisecond, authenticator.Undecided, ""},
		{"known, after a suspension", two, strict, "a1", false, time.Hour, authenticator.Undecided, ""},
		{"known, revocations without a bound", two, authenticator.Policy{Apply: apply}, "a1", false, time.Hour, authenticator.Admitted, "a"},
		{"unknown, recent", two, strict, "x", false, 2939 * time.Millisecond, authenticator.Unknown, ""},
		{"unknown, not recent", two, strict, "x", false, 2940 * time.Millisecond, authenticator.Undecided, ""},
		{"unknown, no bounds", two, authenticator.Policy{}, "x", false, time.Hour, authenticator.Unknown, ""},
		{"no key", two, strict, "", false, 0, authenticator.Unknown, ""},
		{"public", two, strict, "", true, time.Hour, authenticator.Admitted, ""},
		{"public, with a key", two, strict, "a1", true, 0, authenticator.Admitted, ""},
		{"never confirmed", unconfirmed, strict, "a1", false, 0, authenticator.Undecided, ""},
		{"no workspaces", reading(), strict, "x", false, time.Hour, authenticator.Admitted, ""},
		{"no configuration", authenticator.Reading{}, strict, "a1", true, 0, authenticator.Undecided, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			var key router.KeyHash
			if c.key != "" {
				key = router.Hash(c.key)
			}
			got := c.reading.Judge(c.policy, key, c.public, sent+c.age)
			assert.Equal(t, got.Verdict, c.want)
			assert.Equal(t, got.Workspace.Name, c.owner)
		})
	}
}

// An entry judges keys exactly as long as it would serve them; without workspaces it always does.
func TestReadingsThatJudge(t *testing.T) {
	strict := authenticator.Policy{Revoke: revoke, Apply: apply}
	two := reading(workspace("a", "a1"))
	assert.Assert(t, two.Judges(strict, sent+4899*time.Millisecond))
	assert.Assert(t, !two.Judges(strict, sent+4900*time.Millisecond))
	assert.Assert(t, two.Judges(authenticator.Policy{}, sent+time.Hour))
	assert.Assert(t, reading().Judges(strict, sent+time.Hour))
	assert.Assert(t, !authenticator.Reading{}.Judges(strict, sent))
	assert.Equal(t, authenticator.Reading{}.Age(sent).Milliseconds(), int64(-1))
}

// The next version takes effect with its keys, at the age of the last one until a read
// confirms it. The last version is unchanged.
func TestNextVersion(t *testing.T) {
	strict := authenticator.Policy{Revoke: revoke, Apply: apply}
	first := reading(workspace("a", "moves", "goes"), workspace("b"))
	next := first.WithConfig(router.Config{Version: 5, Workspaces: []router.Workspace{workspace("a"), workspace("b", "moves")}})
	assert.Equal(t, first.Judge(strict, router.Hash("moves"), false, sent).Workspace.Name, "a")
	moved := next.Judge(strict, router.Hash("moves"), false, sent+time.Second)
	assert.Equal(t, moved.Workspace.Name, "b")
	assert.Equal(t, moved.Version, int64(5))
	assert.Equal(t, moved.Age, time.Second)
	assert.Equal(t, next.Judge(strict, router.Hash("goes"), false, sent).Verdict, authenticator.Unknown)
	assert.Equal(t, next.Age(sent+revoke), revoke)
	assert.Equal(t, next.WithConfirmation(sent+revoke).Age(sent+revoke), time.Duration(0))
	assert.Equal(t, next.WithConfirmation(sent-revoke).Age(sent), time.Duration(0), "an older read doesn't make it older")
}
