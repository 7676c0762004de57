// Package packer packs the batches that a leader and its deputies exchange into a
// compact binary form. They are the bulk of what a leader reads and writes besides the
// log; as nested JSON, each task costs it more to decode than to schedule.
//
// A batch is a sequence of integers in the variable-length form of encoding/binary
// and of texts, each its length and its bytes. A name is a text that may recur: 0 and
// the text where it occurs first, afterwards its number among the batch's names, from 1.
package packer

import (
	"encoding/binary"
	"math"

	"github.com/cockroachdb/errors"

	"github.com/endivelock/endivelock/internal/ledger"
)

// ErrMalformed is the error of a batch that cannot be unpacked.
var ErrMalformed = errors.New("batch is malformed")

// writer packs one batch.
type writer struct {
	data  []byte
	names map[string]uint64
}

func newWriter() *writer { return &writer{names: map[string]uint64{}} }

func (w *writer) number(n int64) { w.data = binary.AppendVarint(w.data, n) }

func (w *writer) count(n int) { w.data = binary.AppendUvarint(w.data, uint64(n)) }

func (w *writer) text(s string) {
	w.count(len(s))
	w.data = append(w.data, s...)
}

func (w *writer) name(s string) {
	if known, ok := w.names[s]; ok {
		w.data = binary.AppendUvarint(w.data, known)
		return
	}
	w.names[s] = uint64(len(w.names)) + 1
	w.count(0)
	w.text(s)
}

// packList packs a list with a function for its items.
func packList[T any](w *writer, items []T, pack func(*writer, T)) {
	w.count(len(items))
	for _, item := range items {
		pack(w, item)
	}
}

func (w *writer) flag(set bool) {
	n := 0
	if set {
		n = 1
	}
	w.count(n)
}

func (w *writer) task(id ledger.TaskID) {
	w.name(string(id.Job))
	w.number(int64(id.Round))
	w.number(int64(id.Step))
	w.number(int64(id.Index))
}

// reader unpacks one batch. After a malformed part, all that follows reads as zero.
type reader struct {
	data   []byte
	names  []string
	failed bool
}

// fail ends the reading.
func (r *reader) fail() { r.data, r.failed = nil, true }

func (r *reader) number() int64 { return next(r, binary.Varint) }

func (r *reader) unsigned() uint64 { return next(r, binary.Uvarint) }

// next reads an integer with a function that returns it and its length, which is not
// positive if it is malformed.
func next[N int64 | uint64](r *reader, decode func([]byte) (N, int)) N {
	n, size := decode(r.data)
	if size <= 0 {
		r.fail()
		return 0
	}
	r.data = r.data[size:]
	return n
}

// integer reads a number that is small enough for an int on every platform.
func (r *reader) integer() int {
	n := r.number()
	if n < math.MinInt32 || n > math.MaxInt32 {
		r.fail()
		return 0
	}
	return int(n)
}

// count reads the length of a text or list. Each of its items takes a byte at least,
// so that a longer one than what is left is malformed.
func (r *reader) count() int {
	n := r.unsigned()
	if n > uint64(len(r.data)) {
		r.fail()
		return 0
	}
	return int(n)
}

func (r *reader) text() string {
	n := r.count()
	s := string(r.data[:n])
	r.data = r.data[n:]
	return s
}

func (r *reader) name() string {
	known := r.unsigned()
	switch {
	case known > uint64(len(r.names)):
		r.fail()
		return ""
	case known > 0:
		return r.names[known-1]
	}
	s := r.text()
	r.names = append(r.names, s)
	return s
}

func (r *reader) flag() bool { return r.unsigned() == 1 }

func (r *reader) task() ledger.TaskID {
	return ledger.TaskID{Job: ledger.ID(r.name()), Round: r.integer(), Step: r.integer(), Index: r.integer()}
}

// list reads a list, at most as far as it is well-formed.
func list[T any](r *reader, item func(*reader) T) []T {
	n := r.count()
	if n == 0 {
		return nil
	}
	items := make([]T, 0, min(n, maxPrepared))
	for range n {
		if r.failed {
			break
		}
		items = append(items, item(r))
	}
	return items
}

// maxPrepared bounds the items that memory is prepared for, since a malformed length
// may be as large as the batch.
const maxPrepared = 1024

// end returns the error of the reading: all of the batch must have been read.
func (r *reader) end() error {
	if r.failed || len(r.data) > 0 {
		return ErrMalformed
	}
	return nil
}
