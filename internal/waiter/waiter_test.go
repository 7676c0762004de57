package waiter_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/endivelock/endivelock/internal/ledger"
	"github.com/endivelock/endivelock/internal/waiter"
)

const second = time.Second

func TestBudget(t *testing.T) {
	late := -second
	for name, c := range map[string]struct {
		choice waiter.Choice
		want   time.Duration
	}{
		"what is won":                        {waiter.Choice{Near: second, Far: 3, Slack: late}, 2 * second},
		"less what it has waited":            {waiter.Choice{Near: second, Far: 3, Slack: late, Waited: 1500 * time.Millisecond}, second / 2},
		"nothing more than that":             {waiter.Choice{Near: second, Far: 3, Slack: late, Waited: 3 * second}, 0},
		"places don't matter":                {waiter.Choice{Near: second, Far: 1, Slack: late}, 0},
		"no factor":                          {waiter.Choice{Near: second, Slack: late}, 0},
		"no estimate":                        {waiter.Choice{Far: 3, Slack: late}, 0},
		"nothing of the job runs":            {waiter.Choice{Near: 4 * second, Far: 3, Slack: late, Idle: true}, waiter.MaxIdleWait},
		"others run":                         {waiter.Choice{Near: 4 * second, Far: 3, Slack: late}, waiter.MaxWait},
		"elsewhere would be in time":         {waiter.Choice{Near: second, Far: 3, Slack: 2500 * time.Millisecond}, second / 2},
		"elsewhere would just be in time":    {waiter.Choice{Near: second, Far: 3, Slack: 2 * second}, 0},
		"only near can still be in time":     {waiter.Choice{Near: second, Far: 3, Slack: second}, 2 * second},
		"there is more time than it can use": {waiter.Choice{Near: second, Far: 3, Slack: time.Minute}, 2 * second},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, c.choice.Budget(), c.want)
			assert.Equal(t, c.choice.Pays(c.want), false)
			assert.Equal(t, c.want > 0, c.want > 0 && c.choice.Pays(c.want-1))
		})
	}
}

// Guards against waits that cost more than they could have gained, whatever is expected at
// each look and whenever a place becomes free. One that goes on for as long as it may costs at
// most twice the better choice.
func TestWaitsCostNoMoreThanTheyCouldGain(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		near := time.Duration(rapid.IntRange(1, 5000).Draw(rt, "near")) * time.Millisecond
		far := rapid.Float64Range(1, 6).Draw(rt, "far")
		free := time.Duration(rapid.IntRange(1, 20_000).Draw(rt, "free")) * time.Millisecond
		c := waiter.Choice{Near: near, Far: far, Slack: time.Duration(rapid.IntRange(-5000, 20_000).Draw(rt, "slack")) * time.Millisecond}
		hopeful, late := rapid.Bool().Draw(rt, "hopeful"), c.Slack < c.Gain()
		expected := func() time.Duration {
			if hopeful {
				return 0
			}
			return time.Duration(rapid.IntRange(0, 5000).Draw(rt, "expected")) * time.Millisecond
		}
		for c.Waited < free && c.Pays(expected()) {
			look := min(free-c.Waited, c.Budget(), 100*time.Millisecond)
			c.Waited, c.Slack = c.Waited+look, c.Slack-look
		}
		elsewhere := time.Duration(far * float64(near))
		took := c.Waited + elsewhere
		if c.Waited >= free {
			took = free + near
		}
		assert.Assert(rt, took <= elsewhere+c.Gain())
		if hopeful && late && c.Gain() <= waiter.MaxWait {
			assert.Assert(rt, took <= 2*min(elsewhere, free+near), "%v", took)
		}
		assert.Assert(rt, c.Waited <= waiter.MaxWait)
	})
}

func TestOpenings(t *testing.T) {
	size := func(n int64) ledger.Resources { return ledger.Resources{CPU: n} }
	end := func(after time.Duration, n int64) waiter.End { return waiter.End{After: after, Size: size(n)} }
	worker := func(free int64, ends ...waiter.End) waiter.Worker {
		return waiter.Worker{Free: size(free), Ends: ends, Limit: -1, Until: -1}
	}
	limited, closing := worker(0, end(1, 4), end(2, 4)), worker(0, end(1, 2), end(5, 2))
	limited.Limit, closing.Until = 1, 3
	for name, c := range map[string]struct {
		workers []waiter.Worker
		most    int
		want    []time.Duration
	}{
		"free now and later":              {[]waiter.Worker{worker(3, end(4, 2)), worker(0, end(2, 2))}, 9, []time.Duration{0, 2, 4}},
		"several ends make one place":     {[]waiter.Worker{worker(0, end(1, 1), end(3, 1))}, 9, []time.Duration{3}},
		"one end makes several":           {[]waiter.Worker{worker(0, end(1, 6))}, 9, []time.Duration{1, 1, 1}},
		"no more than asked for":          {[]waiter.Worker{worker(0, end(3, 6)), worker(0, end(2, 2))}, 2, []time.Duration{2, 3}},
		"more is used than there is":      {[]waiter.Worker{worker(-2, end(1, 2), end(2, 2))}, 9, []time.Duration{2}},
		"limit of tasks at a worker":      {[]waiter.Worker{limited}, 9, []time.Duration{1}},
		"worker may not be used for long": {[]waiter.Worker{closing}, 9, []time.Duration{1}},
	} {
		t.Run(name, func(t *testing.T) { assert.DeepEqual(t, waiter.Openings(c.workers, size(2), c.most), c.want) })
	}
}
