// Package framer writes and reads the messages between entries within the limits of memory.
package framer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/endivelock/endivelock/internal/limiter"
)

// maxMessageBytes bounds a message of an entry. The largest are appends for others: one call to the
// log is at most 2 MB, a third more as text.
const maxMessageBytes = 16 << 20

// Meter counts the bytes of a message that is arriving or being handled.
type Meter interface {
	// Hold counts bytes that have arrived. It returns an error if there is no memory for them.
	Hold(n int) error
	// Release ends the message, if there was one.
	Release()
}

// Codec writes and reads messages with their length in front, as jsonrpc2.VarintObjectCodec does. Create it
// with New.
type Codec struct {
	jsonrpc2.VarintObjectCodec
	meter Meter // nil for a connection that this entry has opened
}

// New returns the codec for a connection. Bytes are counted if the connection is a Meter.
func New(conn net.Conn) Codec {
	meter, _ := conn.(Meter)
	return Codec{meter: meter}
}

// ReadObject reads a message. Its bytes count until the next call: by then it has been handled.
func (c Codec) ReadObject(stream *bufio.Reader, v any) error {
	if c.meter != nil {
		c.meter.Release()
	}
	size, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if size > maxMessageBytes {
		return errors.Newf("a message of %d bytes, at most %d are allowed", size, maxMessageBytes)
	}
	data, err := limiter.ReadAll(c.metered(io.LimitReader(stream, int64(size))), int64(size))
	if err != nil {
		return err
	}
	if len(data) < int(size) {
		return io.ErrUnexpectedEOF
	}
	return json.Unmarshal(data, v)
}

// metered returns a reader that counts what it reads.
func (c Codec) metered(r io.Reader) io.Reader {
	if c.meter == nil {
		return r
	}
	return meteredReader{r, c.meter}
}

type meteredReader struct {
	io.Reader
	meter Meter
}

// Read reads and counts.
func (r meteredReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if held := r.meter.Hold(n); held != nil {
		return 0, held
	}
	return n, err
}
