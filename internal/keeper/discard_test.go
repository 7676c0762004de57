package keeper_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/endivelock/endivelock/internal/keeper"
	"github.com/endivelock/endivelock/internal/ledger"
)

// storedStream is a stream of the log: the offset of the newest record of each name.
type storedStream struct {
	down  bool
	names map[string]int64
	end   int64
}

func (s *storedStream) append(name string, drop bool) int64 {
	offset := s.end
	s.end++
	if s.names[name] = offset; drop {
		delete(s.names, name)
	}
	return offset
}

// discardModel is a log with both streams of jobs, and the entry that leads.
type discardModel struct {
	*entry
	t          *rapid.T
	jobs, runs *storedStream
	progress   map[ledger.ID]ledger.Progress
	epoch      int64
}

func newDiscardModel(t *rapid.T) *discardModel {
	m := &discardModel{
		t: t, progress: map[ledger.ID]ledger.Progress{},
		jobs: &storedStream{names: map[string]int64{}}, runs: &storedStream{names: map[string]int64{}},
	}
	m.takeOver()
	return m
}

// takeOver has another entry read both streams and lead.
func (m *discardModel) takeOver() {
	now := time.Unix(1_700_000_000, 0)
	if m.entry != nil {
		now = m.now
	}
	m.entry = newEntry()
	m.now = now
	m.apply(keeper.Ticked{})
	var read []keeper.JobChange
	for _, name := range slices.Sorted(maps.Keys(m.jobs.names)) {
		read = append(read, m.change(name, m.jobs.names[name], false))
	}
	m.apply(keeper.JobsRead{Changes: read, Next: m.jobs.end, Snapshot: true})
	var runs []keeper.RunChange
	for _, name := range slices.Sorted(maps.Keys(m.runs.names)) {
		c := m.change(name, m.runs.names[name], true)
		runs = append(runs, keeper.RunChange{Offset: c.Offset, Job: &c})
	}
	for _, id := range slices.Sorted(maps.Keys(m.progress)) {
		p := m.progress[id]
		runs = append(runs, keeper.RunChange{ID: id, Progress: &p})
	}
	m.apply(keeper.RunsRead{Changes: runs, Next: m.runs.end, Snapshot: true})
	for range 50 {
		m.now = m.now.Add(50 * time.Millisecond)
		m.apply(keeper.RunsRead{Next: m.runs.end})
		m.apply(keeper.Ticked{Jitter: time.Millisecond})
	}
	m.epoch += 100
	m.act(keeper.Claimed{Epoch: m.epoch})
	assert.Assert(m.t, m.state.Role() == keeper.Leading)
}

// change returns the change that shows a record.
func (m *discardModel) change(name string, offset int64, inRuns bool) keeper.JobChange {
	name = strings.TrimPrefix(name, "+")
	id, cancel := keeper.SplitName(name)
	c := job(id)
	if cancel {
		c = keeper.JobChange{ID: id, Cancel: true}
	}
	c.Offset, c.InRuns = offset, inRuns
	return c
}

// write adds a record of a job to a stream that is up and shows it to the leader.
func (m *discardModel) write(s *storedStream, name string) {
	inRuns := s == m.runs
	if s.down {
		return
	}
	if inRuns {
		name = keeper.FallbackName(name)
	}
	m.act(keeper.JobsRead{Changes: []keeper.JobChange{m.change(name, s.append(name, false), inRuns)}, Next: -1})
}

// act applies an event and performs its effects.
func (m *discardModel) act(event keeper.Event) {
	for _, effect := range m.apply(event) {
		switch f := effect.(type) {
		case keeper.Discard:
			m.drop(m.jobs, f.FromJobs)
			m.drop(m.runs, f.FromRuns)
		case keeper.Expire:
			m.checkForgotten(f.Job)
			delete(m.progress, f.Job)
		}
	}
}

// drop drops names from a stream. The answer may be lost.
func (m *discardModel) drop(s *storedStream, names []string) {
	lost := rapid.IntRange(0, 3).Draw(m.t, "lost") == 0
	for _, name := range names {
		if s.down {
			return
		}
		c := m.change(name, s.append(name, true), s == m.runs)
		c.Job, c.Cancel, c.Dropped = nil, strings.HasSuffix(name, "!"), true
		if !lost {
			m.act(keeper.JobsRead{Changes: []keeper.JobChange{c}, Next: -1})
		}
	}
}

