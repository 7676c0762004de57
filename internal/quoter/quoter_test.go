package quoter_test

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/endivelock/endivelock/internal/quoter"
)

func TestAppendedStringsAreReadBack(t *testing.T) {
	for _, s := range []string{"", "plain", `quote " and \`, "line\nbreak", "ä", "\x7f", "\x00"} {
		var got string
		assert.NilError(t, json.Unmarshal(quoter.Append(nil, s), &got))
		assert.Equal(t, got, s)
	}
	rapid.Check(t, func(t *rapid.T) {
		s := rapid.String().Draw(t, "string")
		var got string
		if err := json.Unmarshal(quoter.Append([]byte{}, s), &got); err != nil || got != s {
			t.Fatalf("%q was read back as %q, error %v", s, got, err)
		}
	})
}

// Bytes that are no UTF-8 must not make the line or record unreadable.
func TestInvalidStringsStayReadable(t *testing.T) {
	var got string
	assert.NilError(t, json.Unmarshal(quoter.Append(nil, "a\xffb"), &got))
	assert.Equal(t, got, "a\ufffdb")
}
