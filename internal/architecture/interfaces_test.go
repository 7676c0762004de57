package architecture_test

import (
	"bytes"
	"encoding/json"
	"os"
	"regexp"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/connector"
	"github.com/endivelock/endivelock/internal/encoder"
	"github.com/endivelock/endivelock/internal/loader"
	"github.com/endivelock/endivelock/internal/scheduler"
	"github.com/endivelock/endivelock/pkg/messenger"
)

// exampleTypes maps the name of each example to a pointer to a value of its type.
func exampleTypes() map[string]any {
	return map[string]any{
		"problem":    &messenger.Problem{},
		"slots":      &struct{ Busy, Slots int }{},
		"lease":      &connector.LeaseMessage{},
		"report":     &connector.ReportMessage{},
		"page":       &connector.Page{},
		"instances":  &struct{ Instances []scheduler.Instance }{},
		"hello":      &scheduler.Digest{},
		"plans":      &messenger.Plans{},
		"allowances": &messenger.Allowances{},
		"work":       &messenger.Work{},
	}
}

// The examples in docs/INTERFACES.md must decode strictly, and every type in
// exampleTypes must have one.
func TestExamplesOfInterfaces(t *testing.T) {
	text, err := os.ReadFile(root + "/docs/INTERFACES.md")
	assert.NilError(t, err)
	blocks := regexp.MustCompile("(?s)```(json|yaml) ([a-z]+)\n(.*?)```").FindAllSubmatch(text, -1)
	remaining := exampleTypes()
	for _, b := range blocks {
		name, body := string(b[2]), b[3]
		switch name {
		case "batch":
			records, faults := encoder.Decode(body)
			assert.Equal(t, len(faults), 0, "%v", faults)
			assert.Equal(t, len(records), 6)
		case "settings":
			_, err := loader.Parse("example", body)
			assert.NilError(t, err)
		default:
			value, ok := remaining[name]
			assert.Assert(t, ok, name)
			d := json.NewDecoder(bytes.NewReader(body))
			d.DisallowUnknownFields()
			assert.NilError(t, d.Decode(value), name)
			delete(remaining, name)
		}
	}
	assert.Equal(t, len(remaining), 0, "types without an example: %v", remaining)
}
