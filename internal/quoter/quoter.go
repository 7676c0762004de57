// Package quoter writes strings as JSON. It does without reflection, for the records
// and log lines that a busy process writes thousands of times a second.
package quoter

import "encoding/json"

// Append appends a string as a JSON string to b.
func Append(b []byte, s string) []byte {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c >= 0x7f || c == '"' || c == '\\' {
			return appendEscaped(b, s)
		}
	}
	b = append(b, '"')
	b = append(b, s...)
	return append(b, '"')
}

// appendEscaped appends a string that has to be escaped or may not be valid UTF-8.
func appendEscaped(b []byte, s string) []byte {
	quoted, err := json.Marshal(s)
	if err != nil {
		panic("quoter: a string can't be encoded: " + err.Error())
	}
	return append(b, quoted...)
}
