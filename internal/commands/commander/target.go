package commander

// Target is the worker that a call is for, with the leader's fence and the values that
// hold for one incarnation of the worker.
type Target struct {
	Worker  string
	Address string
	Fence   int64 // the worker does nothing for a call with a lower one than it has seen
	Values  Values
}

// Values are what a call tells one incarnation of a worker: the end of the leases on its
// clock, and the number up to which it may forget its ends. Both mean nothing to another
// incarnation, so neither can be set without ValuesFor. The zero value tells nothing.
type Values struct {
	incarnation int64
	deadline    int64
	acked       int64
}

// ValuesFor returns values for an incarnation that tell nothing yet.
func ValuesFor(incarnation int64) Values { return Values{incarnation: incarnation} }

// Incarnation returns the incarnation that the values are for, 0 if they tell nothing.
func (v Values) Incarnation() int64 { return v.incarnation }

// Deadline returns the end of the leases on the worker's clock, in milliseconds; 0 leaves
// them unchanged.
func (v Values) Deadline() int64 { return v.deadline }

// Acked returns the number up to which the worker may forget its ends.
func (v Values) Acked() int64 { return v.acked }

// WithDeadline returns the values with the end of the leases. Without an incarnation they
// stay empty.
func (v Values) WithDeadline(clock int64) Values {
	if v.incarnation != 0 {
		v.deadline = clock
	}
	return v
}

// WithAcked returns the values with the number up to which ends may be forgotten. Without
// an incarnation they stay empty.
func (v Values) WithAcked(number int64) Values {
	if v.incarnation != 0 {
		v.acked = number
	}
	return v
}
