package main_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
	"gotest.tools/v3/icmd"
)

// The output and exit codes of the checks, of the program as a process.
func TestCheck(t *testing.T) {
	program := filepath.Join(t.TempDir(), "endivelock")
	icmd.RunCommand("go", "build", "-o", program, ".").Assert(t, icmd.Success)
	for _, c := range []struct {
		name, arguments string
		code            int
	}{
		{"clean", "force.json --revoke 5s --apply 3s --memory 256", 0},
		{"differs", "next.json --against force.json", 0},
		{"differs.json", "next.json --against force.json --json", 0},
		{"same", "force.json --against force.json", 0},
		{"faulty", "faulty.json --against force.json --revoke 2s --apply 3s --memory 256", 1},
		{"faulty.json", "faulty.json --json", 1},
		{"older", "force.json --against next.json", 1},
		{"mistyped", "mistyped.json", 2},
		{"broken", "broken.json", 2},
		{"no-configuration", "settings.yaml", 2},
		{"against-broken", "force.json --against broken.json", 2},
		{"missing", "missing.json", 2},
		{"neither", "", 2},
		{"both", "force.json --config settings.yaml", 2},
		{"mixed", "--json --config settings.yaml", 2},
		{"settings", "--config settings.yaml", 2},
		{"valid-settings", "--config ../../../../deploy/georgia.yaml", 0},
		{"help", "--help", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			command := icmd.Command(program, append([]string{"check"}, strings.Fields(c.arguments)...)...)
			command.Dir = filepath.Join("testdata", "check")
			result := icmd.RunCmd(command)
			assert.Equal(t, result.ExitCode, c.code, result.Combined())
			golden.Assert(t, result.Stdout()+"--\n"+result.Stderr(), filepath.Join("check", c.name+".golden"))
		})
	}
}

// No golden file repeats a key.
func TestCheckShowsNoKey(t *testing.T) {
	names, err := filepath.Glob(filepath.Join("testdata", "check", "*.golden"))
	assert.NilError(t, err)
	assert.Assert(t, len(names) > 10)
	for _, name := range names {
		data, err := os.ReadFile(name)
		assert.NilError(t, err)
		for _, key := range []string{"flour-and-water", "salt-and-yeast", "rye-and-caraway", "malt-and-hops"} {
			assert.Assert(t, !strings.Contains(string(data), key), "%s shows %s", name, key)
		}
	}
}
