package container

import (
	"iter"
	"strings"

	"github.com/benbjohnson/immutable"
)

// Ranking is a persistent set of names ordered by score, and by name among equal
// scores. The first names are found without a scan of the others. The zero value
// is empty.
type Ranking struct {
	scores Table[int64]
	order  *immutable.SortedMap[rankKey, struct{}]
}

type rankKey struct {
	score int64
	name  string
}

type rankOrder struct{}

var _ immutable.Comparer[rankKey] = rankOrder{}

// Compare orders keys by score, then by name.
func (rankOrder) Compare(a, b rankKey) int {
	if a.score != b.score {
		if a.score < b.score {
			return -1
		}
		return 1
	}
	return strings.Compare(a.name, b.name)
}

// Len returns the number of names.
func (r Ranking) Len() int { return r.scores.Len() }

// Has reports whether a name is in the ranking.
func (r Ranking) Has(name string) bool { return r.scores.Has(name) }

// Score returns the score of a name.
func (r Ranking) Score(name string) (int64, bool) { return r.scores.Get(name) }

// With returns a ranking in which name has the given score.
func (r Ranking) With(name string, score int64) Ranking {
	old, ok := r.scores.Get(name)
	if ok && old == score {
		return r
	}
	if r.order == nil {
		r.order = immutable.NewSortedMap[rankKey, struct{}](rankOrder{})
	}
	if ok {
		r.order = r.order.Delete(rankKey{old, name})
	}
	r.order = r.order.Set(rankKey{score, name}, struct{}{})
	r.scores = r.scores.With(name, score)
	return r
}

// Without returns a ranking that lacks name.
func (r Ranking) Without(name string) Ranking {
	old, ok := r.scores.Get(name)
	if !ok {
		return r
	}
	r.order = r.order.Delete(rankKey{old, name})
	r.scores = r.scores.Without(name)
	return r
}

// First returns the name with the lowest score.
func (r Ranking) First() (string, bool) {
	for name := range r.From(-1 << 63) {
		return name, true
	}
	return "", false
}

// From iterates over the names whose score is at least least, in order.
func (r Ranking) From(least int64) iter.Seq2[string, int64] {
	return func(yield func(string, int64) bool) {
		if r.order == nil {
			return
		}
		it := r.order.Iterator()
		it.Seek(rankKey{score: least})
		for !it.Done() {
			key, _, _ := it.Next()
			if !yield(key.name, key.score) {
				return
			}
		}
	}
}
