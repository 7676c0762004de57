package editor

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// rows are the rows of a list. An empty one takes 3 bytes in a body and several times as many in memory, so
// none are decoded beyond the first one too many.
type rows[T any] []T

// UnmarshalJSON implements json.Unmarshaler.
func (r *rows[T]) UnmarshalJSON(data []byte) error {
	if bytes.Equal(data, []byte("null")) {
		*r = nil
		return nil
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if first, err := decoder.Token(); err != nil || first != json.Delim('[') {
		return fmt.Errorf("the rows are not a list")
	}
	var decoded rows[T]
	for len(decoded) <= maxRows && decoder.More() {
		var row T
		if err := decoder.Decode(&row); err != nil {
			return fmt.Errorf("row %d: %w", len(decoded), err)
		}
		decoded = append(decoded, row)
	}
	*r = decoded
	return nil
}
