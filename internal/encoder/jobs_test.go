package encoder_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivelock/endivelock/internal/encoder"
	"github.com/endivelock/endivelock/internal/keeper"
	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
	"github.com/endivelock/endivelock/internal/replicator"
)

const jobName = "0123456789abcdef"

// poisonJobs are records that would end each process that leads, one after the other,
// if they were taken for jobs.
var poisonJobs = []string{
	`{"id":"0123456789abcdef","steps":[{"count":9000000000000000000}]}`,
	`{"id":"0123456789abcdef","steps":[{"count":-1}]}`,
	`{"id":"0123456789abcdef","steps":[{"count":1,"after":[7]}]}`,
	`{"id":"0123456789abcdef","steps":[{"count":1}],"schedule":{"times":2000000000}}`,
	`{"id":"0123456789abcdef","steps":[{"count":1}],"schedule":{"times":-1}}`,
	`{"id":"0123456789abcdef","steps":[]}`,
	`{"id":"another","steps":[{"count":1}]}`,
	`{"id":"0123456789abcdef"`,
	`null`,
}

func TestPoisonRecordsAreErrors(t *testing.T) {
	for _, data := range poisonJobs {
		_, err := encoder.JobChange(replicator.Value{Offset: 9, Name: jobName, Data: []byte(data)})
		assert.ErrorContains(t, err, "at offset 9", "%s", data)
	}
}

// Guards against leases that are given up too early: a reading that can't be told as a time
// would wrap around.
func TestReadingsThatNoClockShowsAreErrors(t *testing.T) {
	for name, data := range map[string]string{
		keeper.LeadName + " late": `{"epoch":5,"name":"a","clock":9223372036854775}`, keeper.LeadName + " negative": `{"epoch":5,"clock":-1}`,
		keeper.LeasesName + " late": `{"epoch":5,"others":9223372036854775}`, keeper.LeasesName + " negative": `{"epoch":5,"until":{"w":-1}}`,
	} {
		key, _, _ := strings.Cut(name, " ")
		_, err := encoder.RunChange(replicator.Value{Offset: 9, Name: key, Data: []byte(data)})
		assert.ErrorContains(t, err, "at offset 9", "%s", data)
	}
}

// lead has an entry with a job and its progress take over, which must not panic.
func lead(changes []keeper.JobChange, runs []keeper.RunChange) {
	now := time.Unix(1_700_000_000, 0)
	s := keeper.New(keeper.Identity{Name: "me", Address: "me:1", CPUShare: 1}, keeper.Policy{Leader: leader.Policy{Lease: 6 * time.Second}})
	for _, e := range []keeper.Event{
		keeper.JobsRead{Snapshot: true, Changes: changes, Next: 1}, keeper.RunsRead{Snapshot: true, Changes: runs, Next: 1},
		keeper.LeadsRead{}, keeper.Ticked{}, keeper.Ticked{}, keeper.Claimed{Epoch: 5}, keeper.Ticked{},
		keeper.LeaderEvent{Epoch: 5, Event: leader.Listed{Listing: leader.Listing{ID: "w", Capacity: ledger.Resources{CPU: 64_000, Memory: 64_000}}}},
		keeper.LeaderEvent{Epoch: 5, Event: leader.Reported{Worker: "w", Report: leader.Report{Incarnation: 1}, Sent: now, Silence: 1}},
		keeper.Ticked{},
	} {
		now = now.Add(2 * time.Second)
		s, _ = s.Apply(e, now)
	}
}

// Whatever is in the stream of jobs, an entry that reads it can take over.
func FuzzJobRecord(f *testing.F) {
	for _, data := range poisonJobs {
		f.Add([]byte(data))
	}
	f.Add([]byte(`{"id":"0123456789abcdef","steps":[{"count":2,"size":{"cpu":100}},{"count":1,"after":[0],"gang":true}],"accepted":"2026-01-01T00:00:00Z"}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		c, err := encoder.JobChange(replicator.Value{Name: jobName, Data: data})
		if err == nil {
			lead([]keeper.JobChange{c}, nil)
		}
	})
}

// Whatever is in the stream of runs, an entry that reads it can take over.
func FuzzRunRecord(f *testing.F) {
	for _, data := range []string{
		`{"state":"running","rounds":[{"tasks":[[{"p":1,"r":1,"w":"w"}]]}]}`,
		`{"state":"running","rounds":[{"tasks":[[{},{}],[{"p":1,"w":"w"}],[{}]]}]}`,
		`{"state":"running","rounds":[{},{},{}]}`,
		`{"epoch":1,"name":"a","clock":9}`, `{"epoch":1,"others":9,"until":{"w":99}}`,
		`{"state":"complete"}`, `{"state":"odd","rounds":null}`, `{`,
	} {
		f.Add([]byte(data))
	}
	job := ledger.Job{ID: jobName, Steps: []ledger.Step{{Count: 2, Request: ledger.Resources{CPU: 100}}, {Count: 1, After: []int{0}}}}
	f.Fuzz(func(_ *testing.T, data []byte) {
		for _, name := range []string{jobName, keeper.LeadName, keeper.LeasesName} {
			c, err := encoder.RunChange(replicator.Value{Name: name, Data: data})
			if err == nil {
				lead([]keeper.JobChange{{ID: jobName, Job: &job}}, []keeper.RunChange{c})
			}
		}
	})
}
