package scheduler

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// hash mixes two strings into a number that is the same at every entry.
func hash(a, b string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(a)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(b)
	return d.Sum64()
}

// rank orders entries for a resource by rendezvous hashing: when an entry
// comes or goes, only the resources that it wins or held change place.
func rank(resource string, entries []EntryID) []EntryID {
	ranked := slices.Clone(entries)
	slices.SortFunc(ranked, func(a, b EntryID) int {
		x, y := hash(resource, a.Name), hash(resource, b.Name)
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		case a.Incarnation > b.Incarnation:
			return -1
		default:
			return 1
		}
	})
	return ranked
}
