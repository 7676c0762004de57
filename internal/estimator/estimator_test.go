package estimator_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/estimator"
)

func TestNothingIsRefusedThatCanBeServed(t *testing.T) {
	job := estimator.Job{Chain: time.Second, Limit: 6 * time.Second}
	for name, c := range map[string]struct {
		backlog estimator.Backlog
		job     estimator.Job
		refused bool
		after   time.Duration
	}{
		"nothing waits":                  {estimator.Backlog{Rate: 0, Covered: 1, Full: true}, job, false, 0},
		"there is room":                  {estimator.Backlog{Jobs: 1000, Rate: 1, Covered: 1}, job, false, 0},
		"done in time":                   {estimator.Backlog{Jobs: 10, Rate: 5, Covered: 1, Full: true}, job, false, 0},
		"done at the limit":              {estimator.Backlog{Jobs: 10, Rate: 2, Covered: 1, Full: true}, job, false, 0},
		"done too late":                  {estimator.Backlog{Jobs: 12, Rate: 2, Covered: 4, Full: true}, job, true, 3 * time.Second},
		"nothing begins":                 {estimator.Backlog{Jobs: 1, Rate: 0, Covered: 30, Full: true}, job, true, time.Second},
		"no rate is known, it suffices":  {estimator.Backlog{Jobs: 10, Rate: -1, Covered: 5, Full: true}, job, false, 0},
		"no rate is known, it does not":  {estimator.Backlog{Jobs: 100, Rate: -1, Covered: 5, Full: true}, job, true, 4 * time.Second},
		"of use for ever":                {estimator.Backlog{Jobs: 100, Rate: 0, Covered: 5, Full: true}, estimator.Job{Chain: time.Second}, false, 0},
		"the backlog is long beyond all": {estimator.Backlog{Jobs: 1 << 40, Rate: 1e-9, Covered: 1e-9, Full: true}, job, true, 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			v := estimator.Judge(c.backlog, c.job)
			assert.Equal(t, v.Refused, c.refused, "%+v", v)
			assert.Equal(t, v.RetryAfter, c.after)
		})
	}
}
