package keeper_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// busy returns the worker with runs.
func (c *cell) busy() string {
	for _, id := range c.ids() {
		if len(c.machines[id].running) > 0 {
			return id
		}
	}
	return ""
}

// checkLoss checks that the runs at the lost worker were given up in a time after its loss,
// and what the takeovers between add.
func (c *cell) checkLoss(most time.Duration) {
	for _, id := range c.ids() {
		w := c.machines[id]
		if !w.lost {
			continue
		}
		bound := w.lostAt.Add(most + giveUpSlack)
		for _, t := range c.takeovers {
			assert.Assert(c.t, t.lag <= warmLag)
			if t.at.After(w.lostAt) && t.at.Before(bound) {
				bound = bound.Add(t.lag + roundingPerTakeover)
			}
		}
		assert.Assert(c.t, c.lost >= 3 && !c.lastLost.After(bound), "%d runs, the last %v after the loss and %v after the bound", c.lost, c.lastLost.Sub(w.lostAt), c.lastLost.Sub(bound))
	}
}

// seriesPeriod is the time from one end of a leader to the next in fixed series. It is
// shorter than a lease, and no bound of the series falls between two leaders.
const seriesPeriod = 5800 * time.Millisecond

// Guards against the same over fixed series, with the longest time from the loss of a worker
// to the end of its runs for each time at which it is lost.
func TestSeriesOfLeadersDontPutOffTheEndOfLeases(t *testing.T) {
	const (
		ends      = 4
		ownLeases = longestLeases - seriesRenewal + 2*maxCall // of a leader that has heard the worker
		inherited = longestLeases + heartbeat                 // of one that hasn't
	)
	for name, c := range map[string]struct {
		loss time.Duration // after the first end
		most time.Duration // from the loss to the end of the runs, without takeovers between
	}{
		"well before the first end":  {-pollWait - time.Second, ownLeases},
		"right before the first end": {-100 * time.Millisecond, inherited},
		"in the first takeover":      {600 * time.Millisecond, inherited},
		"right before the third end": {2*seriesPeriod - 100*time.Millisecond, inherited},
		"in the last takeover":       {(ends-1)*seriesPeriod + 600*time.Millisecond, inherited},
		"after the last takeover":    {ends * seriesPeriod, ownLeases},
	} {
		for how, ending := range map[string]ending{"killed": killed, "handed over": handedOver} {
			t.Run(name+", "+how, func(t *testing.T) {
				s := newCell(t, 4, 3, nil)
				s.accept(3)
				s.settle()
				first := s.now.Add(2 * pollWait)
				s.after(first.Add(c.loss).Sub(s.now), func() { s.lose(s.busy(), false) })
				for i := range ends {
					s.pass(first.Add(time.Duration(i) * seriesPeriod).Sub(s.now))
					s.endLeader(ending)
				}
				s.calm()
				s.checkLoss(c.most)
			})
		}
	}
}
