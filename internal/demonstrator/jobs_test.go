package demonstrator_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/demonstrator"
)

// If the leader is partitioned from the log, all accepted jobs complete and no task
// start violates an invariant.
func TestJobsCompleteAfterLeaderLoss(t *testing.T) {
	demo := demonstrator.Jobs{Duration: 4 * time.Second}
	r, err := demo.Run(context.Background())
	assert.NilError(t, err)
	assert.Assert(t, r.Accepted > 0)
	assert.Equal(t, r.Lost(), 0)
	assert.Equal(t, len(r.Violations), 0, "%v", r.Violations)
}
