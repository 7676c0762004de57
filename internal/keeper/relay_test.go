package keeper_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/keeper"
)

// Load pattern: the log turns the leader of a large cell away and all its records, some
// megabytes a second, go through another entry. A weak one has a link that they fill, so
// that every start waits for a second.
func TestALeaderRelaysThroughStrongEntriesThatReachTheLog(t *testing.T) {
	leader := keeper.Identity{Name: "l", Zone: "a", CPUShare: 0.8}
	weak := keeper.Candidate{Name: "weak", Zone: "a", CPUShare: 0.2, ReadsLog: true}
	cut := keeper.Candidate{Name: "cut", Zone: "a", CPUShare: 0.8}
	far := keeper.Candidate{Name: "far", Zone: "b", CPUShare: 0.8, ReadsLog: true}
	near := keeper.Candidate{Name: "near", Zone: "a", CPUShare: 0.8, ReadsLog: true}
	for name, c := range map[string]struct {
		candidates []keeper.Candidate
		last       string
		want       []string
	}{
		"strong and near first": {[]keeper.Candidate{weak, far, cut, near}, "", []string{"near", "far", "weak"}},
		"the last one stays":    {[]keeper.Candidate{near, far, cut}, "far", []string{"far", "near", "cut"}},
		"unless it is weak":     {[]keeper.Candidate{near, weak}, "weak", []string{"near", "weak"}},
		"the last one, cut off": {[]keeper.Candidate{cut, weak}, "cut", []string{"cut", "weak"}},
		"nobody":                {nil, "gone", []string{}},
	} {
		t.Run(name, func(t *testing.T) {
			assert.DeepEqual(t, keeper.ChooseRelays(leader, c.candidates, c.last, 3), c.want)
		})
	}
}
