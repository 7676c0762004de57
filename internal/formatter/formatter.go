// Package formatter formats the lines of a process's log as JSON objects, with the
// names and the order of logrus's own JSON formatter, without reflection for the types
// that decisions are logged with.
package formatter

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/sirupsen/logrus"

	"github.com/endivelock/endivelock/internal/quoter"
)

// timeLayout is the layout of times, in milliseconds.
const timeLayout = "2006-01-02T15:04:05.000Z07:00"

// clashPrefix is put before the name of a field that a line has anyway.
const clashPrefix = "fields."

// Names of what every line has.
const (
	levelName   = "level"
	messageName = "msg"
	timeName    = "time"
)

// JSON formats lines as JSON objects with sorted names.
type JSON struct{}

var _ logrus.Formatter = JSON{}

// Format returns a line.
func (JSON) Format(e *logrus.Entry) ([]byte, error) {
	var space [16]string // more than a decision has
	names := append(space[:0], levelName, messageName, timeName)
	for name := range e.Data {
		if fixed(name) {
			name = clashPrefix + name
		}
		names = append(names, name)
	}
	slices.Sort(names)
	var o object
	if e.Buffer != nil {
		o.b = e.Buffer.AvailableBuffer() // logrus reuses it
	}
	o.b = append(o.b, '{')
	for _, name := range names {
		if fixed(name) {
			o.addFixed(name, e)
			continue
		}
		value, ok := e.Data[name]
		if !ok {
			value = e.Data[strings.TrimPrefix(name, clashPrefix)]
		}
		o.add(name, value)
	}
	o.b = append(o.b, "}\n"...)
	if e.Buffer == nil {
		return o.b, nil
	}
	e.Buffer.Write(o.b) // keeps the space for the next line
	return e.Buffer.Bytes(), nil
}

// fixed reports whether every line has a value of a name.
func fixed(name string) bool { return name == levelName || name == messageName || name == timeName }

// object is a JSON object that is being written.
type object struct{ b []byte }

// addName adds the name of a value that follows.
func (o *object) addName(name string) {
	if o.b[len(o.b)-1] != '{' {
		o.b = append(o.b, ',')
	}
	o.b = append(quoter.Append(o.b, name), ':')
}

// addFixed adds one of the values that every line has.
func (o *object) addFixed(name string, e *logrus.Entry) {
	o.addName(name)
	switch name {
	case levelName:
		o.b = quoter.Append(o.b, e.Level.String())
	case messageName:
		o.b = quoter.Append(o.b, e.Message)
	case timeName:
		o.b = append(o.b, '"')
		o.b = append(e.Time.AppendFormat(o.b, timeLayout), '"')
	}
}

// add adds a field.
func (o *object) add(name string, value any) {
	o.addName(name)
	switch v := value.(type) {
	case string:
		o.b = quoter.Append(o.b, v)
	case int:
		o.b = strconv.AppendInt(o.b, int64(v), 10)
	case int64:
		o.b = strconv.AppendInt(o.b, v, 10)
	case bool:
		o.b = strconv.AppendBool(o.b, v)
	case error:
		o.b = quoter.Append(o.b, v.Error())
	default:
		data, err := json.Marshal(v)
		if err != nil {
			data = quoter.Append(nil, fmt.Sprintf("%+v", v)) // a line with an odd value is better than none
		}
		o.b = append(o.b, data...)
	}
}
