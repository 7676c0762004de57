package placer_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/ledger"
	"github.com/endivelock/endivelock/internal/placer"
)

func candidate(id string, free int64) *placer.Candidate {
	return &placer.Candidate{ID: id, Free: ledger.Resources{CPU: free, Memory: 10}, Capacity: ledger.Resources{CPU: 100, Memory: 10}}
}

func TestPick(t *testing.T) {
	small, middle, large := candidate("small", 20), candidate("middle", 50), candidate("large", 90)
	near, failing, serving := candidate("middle", 50), candidate("large", 90), candidate("small", 20)
	near.Rack, failing.ConsecutiveFailures, serving.Serving = "r", 2, true
	for name, c := range map[string]struct {
		demand     placer.Demand
		candidates []*placer.Candidate
		best       string
		first      string
	}{
		"urgent task takes the worker with most free": {placer.Demand{Size: ledger.Resources{CPU: 10}, Urgent: true}, []*placer.Candidate{small, large, middle}, "large", "small"},
		"other task takes the fullest worker":         {placer.Demand{Size: ledger.Resources{CPU: 10}}, []*placer.Candidate{large, small, middle}, "small", "large"},
		"worker without enough processor is skipped":  {placer.Demand{Size: ledger.Resources{CPU: 40}}, []*placer.Candidate{small, large, middle}, "middle", "large"},
		"rack of the data comes first":                {placer.Demand{Size: ledger.Resources{CPU: 10}, Rack: "r"}, []*placer.Candidate{small, near}, "near", "small"},
		"worker with failures comes last":             {placer.Demand{Size: ledger.Resources{CPU: 10}, Urgent: true}, []*placer.Candidate{failing, small}, "small", "large"},
		"best effort is kept apart from serving":      {placer.Demand{Size: ledger.Resources{CPU: 10}, BestEffort: true}, []*placer.Candidate{serving, large}, "large", "small"},
		"no room anywhere":                            {placer.Demand{Size: ledger.Resources{CPU: 95}}, []*placer.Candidate{small, large, middle}, "", ""},
		"worker without enough memory is skipped":     {placer.Demand{Size: ledger.Resources{CPU: 10, Memory: 11}}, []*placer.Candidate{large}, "", ""},
		"resource that is not needed may be negative": {placer.Demand{Size: ledger.Resources{Memory: 5}}, []*placer.Candidate{candidate("full", -5)}, "full", "full"},
	} {
		t.Run(name, func(t *testing.T) {
			pick := func(p placer.Placer) string {
				i := p.Pick(c.demand, c.candidates)
				if i < 0 {
					return ""
				}
				if c.candidates[i].Rack != "" {
					return "near"
				}
				return c.candidates[i].ID
			}
			assert.Equal(t, pick(placer.BestFit{}), c.best)
			assert.Equal(t, pick(placer.FirstFit{}), c.first)
		})
	}
}
