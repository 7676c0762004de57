// Package explainer merges the log lines about one job from the logs of several
// entries into one history, which includes changes of the leader.
package explainer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// maxLine bounds a line of a log, in bytes.
const maxLine = 1 << 20

// Line is one line of a log.
type Line struct {
	Time   time.Time
	Entry  string
	Text   string         // message and value of the field "what"
	Fields map[string]any // all other fields but the level
}

// String formats the line with its fields sorted by name.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-20s %s", l.Time.UTC().Format("15:04:05.000"), l.Entry, l.Text)
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%v", name, l.Fields[name])
	}
	return b.String()
}

// Explainer collects log lines. The zero value is ready to use.
type Explainer struct {
	lines []Line
}

// Read adds the lines of a log. Text before the JSON of a line, such as the time
// and source that a log collector adds, is skipped; lines without JSON are
// ignored.
func (e *Explainer) Read(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		start := bytes.IndexByte(s.Bytes(), '{')
		if start < 0 {
			continue
		}
		var fields map[string]any
		if json.Unmarshal(s.Bytes()[start:], &fields) != nil {
			continue // a line of another program
		}
		if l, ok := parse(fields); ok {
			e.lines = append(e.lines, l)
		}
	}
	return errors.Wrap(s.Err(), "read log")
}

func parse(fields map[string]any) (Line, bool) {
	at, err := time.Parse(time.RFC3339Nano, stringValue(fields["time"]))
	if err != nil {
		return Line{}, false
	}
	l := Line{Time: at, Entry: stringValue(fields["entry"]), Text: stringValue(fields["msg"]), Fields: fields}
	if what := stringValue(fields["what"]); what != "" {
		l.Text += " " + what
	}
	for _, name := range []string{"time", "entry", "msg", "what", "level"} {
		delete(fields, name)
	}
	return l, true
}

func stringValue(v any) string {
	s, _ := v.(string)
	return s
}

// Job returns the lines about a job, sorted by time, together with the changes of
// the leader between the first and the last of them.
func (e *Explainer) Job(id string) []Line {
	var history, leaderChanges []Line
	for _, l := range e.lines {
		switch {
		case stringValue(l.Fields["job"]) == id || strings.HasPrefix(stringValue(l.Fields["task"]), id+"."):
			history = append(history, l)
		case l.Text == "lead lead" || l.Text == "lead deposed" || l.Text == "lead claim":
			leaderChanges = append(leaderChanges, l)
		}
	}
	if len(history) == 0 {
		return nil
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(history, byTime)
	first, last := history[0].Time, history[len(history)-1].Time
	for _, l := range leaderChanges {
		if !l.Time.Before(first) && !l.Time.After(last) {
			history = append(history, l)
		}
	}
	slices.SortStableFunc(history, byTime)
	return history
}
