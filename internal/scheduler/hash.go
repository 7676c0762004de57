package scheduler

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// hash returns a hash of two strings that is the same at every entry.
func hash(a, b string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(a)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(b)
	return d.Sum64()
}

// rank orders entries for a resource by rendezvous hashing: when an entry joins
// or leaves, only the resources for which it ranks first move.
func rank(resource string, entries []EntryID) []EntryID {
	ranked := slices.Clone(entries)
	slices.SortFunc(ranked, func(a, b EntryID) int { return compareRank(resource, a, b) })
	return ranked
}

// first returns the entry that rank would put first. There must be at least one
// entry.
func first(resource string, entries []EntryID) EntryID {
	best := entries[0]
	for _, e := range entries[1:] {
		if compareRank(resource, e, best) < 0 {
			best = e
		}
	}
	return best
}

func compareRank(resource string, a, b EntryID) int {
	if c := cmp.Compare(hash(resource, b.Name), hash(resource, a.Name)); c != 0 {
		return c
	}
	return cmp.Compare(b.Incarnation, a.Incarnation)
}
