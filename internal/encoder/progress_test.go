package encoder_test

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/endivelock/endivelock/internal/encoder"
	"github.com/endivelock/endivelock/internal/ledger"
)

// drawProgress draws any progress of a job.
func drawProgress(t *rapid.T) ledger.Progress {
	task := rapid.Custom(func(t *rapid.T) ledger.Task {
		return ledger.Task{
			Phase: ledger.Phase(rapid.IntRange(0, 2).Draw(t, "phase")), Run: rapid.IntRange(0, 30).Draw(t, "run"), Failures: rapid.IntRange(0, 3).Draw(t, "failures"),
			LastRunFailed: rapid.Bool().Draw(t, "failed"),
			Worker:        rapid.SampledFrom([]string{"", "i-5f519ce5f9", `odd "name"`}).Draw(t, "worker"), Checkpoint: rapid.SampledFrom([]string{"", "0000a1"}).Draw(t, "checkpoint"),
		}
	})
	round := rapid.Custom(func(t *rapid.T) ledger.Round {
		r := ledger.Round{Done: rapid.Bool().Draw(t, "done")}
		for range rapid.IntRange(0, 3).Draw(t, "steps") {
			r.Tasks = append(r.Tasks, rapid.SliceOfN(task, 1, 4).Draw(t, "tasks"))
		}
		return r
	})
	return ledger.Progress{
		State:  rapid.SampledFrom([]ledger.State{ledger.Queued, ledger.Running, ledger.Complete}).Draw(t, "state"),
		Began:  rapid.Bool().Draw(t, "began"),
		Rounds: rapid.SliceOfN(round, 0, 3).Draw(t, "rounds"),
	}
}

// withoutPlaces returns the progress without the workers and checkpoints of done tasks.
func withoutPlaces(p ledger.Progress) ledger.Progress {
	for i, r := range p.Rounds {
		for j, step := range r.Tasks {
			for k, t := range step {
				if t.Phase == ledger.Done {
					p.Rounds[i].Tasks[j][k].Worker, p.Rounds[i].Tasks[j][k].Checkpoint = "", ""
				}
			}
		}
	}
	return p
}

// The stream of runs outlives the processes: records of earlier versions and of this
// one are read alike.
func TestProgressIsWrittenAsItsJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawProgress(t)
		v := encoder.Progress("0123456789abcdef", p)
		want, err := json.Marshal(withoutPlaces(p))
		if err != nil {
			t.Fatal(err)
		}
		if string(v.Data) != string(want) {
			t.Fatalf("written as %s, want %s", v.Data, want)
		}
	})
}

func TestProgressIsReadBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawProgress(t)
		c, err := encoder.RunChange(encoder.Progress("0123456789abcdef", p))
		if err != nil {
			t.Fatal(err)
		}
		assert.Equal(t, c.Progress.State, p.State)
		again := encoder.Progress(c.ID, *c.Progress)
		assert.Equal(t, string(again.Data), string(encoder.Progress("0123456789abcdef", p).Data))
	})
}

// maxRecordBytes is the largest record that the platform takes.
const maxRecordBytes = 256 << 10

// A leader that could not write the progress of a job would stop there, and so would
// each that takes over. The largest job must fit into a record while its tasks run again
// from checkpoints.
func TestTheProgressOfTheLargestJobFitsIntoARecord(t *testing.T) {
	tasks := make([]ledger.Task, ledger.MaxTasks)
	for i := range tasks {
		tasks[i] = ledger.Task{Phase: ledger.Started, Run: 12, Failures: 2, Worker: "i-5f519ce5f95f519ce5", Checkpoint: "0123456789abcdef"}
	}
	p := ledger.Progress{State: ledger.Running, Rounds: []ledger.Round{{Tasks: [][]ledger.Task{tasks}}}}
	v := encoder.Progress("0123456789abcdef", p)
	assert.Assert(t, len(v.Name)+len(v.Data) < maxRecordBytes, "%d bytes", len(v.Data))
}

// The same for a gang whose tasks have all failed at once.
func TestTheProgressOfTheLargestGangFitsIntoARecord(t *testing.T) {
	tasks := make([]ledger.Task, ledger.MaxTasks)
	for i := range tasks {
		tasks[i] = ledger.Task{Run: 12, LastRunFailed: true, Worker: "i-5f519ce5f95f519ce5", Checkpoint: "0123456789abcdef"}
	}
	tasks[0].Failures = 12
	p := ledger.Progress{State: ledger.Running, Rounds: []ledger.Round{{Tasks: [][]ledger.Task{tasks}}}}
	v := encoder.Progress("0123456789abcdef", p)
	assert.Assert(t, len(v.Name)+len(v.Data) < maxRecordBytes, "%d bytes", len(v.Data))
}

// The same for scheduled jobs, with as many occurrences in progress as a job may have.
func TestTheProgressOfOverlappingOccurrencesFitsIntoARecord(t *testing.T) {
	for _, shape := range []struct{ tasks, steps, rounds int }{{1000, 1, 9}, {1000, 1, ledger.MaxRounds}, {1, 1, ledger.MaxRounds}, {1, ledger.MaxSteps, 1000}, {20, 50, 500}, {ledger.MaxTasks, 1, 10}} {
		job := ledger.Job{Schedule: &ledger.Schedule{Times: shape.rounds}}
		tasks := make([]ledger.Task, shape.tasks)
		for i := range tasks {
			tasks[i] = ledger.Task{Phase: ledger.Started, Run: 12, Failures: 2, Worker: "i-5f519ce5f95f519ce5", Checkpoint: "0123456789abcdef"}
		}
		round := ledger.Round{}
		for range shape.steps {
			job.Steps = append(job.Steps, ledger.Step{Count: shape.tasks})
			round.Tasks = append(round.Tasks, tasks)
		}
		assert.NilError(t, job.Validate())
		p := ledger.Progress{State: ledger.Running, Began: true, Rounds: make([]ledger.Round, shape.rounds)}
		for i := range p.Rounds {
			p.Rounds[i] = ledger.Round{Done: true}
			if i < job.MaxRoundsInProgress() {
				p.Rounds[i] = round
			}
		}
		v := encoder.Progress("0123456789abcdef", p)
		assert.Assert(t, len(v.Name)+len(v.Data) < maxRecordBytes, "%+v: %d bytes", shape, len(v.Data))
	}
}

func BenchmarkProgress(b *testing.B) {
	tasks := make([]ledger.Task, 41)
	for i := range tasks {
		tasks[i] = ledger.Task{Phase: ledger.Started, Run: 1, Worker: "i-5f519ce5f9"}
	}
	p := ledger.Progress{State: ledger.Running, Rounds: []ledger.Round{{Tasks: [][]ledger.Task{tasks, tasks}}}}
	for range b.N {
		encoder.Progress("0123456789abcdef", p)
	}
}
