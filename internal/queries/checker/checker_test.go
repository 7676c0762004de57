package checker_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/ledger"
	"github.com/endivelock/endivelock/internal/queries/checker"
	"github.com/endivelock/endivelock/internal/router"
)

func route(name, prefix string) router.Route {
	return router.Route{Host: "a.example", Prefix: prefix, Queue: ledger.Queue{Name: name, Service: "s"}}
}

// The order of routes and of keys has no meaning; routes of the same name are told apart.
func TestCompareRoutesOfOneName(t *testing.T) {
	one := router.Config{Routes: []router.Route{route("x", "/1"), route("x", "/2"), route("y", "/3")}}
	two := router.Config{Routes: []router.Route{route("y", "/3"), route("x", "/1")}}
	assert.Equal(t, len(checker.Compare(one, one)), 0)
	assert.DeepEqual(t, checker.Compare(one, two), []checker.Difference{{Change: checker.Removed, List: "routes", Name: "x"}})
	assert.DeepEqual(t, checker.Compare(two, one), []checker.Difference{{Change: checker.Added, List: "routes", Name: "x"}})
}

// A longer prefix leaves requests to a shorter one, and one with a service is sound.
func TestCheckLongerPrefix(t *testing.T) {
	c := router.Config{
		Routes: []router.Route{route("x", "/"), route("y", "/1/"), route("z", "")}, Services: []router.Service{{Name: "s"}},
		Limits: router.Limits{HeaderTimeout: 1, IdleTimeout: 1},
	}
	assert.Equal(t, len(checker.Check(c, checker.Bounds{})), 0)
}

// The same version with another meaning is a finding only if there is such a difference.
func TestCheckAgainstTheSameVersion(t *testing.T) {
	one := router.Config{Version: 3, Routes: []router.Route{route("x", "/1")}}
	two := router.Config{Version: 3, Routes: []router.Route{route("x", "/2")}}
	assert.Equal(t, len(checker.CheckAgainst(one, one)), 0)
	assert.DeepEqual(t, checker.CheckAgainst(one, two), []checker.Finding{{Severity: checker.Warning, Place: "version", Text: "3 is the version in force, which differs"}})
}
