package encoder_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/encoder"
	"github.com/endivelock/endivelock/internal/scheduler"
)

// itemRecords returns the records of one work item with one member, from its
// submission to its end.
func itemRecords(n int) []scheduler.Record {
	id := fmt.Sprintf("7f6d1f0e-5f0a-4c53-9f0e-%012d", n)
	by := scheduler.EntryID{Name: "nordkueste-muc1-0", Incarnation: 1796379957683}
	size := scheduler.Size{CPU: 4000, Memory: 16384, Accelerators: 1}
	task := id + ".0.0"
	return []scheduler.Record{
		scheduler.SubmitRecord{Work: scheduler.Work{
			ID: id, Kind: scheduler.ItemDeferred, Plan: "recalculations", Name: "margins", Members: 1,
			Size: size, Run: time.Minute, Deadline: time.Unix(1796379957, 0).UTC(),
		}},
		scheduler.StartRecord{Item: id, By: by, Limit: size, Placed: []scheduler.Placement{{Worker: "nordkueste-muc1-w117", Task: task}}},
		scheduler.FinishRecord{Item: id, Task: task, End: scheduler.EndSucceeded},
	}
}

// claimRecord returns an ownership record with a full line of successors.
func claimRecord() scheduler.Record {
	id := func(n int) scheduler.EntryID {
		return scheduler.EntryID{Name: fmt.Sprintf("nordkueste-muc1-%d", n), Incarnation: 1796379957683}
	}
	return scheduler.ClaimRecord{
		Resource: scheduler.WorkerResource("nordkueste-muc1-w117"), Owner: id(0), Basis: 123456,
		Successors: []scheduler.EntryID{id(1), id(2), id(3), id(4)}, Held: true,
	}
}

// BenchmarkCodec reports the size of a record and the time to encode and decode
// it, in batches of 300 records.
func BenchmarkCodec(b *testing.B) {
	cases := map[string][]scheduler.Record{"item": nil, "claim": nil}
	for n := range 100 {
		cases["item"] = append(cases["item"], itemRecords(n)...)
		cases["claim"] = append(cases["claim"], claimRecord(), claimRecord(), claimRecord())
	}
	for _, name := range []string{"item", "claim"} {
		records := cases[name]
		data, err := encoder.Encode(records)
		assert.NilError(b, err)
		b.Run("encode/"+name, func(b *testing.B) {
			for range b.N {
				_, _ = encoder.Encode(records)
			}
			reportPerRecord(b, len(records), len(data))
		})
		b.Run("decode/"+name, func(b *testing.B) {
			for range b.N {
				_, _ = encoder.Decode(data)
			}
			reportPerRecord(b, len(records), len(data))
		})
	}
}

func reportPerRecord(b *testing.B, records, bytes int) {
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(records), "ns/record")
	b.ReportMetric(float64(bytes)/float64(records), "B/record")
}
