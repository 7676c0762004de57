package main_test

import (
	"encoding/base64"
	"fmt"
	"net/http"
	"net/http/httptest"
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
	log := httptest.NewServer(http.HandlerFunc(serveForce))
	defer log.Close()
	t.Setenv("LOG", log.Listener.Addr().String())
	program := filepath.Join(t.TempDir(), "endivelock")
	icmd.RunCommand("go", "build", "-o", program, ".").Assert(t, icmd.Success)
	for _, c := range []struct {
		name, arguments string
		code            int
	}{
		{"clean", "force.json --revoke 5s --apply 3s --memory 256", 0},
		{"differs", "next.json --against force.json", 0},
		{"differs.json", "next.json --against force.json --json", 0},
		{"differs", "next.json --platform $LOG", 0},
		{"no-log", "next.json --platform 127.0.0.1:1", 2},
		{"both-forces", "next.json --platform $LOG --against force.json", 2},
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
			command := icmd.Command(program, append([]string{"check"}, strings.Fields(os.ExpandEnv(c.arguments))...)...)
			command.Dir = filepath.Join("testdata", "check")
			result := icmd.RunCmd(command)
			assert.Equal(t, result.ExitCode, c.code, result.Combined())
			golden.Assert(t, result.Stdout()+"--\n"+result.Stderr(), filepath.Join("check", c.name+".golden"))
		})
	}
}

// serveForce serves force.json as the platform's log does.
func serveForce(w http.ResponseWriter, r *http.Request) {
	data, err := os.ReadFile(filepath.Join("testdata", "check", "force.json"))
	if err != nil || r.URL.Path != "/log-newest" || r.URL.Query().Get("topic") != "keyed.op" {
		http.NotFound(w, r)
		return
	}
	_, _ = fmt.Fprintf(w, `{"items":[{"key":"wave/1","value":"e30="},{"key":"config","value":%q}]}`, base64.StdEncoding.EncodeToString(data))
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
