// Package encoder turns log records into bytes and back. One append holds a
// batch of records, so that many decisions share the log's few hundred appends
// a second. It knows the form of records and nothing of their meaning.
package encoder

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/endivelock/endivelock/internal/scheduler"
)

const (
	// formVersion is the version of the envelope that this code writes.
	formVersion = 1
	// MaxBatch bounds the bytes of one batch.
	MaxBatch = 4 << 20
	// maxRecords bounds the records of one batch.
	maxRecords = 65536
)

// Names of the kinds of records in the log.
const (
	kindList     = "list"
	kindMark     = "mark"
	kindSnapshot = "snapshot"
	kindClaim    = "claim"
	kindSubmit   = "submit"
	kindStart    = "start"
	kindFinish   = "finish"
	kindCancel   = "cancel"
	kindKeep     = "keep"
)

// envelope is the outer form of one record.
type envelope struct {
	Version int             `json:"v"`
	Kind    string          `json:"kind"`
	Body    json.RawMessage `json:"body"`
}

// Fault says why a batch or one record of it was skipped.
type Fault struct {
	Record int // position in the batch, -1 for the batch as a whole
	Cause  error
}

// Error describes the fault.
func (f *Fault) Error() string {
	if f.Record < 0 {
		return "log batch is unreadable: " + f.Cause.Error()
	}
	return "log record is unreadable: " + f.Cause.Error()
}

// Unwrap returns the cause.
func (f *Fault) Unwrap() error { return f.Cause }

var _ error = (*Fault)(nil)

// Encode returns a batch of records as bytes.
func Encode(records []scheduler.Record) ([]byte, error) {
	batch := make([]envelope, 0, len(records))
	for _, r := range records {
		body, err := json.Marshal(r)
		if err != nil {
			return nil, errors.Wrapf(err, "encode %s record", kindOf(r))
		}
		batch = append(batch, envelope{Version: formVersion, Kind: kindOf(r), Body: body})
	}
	return json.Marshal(batch)
}

// Decode returns the readable records of a batch and a fault for each one that
// is not. Every reader skips the same records, since the result depends on the
// bytes alone.
func Decode(data []byte) ([]scheduler.Record, []*Fault) {
	if len(data) > MaxBatch {
		return nil, []*Fault{{Record: -1, Cause: errors.Newf("%d bytes exceed the limit of %d", len(data), MaxBatch)}}
	}
	var batch []envelope
	if err := json.Unmarshal(data, &batch); err != nil {
		return nil, []*Fault{{Record: -1, Cause: err}}
	}
	if len(batch) > maxRecords {
		return nil, []*Fault{{Record: -1, Cause: errors.Newf("%d records exceed the limit of %d", len(batch), maxRecords)}}
	}
	var records []scheduler.Record
	var faults []*Fault
	for i, e := range batch {
		r, err := decodeOne(e)
		if err != nil {
			faults = append(faults, &Fault{Record: i, Cause: err})
			continue
		}
		records = append(records, r)
	}
	return records, faults
}

func decodeOne(e envelope) (scheduler.Record, error) {
	if e.Version != formVersion {
		return nil, errors.Newf("version %d is not %d", e.Version, formVersion)
	}
	switch e.Kind {
	case kindList:
		return strict[scheduler.ListRecord](e.Body)
	case kindMark:
		return strict[scheduler.MarkRecord](e.Body)
	case kindSnapshot:
		return strict[scheduler.SnapshotRecord](e.Body)
	case kindClaim:
		return strict[scheduler.ClaimRecord](e.Body)
	case kindSubmit:
		return strict[scheduler.SubmitRecord](e.Body)
	case kindStart:
		return strict[scheduler.StartRecord](e.Body)
	case kindFinish:
		return strict[scheduler.FinishRecord](e.Body)
	case kindCancel:
		return strict[scheduler.CancelRecord](e.Body)
	case kindKeep:
		return strict[scheduler.KeepRecord](e.Body)
	}
	return nil, errors.Newf("kind %q is not known", e.Kind)
}

func kindOf(r scheduler.Record) string {
	switch r.(type) {
	case scheduler.ListRecord:
		return kindList
	case scheduler.MarkRecord:
		return kindMark
	case scheduler.SnapshotRecord:
		return kindSnapshot
	case scheduler.ClaimRecord:
		return kindClaim
	case scheduler.SubmitRecord:
		return kindSubmit
	case scheduler.StartRecord:
		return kindStart
	case scheduler.FinishRecord:
		return kindFinish
	case scheduler.CancelRecord:
		return kindCancel
	case scheduler.KeepRecord:
		return kindKeep
	}
	return ""
}

// strict decodes a body and refuses members that the type does not have.
func strict[T scheduler.Record](body []byte) (scheduler.Record, error) {
	var record T
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(&record); err != nil {
		return nil, errors.Wrapf(err, "decode %T", record)
	}
	return record, nil
}
