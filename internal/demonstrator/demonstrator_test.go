package demonstrator_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/demonstrator"
)

// The whole system over TCP, with one entry killed and one drained, has no
// violations. Times are not checked.
func TestWholeSystemKeepsItsCounts(t *testing.T) {
	r, err := demonstrator.Demo{Duration: 4 * time.Second}.Run(context.Background())
	assert.NilError(t, err)
	t.Logf("%+v", r)
	assert.Equal(t, r.Violations(), 0, "%+v", r)
	assert.Assert(t, r.Ran > 0 && r.Items > 0)
}
