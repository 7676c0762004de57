package container_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/container"
)

// drain returns the items of a queue in order.
func drain(q container.Queue[int]) []int {
	var items []int
	for {
		n, ok := q.First()
		if !ok {
			return items
		}
		items = append(items, n)
		q = q.WithoutFirst()
	}
}

func TestQueuesKeepTheirOrder(t *testing.T) {
	var q container.Queue[int]
	assert.Equal(t, len(drain(q)), 0)
	next, first := 0, 0
	for round := range 50 {
		for range round % 7 {
			q = q.With(next)
			next++
			last, ok := q.Last()
			assert.Assert(t, ok && last == next-1)
		}
		for range min(round%5, q.Len()) {
			n, ok := q.First()
			assert.Assert(t, ok && n == first)
			q = q.WithoutFirst()
			first++
		}
		assert.Equal(t, q.Len(), next-first)
	}
	assert.Equal(t, len(drain(q)), next-first)
}

// Two queues that grew from the same one must not see each other's items.
func TestQueuesShareNoItemsAddedLater(t *testing.T) {
	base := container.Queue[int]{}.With(1).With(2).With(3).WithoutFirst()
	a, b := base.With(10), base.With(20)
	assert.DeepEqual(t, drain(a), []int{2, 3, 10})
	assert.DeepEqual(t, drain(b), []int{2, 3, 20})
	assert.DeepEqual(t, drain(base), []int{2, 3})
}

// With a slow log, thousands of actions wait for their records, and more come with
// every event. What each costs must not rise with how many wait.
func BenchmarkQueueWithABacklog(b *testing.B) {
	var q container.Queue[int]
	for n := range 10_000 {
		q = q.With(n)
	}
	b.ResetTimer()
	for n := range b.N {
		q = q.With(n).WithoutFirst()
	}
}
