// Package encoder serializes log records and the values of jobs and runs as
// JSON. One append holds a batch of records, since the log takes only a few
// hundred appends a second. The package knows the format of the records and does
// not interpret them.
package encoder

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/endivelock/endivelock/internal/scheduler"
)

const (
	// envelopeVersion is the only version of the envelope that is written and read.
	envelopeVersion = 1
	// MaxBatchBytes bounds the size of one encoded batch.
	MaxBatchBytes = 4 << 20
	// maxBatchRecords bounds the number of records in one batch.
	maxBatchRecords = 65536
)

// Values of envelope.Kind.
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

// envelope wraps one record in a batch.
type envelope struct {
	Version int             `json:"v"`
	Kind    string          `json:"kind"`
	Body    json.RawMessage `json:"body"`
}

// DecodeError is the reason why a batch or one of its records was skipped.
type DecodeError struct {
	Record int // index in the batch, -1 for the whole batch
	Cause  error
}

// Error returns whether the batch or a record is unreadable, and the cause.
func (e *DecodeError) Error() string {
	if e.Record < 0 {
		return "log batch is unreadable: " + e.Cause.Error()
	}
	return "log record is unreadable: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Cause }

var _ error = (*DecodeError)(nil)

// Encode encodes records as one batch.
func Encode(records []scheduler.Record) ([]byte, error) {
	batch := make([]envelope, 0, len(records))
	for _, r := range records {
		body, err := json.Marshal(r)
		if err != nil {
			return nil, errors.Wrapf(err, "encode %s record", kindOf(r))
		}
		batch = append(batch, envelope{Version: envelopeVersion, Kind: kindOf(r), Body: body})
	}
	return json.Marshal(batch)
}

// Decode returns the readable records of a batch and an error for each of the
// others. The result depends on data alone, so every entry skips the same
// records.
func Decode(data []byte) ([]scheduler.Record, []*DecodeError) {
	if len(data) > MaxBatchBytes {
		return nil, []*DecodeError{{Record: -1, Cause: errors.Newf("%d bytes exceed the limit of %d", len(data), MaxBatchBytes)}}
	}
	var batch []envelope
	if err := json.Unmarshal(data, &batch); err != nil {
		return nil, []*DecodeError{{Record: -1, Cause: err}}
	}
	if len(batch) > maxBatchRecords {
		return nil, []*DecodeError{{Record: -1, Cause: errors.Newf("%d records exceed the limit of %d", len(batch), maxBatchRecords)}}
	}
	var records []scheduler.Record
	var errs []*DecodeError
	for i, e := range batch {
		r, err := decodeRecord(e)
		if err != nil {
			errs = append(errs, &DecodeError{Record: i, Cause: err})
			continue
		}
		records = append(records, r)
	}
	return records, errs
}

func decodeRecord(e envelope) (scheduler.Record, error) {
	if e.Version != envelopeVersion {
		return nil, errors.Newf("version %d is not %d", e.Version, envelopeVersion)
	}
	switch e.Kind {
	case kindList:
		return decodeStrict[scheduler.ListRecord](e.Body)
	case kindMark:
		return decodeStrict[scheduler.MarkRecord](e.Body)
	case kindSnapshot:
		return decodeStrict[scheduler.SnapshotRecord](e.Body)
	case kindClaim:
		return decodeStrict[scheduler.ClaimRecord](e.Body)
	case kindSubmit:
		return decodeStrict[scheduler.SubmitRecord](e.Body)
	case kindStart:
		return decodeStrict[scheduler.StartRecord](e.Body)
	case kindFinish:
		return decodeStrict[scheduler.FinishRecord](e.Body)
	case kindCancel:
		return decodeStrict[scheduler.CancelRecord](e.Body)
	case kindKeep:
		return decodeStrict[scheduler.ItemSnapshotRecord](e.Body)
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
	case scheduler.ItemSnapshotRecord:
		return kindKeep
	}
	return ""
}

// decodeStrict decodes a body and rejects fields that the type does not have.
func decodeStrict[T scheduler.Record](body []byte) (scheduler.Record, error) {
	var record T
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(&record); err != nil {
		return nil, errors.Wrapf(err, "decode %T", record)
	}
	return record, nil
}
