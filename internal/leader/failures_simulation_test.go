package leader_test

import (
	"strings"

	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
)

// runSets are sets of run numbers, by task or gang.
type runSets map[string]map[int]bool

func (s runSets) add(unit string, run int) {
	if s[unit] == nil {
		s[unit] = map[int]bool{}
	}
	s[unit][run] = true
}

// unit names what the attempts of a task's job are counted for: the task, or its gang.
func (sm *simulation) unit(id ledger.TaskID) string {
	if sm.jobs[id.Job].Steps[id.Step].Gang {
		id.Index = -1
	}
	return id.String()
}

// checkFailed fails the test if a job fails although each of its tasks and gangs has attempts
// left.
func (sm *simulation) checkFailed(r leader.Record) {
	if r.Progress.State != ledger.Failed {
		return
	}
	for unit, runs := range sm.failedRuns {
		if strings.HasPrefix(unit, string(r.Job)+".") && len(runs) >= sm.jobs[r.Job].Queue.Attempts {
			return
		}
	}
	sm.t.Fatalf("job %s failed with attempts left: %v", r.Job, sm.failedRuns)
}
