package encoder_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/encoder"
	"github.com/endivelock/endivelock/internal/scheduler"
)

func records() []scheduler.Record {
	id := scheduler.EntryID{Name: "a", Incarnation: 7}
	return []scheduler.Record{
		scheduler.ListRecord{List: scheduler.ListPlans, Basis: 3, Nonce: "n", Plans: []scheduler.Plan{{Name: "p"}}, By: "x"},
		scheduler.MarkRecord{Instance: "s", Mark: scheduler.MarkLeave, Nonce: "m"},
		scheduler.SnapshotRecord{Config: scheduler.Config{Offset: 4}},
		scheduler.ClaimRecord{Resource: "server/s", Owner: id, Basis: 1, Successors: []scheduler.EntryID{id}, Held: true},
		scheduler.SubmitRecord{Work: scheduler.Work{ID: "w", Kind: scheduler.ItemGang, Members: 2}},
		scheduler.StartRecord{Item: "w", By: id, Placed: []scheduler.Placement{{Worker: "k", Task: "t"}}},
		scheduler.FinishRecord{Item: "w", Task: "t", End: scheduler.EndSucceeded},
		scheduler.CancelRecord{Item: "w"},
		scheduler.ItemSnapshotRecord{Item: scheduler.Item{Phase: scheduler.ItemPending}},
	}
}

func TestRecordsRoundTrip(t *testing.T) {
	data, err := encoder.Encode(records())
	assert.NilError(t, err)
	decoded, errs := encoder.Decode(data)
	assert.Equal(t, len(errs), 0)
	assert.DeepEqual(t, decoded, records())
}

func TestOnlyUnreadableRecordsAreSkipped(t *testing.T) {
	good := `{"v":1,"kind":"cancel","body":{"item":"x"}}`
	cases := []struct {
		name    string
		data    string
		records int
		err     string
	}{
		{"empty", ``, 0, "unexpected end"},
		{"truncated", `[` + good + `,{"v":1`, 0, "unexpected end"},
		{"foreign text", `hello`, 0, "invalid character"},
		{"foreign object", `{"a":1}`, 0, "cannot unmarshal"},
		{"unknown version", `[` + good + `,{"v":2,"kind":"cancel","body":{}}]`, 1, "version 2 is not 1"},
		{"unknown kind", `[{"v":1,"kind":"dance","body":{}},` + good + `]`, 1, `kind "dance" is not known`},
		{"unknown member", `[{"v":1,"kind":"cancel","body":{"thing":1}}]`, 0, `unknown field "thing"`},
		{"wrong type", `[{"v":1,"kind":"cancel","body":{"item":5}}]`, 0, "cannot unmarshal number"},
		{"too large", strings.Repeat(" ", encoder.MaxBatchBytes+1), 0, "exceed the limit"},
	}
	for _, c := range cases {
		records, errs := encoder.Decode([]byte(c.data))
		assert.Equal(t, len(records), c.records, c.name)
		assert.Equal(t, len(errs), 1, c.name)
		assert.ErrorContains(t, errs[0], c.err, c.name)
	}
}

func FuzzDecode(f *testing.F) {
	data, err := encoder.Encode(records())
	assert.NilError(f, err)
	f.Add(data)
	f.Add([]byte(`[{"v":1,"kind":"keep","body":{}}]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		records, _ := encoder.Decode(data)
		encoded, err := encoder.Encode(records)
		assert.NilError(t, err)
		decoded, errs := encoder.Decode(encoded)
		assert.Equal(t, len(errs), 0)
		assert.Equal(t, len(decoded), len(records))
	})
}
