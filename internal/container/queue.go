package container

import "slices"

// Queue is a persistent queue. Adding and removing an item cost the same however long
// the queue is. The zero value is empty.
type Queue[T any] struct {
	front []T      // the first items; never changed, since other queues may share them
	back  *node[T] // the others, the last one first
	size  int
}

type node[T any] struct {
	item   T
	before *node[T]
}

// Len returns the number of items.
func (q Queue[T]) Len() int { return q.size }

// First returns the first item, if there is one.
func (q Queue[T]) First() (T, bool) {
	if len(q.front) == 0 {
		var zero T
		return zero, false
	}
	return q.front[0], true
}

// Last returns the last item, if there is one.
func (q Queue[T]) Last() (T, bool) {
	switch {
	case q.back != nil:
		return q.back.item, true
	case len(q.front) > 0:
		return q.front[len(q.front)-1], true
	}
	var zero T
	return zero, false
}

// With returns a queue with an item added at its end.
func (q Queue[T]) With(item T) Queue[T] {
	q.size++
	if len(q.front) == 0 {
		q.front = []T{item}
		return q
	}
	q.back = &node[T]{item, q.back}
	return q
}

// WithoutFirst returns a queue that lacks the first item. The queue must not be empty.
func (q Queue[T]) WithoutFirst() Queue[T] {
	q.size--
	q.front = q.front[1:]
	if len(q.front) > 0 || q.back == nil {
		return q
	}
	q.front = make([]T, 0, q.size)
	for n := q.back; n != nil; n = n.before {
		q.front = append(q.front, n.item)
	}
	slices.Reverse(q.front)
	q.back = nil
	return q
}
