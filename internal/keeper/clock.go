package keeper

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Clock is the clock of leases: how much time has passed in the cell, as far as the records
// of its leaders show. Each leader goes on from the reading that it has found in the log, so
// that times in the log mean the same to all leaders although their own clocks differ. Since
// nobody counts the time between a reading and its arrival, the clock may be late and is
// never early. The zero value is a clock that no record has shown.
type Clock struct {
	reading int64 // milliseconds
	at      time.Time
}

// firstReading is that of a clock that begins. Zero stands for no reading.
const firstReading = 1

// maxReading bounds the readings in records, some 34 years: larger ones can't be told as times.
const maxReading = 1 << 40

// checkReading returns an error if a record can't have a reading.
func checkReading(n int64) error {
	if n < 0 || n > maxReading {
		return errors.Newf("reading %d of the clock of leases is not between 0 and %d", n, int64(maxReading))
	}
	return nil
}

// NewClock returns a clock with a reading that was found at a time.
func NewClock(reading int64, at time.Time) Clock { return Clock{reading, at} }

// from returns the clock, or one that begins at a time if no record has shown it.
func (c Clock) from(t time.Time) Clock {
	if c.reading == 0 {
		return Clock{firstReading, t}
	}
	return c
}

// Reading returns the reading at a time.
func (c Clock) Reading(t time.Time) int64 { return c.reading + t.Sub(c.at).Milliseconds() }

// Deadline returns the reading that is reached at a time, not before it.
func (c Clock) Deadline(t time.Time) int64 {
	return max(firstReading, c.reading+(t.Sub(c.at)+time.Millisecond-1).Milliseconds())
}

// Time returns the time at which a reading is reached.
func (c Clock) Time(reading int64) time.Time {
	return c.at.Add(time.Duration(reading-c.reading) * time.Millisecond)
}
