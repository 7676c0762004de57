package explainer_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/queries/explainer"
)

func TestJobHistoryAcrossALeaderChange(t *testing.T) {
	one := `  1.2 front-1 {"entry":"e1","job":"a","level":"info","msg":"request","status":200,"time":"2026-01-01T00:00:01.000Z","what":"accept"}
not a log line
{"entry":"e1","task":"a.0.0.1","run":1,"worker":"w","msg":"decision","time":"2026-01-01T00:00:02.000Z","what":"place"}
{"entry":"e1","job":"b","msg":"decision","time":"2026-01-01T00:00:02.500Z","what":"place"}
{"entry":"e1","msg":"broken`
	two := `{"entry":"e2","epoch":9,"msg":"lead","time":"2026-01-01T00:00:03.000Z","what":"lead"}
{"entry":"e2","epoch":12,"msg":"lead","time":"2026-01-01T00:00:09.000Z","what":"lead"}
{"entry":"e2","job":"a","why":"complete","msg":"decision","time":"2026-01-01T00:00:04.000Z","what":"finish"}`
	var e explainer.Explainer
	for _, log := range []string{two, one} {
		assert.NilError(t, e.Read(strings.NewReader(log)))
	}
	var got []string
	for _, l := range e.Job("a") {
		got = append(got, l.String())
	}
	assert.DeepEqual(t, got, []string{
		"00:00:01.000 e1                   request accept job=a status=200",
		"00:00:02.000 e1                   decision place run=1 task=a.0.0.1 worker=w",
		"00:00:03.000 e2                   lead lead epoch=9",
		"00:00:04.000 e2                   decision finish job=a why=complete",
	})
	assert.Equal(t, len(e.Job("c")), 0)
}
