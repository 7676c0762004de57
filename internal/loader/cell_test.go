package loader_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"github.com/endivelock/endivelock/internal/loader"
)

const cell = `name: front-1
zone: a
listen:
  callers: 10.1.0.13:8161
  ready: 10.1.0.13:8167
  peers: "10.1.0.13:7720"
  metrics: 10.1.0.13:9464
platform: 10.200.1.7:8169
advice: ""
lease: 10000ms
grace: 6s
keep: 120s
share: 0.4
memory: 284
`

func TestCellSettings(t *testing.T) {
	c, err := loader.ParseCell("f", []byte(cell))
	assert.NilError(t, err)
	assert.Equal(t, c.Lease, 10*time.Second)
	assert.Equal(t, c.Listen.Peers, "10.1.0.13:7720")
	assert.Equal(t, c.Level, "info")
	assert.Equal(t, c.Memory, int64(284))
}

// The platform leaves out the bounds that a deployment doesn't have.
func TestOptionalCellSettings(t *testing.T) {
	const optional = "strict: %s\nrevoke: %s\napply: %s\nfar: %s\ndescriptors: %s\n"
	c, err := loader.ParseCell("f", []byte(cell+fmt.Sprintf(optional, "true", "5000", "3000", "2.5", "4100")))
	assert.NilError(t, err)
	assert.Assert(t, c.Strict)
	assert.Equal(t, c.Revoke.Duration(), 5*time.Second)
	assert.Equal(t, c.Apply.Duration(), 3*time.Second)
	assert.Equal(t, c.Far, 2.5)
	assert.Equal(t, c.Descriptors, 4100)
	without, err := loader.ParseCell("f", []byte(cell))
	assert.NilError(t, err)
	for _, missing := range []string{"", "null"} {
		c, err := loader.ParseCell("f", []byte(cell+strings.ReplaceAll(optional, "%s", missing)))
		assert.NilError(t, err)
		assert.Equal(t, c, without)
	}
}

// Errors must give the line and column of the invalid value.
func TestInvalidCellSettings(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{"share: 0.4", "share: 0", "f:13:8: share"},
		{"lease: 10000ms", "lease: -1s", "f:10:8: lease"},
		{"lease: 10000ms", "lease: soon", "f:10:8: lease"},
		{"ready: 10.1.0.13:8167", "ready: here", "f:5:10: listen.ready"},
		{"grace: 6s", "grease: 6s", "11"},
		{"zone: a", "zone: [", ""},
		{"memory: 284", "level: loud", "level"},
		{"keep: 120s", "keep: 120s\nrevoke: -1", "f:13:9: revoke"},
		{"keep: 120s", "keep: 120s\napply: soon", "13:8"},
		{"memory: 284", "memory: 284\nfar: 0.5", "f:15:6: far"},
		{"memory: 284", "memory: 284\ndescriptors: -1", "f:15:14: descriptors"},
	} {
		_, err := loader.ParseCell("f", []byte(strings.Replace(cell, c.old, c.new, 1)))
		assert.Assert(t, err != nil, c.new)
		assert.Assert(t, is.Contains(err.Error(), c.want))
	}
}
