package formatter_test

import (
	"errors"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/formatter"
)

func entry(fields logrus.Fields, message string) *logrus.Entry {
	e := logrus.NewEntry(logrus.New()).WithFields(fields)
	e.Time, e.Level, e.Message = time.Date(2026, 1, 2, 3, 4, 5, 6_000_000, time.UTC), logrus.InfoLevel, message
	return e
}

// Whoever reads the logs must not notice that they are written by another formatter.
func TestLinesAreThoseOfLogrus(t *testing.T) {
	logrusJSON := &logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00", DisableHTMLEscape: true}
	for name, fields := range map[string]logrus.Fields{
		"no fields":      nil,
		"decision":       {"what": "place", "epoch": int64(12), "task": "a.0.0.1", "run": 1, "worker": "w"},
		"before and all": {"a": true, "zz": 1.5, "n": nil},
		"clash":          {"time": "noon", "msg": 1, "level": "high"},
		"error":          {"error": errors.New(`open "x": failed`)},
		"list":           {"list": []string{"a", "b"}},
		"escapes":        {"text": "line\nbreak \"quoted\" ä"},
	} {
		t.Run(name, func(t *testing.T) {
			want, err := logrusJSON.Format(entry(fields, "message"))
			assert.NilError(t, err)
			got, err := formatter.JSON{}.Format(entry(fields, "message"))
			assert.NilError(t, err)
			assert.Equal(t, string(got), string(want))
		})
	}
}

// A field that JSON has no form for must not lose the line.
func TestOddValuesDoNotLoseTheLine(t *testing.T) {
	got, err := formatter.JSON{}.Format(entry(logrus.Fields{"f": func() {}}, "message"))
	assert.NilError(t, err)
	assert.Assert(t, len(got) > 0)
}

func BenchmarkFormat(b *testing.B) {
	e := entry(logrus.Fields{"entry": "e1", "what": "place", "epoch": int64(12), "job": "abb0527cb2f4afeb", "task": "abb0527cb2f4afeb.0.0.26", "run": 1, "worker": "i-87ae50e84a", "why": "queue", "batch": int64(22)}, "decision")
	for name, f := range map[string]logrus.Formatter{"formatter": formatter.JSON{}, "logrus": &logrus.JSONFormatter{}} {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				if _, err := f.Format(e); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
