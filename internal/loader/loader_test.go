package loader_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/loader"
)

const valid = `name: e0
zone: a
zones: [a, b]
listen:
  callers: 127.0.0.1:7000
  operators: 127.0.0.1:7100
  forward: 127.0.0.1:7200
  peers: 127.0.0.1:7300
platform: http://127.0.0.1:9000
`

func TestValidSettings(t *testing.T) {
	s, err := loader.Parse("f", []byte(valid+"limits:\n  lease: 4s\nmemory: 512\nlog: {level: debug, format: text}\n"))
	assert.NilError(t, err)
	assert.Equal(t, s.Name, "e0")
	assert.Equal(t, s.Memory, int64(512))
	assert.Equal(t, s.Limits.Lease, 4*time.Second)
	assert.Equal(t, s.Policy().Lease, 4*time.Second)
	assert.Equal(t, s.Limits.Drain, 30*time.Second)
}

func TestInvalidSettings(t *testing.T) {
	cases := []struct {
		name string
		text string
		want string
	}{
		{"unknown key", valid + "color: red\n", `f:10:1: color: found an unknown key, allowed is one of name, zone`},
		{"unknown key in a section", valid + "limits:\n  speed: 1s\n", `f:11:3: limits.speed: found an unknown key`},
		{"no unit", valid + "limits:\n  lease: 4\n", `f:11:10: limits.lease: found "4", allowed is a positive duration with a unit`},
		{"wrong unit", valid + "limits:\n  lease: 4 parsecs\n", `found "4 parsecs"`},
		{"negative", valid + "limits:\n  queue: -2s\n", `limits.queue: found "-2s"`},
		{"host name", strings.Replace(valid, "127.0.0.1:7000", "example:7000", 1), `listen.callers: found "example:7000", allowed is an IP number and a port`},
		{"same address", strings.Replace(valid, "7100", "7000", 1), `listen.operators: found 127.0.0.1:7000, allowed is an address other than that of listen.callers`},
		{"missing key", strings.Replace(valid, "platform:", "limits: {}\n#", 1), `platform: found nothing, allowed is a URL`},
		{"zone not listed", strings.Replace(valid, "zone: a", "zone: c", 1), `f:2:7: zone: found "c", allowed is one of the zones in zones`},
		{"impossible pair", valid + "limits: {drain: 1s, notice: 2s}\n", `limits.notice: found 2s, allowed is at most limits.drain, 1s`},
		{"drift beyond lease", valid + "limits: {lease: 1s, drift: 1s}\n", `limits.drift: found 1s, allowed is less than limits.lease, 1s`},
		{"key twice", valid + "name: e1\n", `f:10:1: file: found mapping key "name" already defined`},
		{"list for a text", strings.Replace(valid, "name: e0", "name: [e0]", 1), `name: found a list`},
		{"no mapping", "- a\n- b\n", `file: found a list, allowed is a mapping`},
		{"no memory", valid + "memory: 0\n", `memory: found "0", allowed is a number of megabytes from 1 to 1048576`},
		{"bad share", valid + "goals: {share: 2}\n", `goals.share: found "2", allowed is a number between 0 and 1`},
		{"bad level", valid + "log: {level: loud}\n", `allowed is one of error, warning, info, debug`},
		{"no YAML", "name: [", `allowed is YAML`},
		{"empty", "", `allowed is one document`},
		{"null", strings.Replace(valid, "name: e0", "name:", 1), `name: found`},
	}
	for _, c := range cases {
		_, err := loader.Parse("f", []byte(c.text))
		assert.ErrorContains(t, err, c.want, c.name)
	}
}

func TestAllErrorsAreReportedAtOnce(t *testing.T) {
	text := strings.Replace(valid, "zone: a\n", "zone: 'a b'\n", 1) + "limits: {lease: 4, queue: x}\ncolor: red\n"
	_, err := loader.Parse("f", []byte(text))
	invalid, ok := err.(loader.ValidationErrors)
	assert.Assert(t, ok)
	assert.Equal(t, len(invalid), 4)
}

func TestRestartRequired(t *testing.T) {
	one, err := loader.Parse("f", []byte(valid))
	assert.NilError(t, err)
	two, err := loader.Parse("f", []byte(strings.Replace(valid, "7000", "7001", 1)+"limits: {lease: 9s}\n"))
	assert.NilError(t, err)
	assert.DeepEqual(t, one.RestartRequired(two), []string{"listen"})
}

func TestDeployedSettingsAreValid(t *testing.T) {
	files, err := filepath.Glob("../../deploy/*.yaml")
	assert.NilError(t, err)
	checked := 0
	for _, file := range files {
		data, err := os.ReadFile(file)
		assert.NilError(t, err)
		if !strings.Contains(string(data), "\nlisten:") {
			continue
		}
		_, err = loader.Parse(file, data)
		assert.NilError(t, err)
		checked++
	}
	assert.Assert(t, checked > 0)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("a: &x [*x]"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = loader.Parse("f", data)
	})
}