// checkForgotten checks that no stream has a job whose state is deleted.
func (m *discardModel) checkForgotten(id ledger.ID) {
	_, inJobs := m.jobs.names[string(id)]
	_, inRuns := m.runs.names[keeper.FallbackName(string(id))]
	assert.Assert(m.t, !inJobs && !inRuns, "the end of %s is deleted, and its acceptance can still be read (jobs %v, runs %v)", id, inJobs, inRuns)
}

// finish records the end of a job.
func (m *discardModel) finish(id ledger.ID) {
	p := ledger.Progress{State: ledger.Complete}
	m.progress[id] = p
	m.act(keeper.Written{Changes: []keeper.RunChange{{ID: id, Progress: &p}}})
}

// A completed job that its stream still has when its end is deleted runs again under the next
// leader (review/8): the drop was refused, or went to the other stream.
func TestTheEndOfAJobIsKeptUntilItsAcceptanceIsDropped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newDiscardModel(t)
		ids := []ledger.ID{"a", "b", "c", "d"}
		streams := []*storedStream{m.jobs, m.runs}
		drawJob := func() ledger.ID { return rapid.SampledFrom(ids).Draw(t, "job") }
		drawStream := func() *storedStream { return rapid.SampledFrom(streams).Draw(t, "stream") }
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch id := drawJob(); rapid.SampledFrom([]string{"accept", "cancel", "finish", "outage", "wait", "wait", "lose"}).Draw(t, "step") {
			case "accept":
				m.write(drawStream(), string(id))
			case "cancel":
				m.write(drawStream(), keeper.CancelName(id))
			case "finish":
				if _, known := m.state.Job(id); known {
					m.finish(id)
				}
			case "outage":
				s := drawStream()
				s.down = !s.down
			case "wait":
				for range rapid.IntRange(1, 150).Draw(t, "seconds") {
					m.now = m.now.Add(time.Second)
					m.act(keeper.Ticked{})
				}
			case "lose":
				m.takeOver()
			}
		}
		m.checkCleared(ids)
	})
}

// checkCleared checks that nothing is left of ended jobs once both streams have been up for
// long.
func (m *discardModel) checkCleared(ids []ledger.ID) {
	m.jobs.down, m.runs.down = false, false
	for _, id := range ids {
		if _, known := m.state.Job(id); known {
			m.finish(id)
		}
	}
	ended := maps.Clone(m.progress)
	for range 600 {
		m.now = m.now.Add(time.Second)
		m.act(keeper.Ticked{})
	}
	assert.Equal(m.t, len(m.progress), 0)
	for id := range ended {
		for _, name := range []string{string(id), keeper.CancelName(id)} {
			_, inJobs := m.jobs.names[name]
			_, inRuns := m.runs.names[keeper.FallbackName(name)]
			assert.Assert(m.t, !inJobs && !inRuns, fmt.Sprintf("%s is left", name))
		}
	}
}

// An entry may miss that a job was dropped, if the log has trimmed the change. It must not
// take the job for one that waits once its state is deleted, too.
func TestAJobThatTheNewestValuesDoNotShowIsForgotten(t *testing.T) {
	e := synced()
	e.apply(keeper.JobsRead{Changes: []keeper.JobChange{job("a"), {Offset: 1, ID: "b", Job: &ledger.Job{ID: "b"}}}, Next: 2})
	kept := job("b")
	kept.Offset = 1
	later := job("c")
	later.Offset = 9
	e.apply(keeper.JobsRead{Changes: []keeper.JobChange{later}, Next: -1}) // announced by another entry
	e.apply(keeper.JobsRead{Changes: []keeper.JobChange{kept}, Next: 8, Snapshot: true})
	for id, want := range map[ledger.ID]bool{"a": false, "b": true, "c": true} {
		_, known := e.state.Job(id)
		assert.Equal(t, known, want, "%s", id)
	}
}

// A job whose drop from the stream of runs was read may still be in the stream of jobs.
func TestADropFromOneStreamLeavesTheJobInTheOther(t *testing.T) {
	e := synced()
	e.apply(keeper.JobsRead{Changes: []keeper.JobChange{job("a")}, Next: 1})
	e.runs(keeper.RunChange{Job: &keeper.JobChange{ID: "a", Dropped: true, InRuns: true, Offset: 5}})
	_, known := e.state.Job("a")
	assert.Assert(t, known)
	assert.Assert(t, e.state.Holds("a", false, false))
}
