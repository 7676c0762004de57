package leader_test

import (
	"runtime"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
)

// Load pattern: a burst of quotes on a cell that recalculations nearly fill. Two seconds
// after it, quotes are served in time again.
func TestQuotesAreInTimeAfterABurst(t *testing.T) {
	load := mixedLoad(184, 0.7)
	load.queues[0].burst = burst{from: 5 * time.Second, until: 8 * time.Second, factor: 4}
	c := newSimulatedCell(3, load)
	c.countFrom, c.countUntil = 10*time.Second, 16*time.Second
	c.run(20 * time.Second)
	quotes := c.results["quote"]
	assert.Assert(t, quotes.jobs > 30, "%+v", quotes)
	assert.Assert(t, float64(quotes.inAim) >= 0.8*float64(quotes.jobs), "%+v", quotes)
}

// Load pattern: recalculations fill the cell and more of them wait. Quotes, which come
// unevenly, find room nevertheless, since a preemption would make them late.
func TestQuotesFindRoomInAFullCell(t *testing.T) {
	var quotes cellResult
	for seed := range uint64(3) {
		c := newSimulatedCell(seed+1, mixedLoad(184, 1))
		c.countFrom, c.countUntil = 8*time.Second, 20*time.Second
		c.run(24 * time.Second)
		quotes.jobs, quotes.inAim = quotes.jobs+c.results["quote"].jobs, quotes.inAim+c.results["quote"].inAim
	}
	assert.Assert(t, quotes.jobs > 300, "%+v", quotes)
	assert.Assert(t, float64(quotes.inAim) >= 0.9*float64(quotes.jobs), "%+v", quotes)
}

// Load pattern: the leader's processor is scarcer than the room at the workers, and a
// burst of recalculations takes more of it than there is. What can wait waits; quotes,
// for which the processor suffices, are in time.
func TestQuotesAreInTimeWhileTheProcessorIsScarce(t *testing.T) {
	var quotes cellResult
	for seed := range uint64(4) {
		load := mixedLoad(184, 0.4)
		load.queues[0].stretch, load.lasting, load.eventTime = 2.5, 0, 1100*time.Microsecond
		load.queues[1].burst = burst{from: 5 * time.Second, until: 9 * time.Second, factor: 20}
		c := newSimulatedCell(seed+1, load)
		c.countFrom, c.countUntil = 6*time.Second, 16*time.Second
		c.run(20 * time.Second)
		quotes.jobs, quotes.inAim = quotes.jobs+c.results["quote"].jobs, quotes.inAim+c.results["quote"].inAim
	}
	assert.Assert(t, quotes.jobs > 120, "%+v", quotes)
	assert.Assert(t, float64(quotes.inAim) >= 0.8*float64(quotes.jobs), "%+v", quotes)
}

// Load pattern: the log is slow, so that the starts of thousands of recorded runs wait
// for it while jobs keep coming. What a job costs must not rise with how many wait: with
// a hundred times as many, it may use twice the memory.
func TestJobsCostNoMoreWhileTheLogIsSlow(t *testing.T) {
	few, many := bytesPerJob(t, 1), bytesPerJob(t, 100)
	assert.Assert(t, many <= 2*few, "%d bytes a job while 10,000 starts wait, %d while 100 do", many, few)
}

// bytesPerJob returns how many bytes a leader allocates for a job of one task while the
// starts of a number of jobs with 100 tasks each wait for the log.
func bytesPerJob(t *testing.T, waiting int) uint64 {
	t.Helper()
	const jobs = 100
	now := time.Unix(1_700_000_000, 0)
	room := ledger.Resources{CPU: 1 << 40, Memory: 1 << 40}
	s := leader.New(leader.Policy{Lease: time.Second}, now)
	apply := func(e leader.Event) { s, _ = s.Apply(e, now) }
	for _, id := range []string{"w1", "w2"} {
		apply(leader.Listed{Listing: leader.Listing{ID: id, Address: id, Service: "s", Capacity: room, Incarnation: 1}})
		apply(leader.Reported{Worker: id, Report: leader.Report{Incarnation: 1, Clock: 1}, Sent: now, Deadline: 1000, Silence: 1})
	}
	accept := func(id string, tasks int) {
		step := ledger.Step{Count: tasks, Request: ledger.Resources{CPU: 1}, Estimate: time.Second}
		apply(leader.Accepted{Job: ledger.Job{ID: ledger.ID(id), Accepted: now, Queue: ledger.Queue{Service: "s"}, Steps: []ledger.Step{step}}})
	}
	for i := range waiting {
		accept("waiting"+strconv.Itoa(i), 100)
	}
	assert.Equal(t, s.Counts(now).WaitingSteps, 0)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for i := range jobs {
		accept(strconv.Itoa(i), 1)
	}
	runtime.ReadMemStats(&after)
	return (after.TotalAlloc - before.TotalAlloc) / jobs
}
