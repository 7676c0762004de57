package placer_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/ledger"
	"github.com/endivelock/endivelock/internal/placer"
)

func candidate(id string, free int64) *placer.Candidate {
	return &placer.Candidate{ID: id, Free: ledger.Size{CPU: free, Memory: 10}, Capacity: ledger.Size{CPU: 100, Memory: 10}}
}

func TestChoice(t *testing.T) {
	small, middle, large := candidate("small", 20), candidate("middle", 50), candidate("large", 90)
	near, doubtful, serving := candidate("middle", 50), candidate("large", 90), candidate("small", 20)
	near.Rack, doubtful.ConsecutiveFailures, serving.Serving = "r", 2, true
	for name, c := range map[string]struct {
		demand     placer.Demand
		candidates []*placer.Candidate
		best       string
		first      string
	}{
		"urgent goes where most is free":      {placer.Demand{Size: ledger.Size{CPU: 10}, Urgent: true}, []*placer.Candidate{small, large, middle}, "large", "small"},
		"others fill what is nearly full":     {placer.Demand{Size: ledger.Size{CPU: 10}}, []*placer.Candidate{large, small, middle}, "small", "large"},
		"too small is no choice":              {placer.Demand{Size: ledger.Size{CPU: 40}}, []*placer.Candidate{small, large, middle}, "middle", "large"},
		"the rack of the data comes first":    {placer.Demand{Size: ledger.Size{CPU: 10}, Rack: "r"}, []*placer.Candidate{small, near}, "near", "small"},
		"failures count against a worker":     {placer.Demand{Size: ledger.Size{CPU: 10}, Urgent: true}, []*placer.Candidate{doubtful, small}, "small", "large"},
		"filling keeps away from serving":     {placer.Demand{Size: ledger.Size{CPU: 10}, BestEffort: true}, []*placer.Candidate{serving, large}, "large", "small"},
		"no room anywhere":                    {placer.Demand{Size: ledger.Size{CPU: 95}}, []*placer.Candidate{small, large, middle}, "", ""},
		"memory that is short is no choice":   {placer.Demand{Size: ledger.Size{CPU: 10, Memory: 11}}, []*placer.Candidate{large}, "", ""},
		"what is not needed may be overdrawn": {placer.Demand{Size: ledger.Size{Memory: 5}}, []*placer.Candidate{candidate("full", -5)}, "full", "full"},
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
