package keeper

import (
	"cmp"
	"slices"
)

// ChooseRelays returns up to n of the candidates through which a leader appends while the
// log does not answer it: those that reach the log, then the strongest, whose links
// carry all records of a large cell, then those in the leader's zone. The last one that
// succeeded stays first unless others are much stronger.
func ChooseRelays(leader Identity, candidates []Candidate, last string, n int) []string {
	strongest := 0.0
	for _, c := range candidates {
		if c.ReadsLog {
			strongest = max(strongest, c.CPUShare)
		}
	}
	stays := func(c Candidate) bool { return c.Name == last && c.CPUShare >= weakRatio*strongest }
	sorted := slices.SortedFunc(slices.Values(candidates), func(a, b Candidate) int {
		return cmp.Or(
			preferTrue(stays(a), stays(b)),
			preferTrue(a.ReadsLog, b.ReadsLog),
			cmp.Compare(b.CPUShare, a.CPUShare),
			preferTrue(a.Zone == leader.Zone, b.Zone == leader.Zone),
			cmp.Compare(a.Name, b.Name),
		)
	})
	names := make([]string, min(n, len(sorted)))
	for i := range names {
		names[i] = sorted[i].Name
	}
	return names
}
