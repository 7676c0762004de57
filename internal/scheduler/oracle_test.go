package scheduler_test

import (
	"fmt"

	"github.com/endivelock/endivelock/internal/scheduler"
)

// oracle checks the invariants from outside, without knowledge of how the cores
// maintain them.
type oracle struct {
	faults    []string
	runs      map[string]int
	notRun    map[string]bool // requests whose caller was told that they did not run
	running   map[string]int
	endedWell map[string]int
	starts    map[string]int
	configs   map[int64]string // by offset, the configuration that entries had in force
	submitted []string
}

func newOracle() *oracle {
	return &oracle{
		runs: map[string]int{}, notRun: map[string]bool{}, running: map[string]int{},
		endedWell: map[string]int{}, starts: map[string]int{}, configs: map[int64]string{},
	}
}

func (o *oracle) fault(format string, values ...any) {
	o.faults = append(o.faults, fmt.Sprintf(format, values...))
}

// requestRan checks a request that begins at a server.
func (o *oracle) requestRan(request, server string, busy int) {
	o.runs[request]++
	if o.runs[request] > 1 {
		o.fault("request %s ran %d times", request, o.runs[request])
	}
	if o.notRun[request] {
		o.fault("request %s ran after its caller was told that it was not run", request)
	}
	if busy > serverSlots {
		o.fault("server %s has %d requests in %d slots", server, busy, serverSlots)
	}
}

// checkAllowance checks the number of requests in progress against the largest
// allowance of the only plan.
func (o *oracle) checkAllowance(inProgress int) {
	if inProgress > largestAllowance {
		o.fault("plan p has %d requests in progress and is allowed %d", inProgress, largestAllowance)
	}
}

func (o *oracle) requestRefused(request string) {
	o.notRun[request] = true
	if o.runs[request] > 0 {
		o.fault("caller of request %s was told that it was not run, and it was", request)
	}
}

// taskStarted checks a task that begins on a worker.
func (o *oracle) taskStarted(member string, once bool, used int64) {
	o.running[member]++
	if o.running[member] > 1 {
		o.fault("task %s runs in two places", member)
	}
	o.starts[member]++
	if once && o.starts[member] > 1 {
		o.fault("task %s must not be repeated and was started %d times", member, o.starts[member])
	}
	if used > 2 {
		o.fault("a worker of size 2 was given %d", used)
	}
}

func (o *oracle) taskEnded(member string, end scheduler.End) {
	o.running[member]--
	if end == scheduler.EndSucceeded {
		o.endedWell[member]++
	}
}

// checkConfig checks one change of an entry's configuration.
func (o *oracle) checkConfig(before, after scheduler.State) {
	if after.Config.Offset < before.Config.Offset {
		o.fault("entry %v went back from configuration %d to %d", after.Self.ID, before.Config.Offset, after.Config.Offset)
	}
	if after.Config.Offset == before.Config.Offset {
		return
	}
	text := fmt.Sprint(after.Config.Plans, after.Config.Allowances, after.Config.Marks)
	known, ok := o.configs[after.Config.Offset]
	if ok && known != text {
		o.fault("entries have two configurations at offset %d: %s and %s", after.Config.Offset, known, text)
	}
	o.configs[after.Config.Offset] = text
}

// checkOwners checks that no resource has two acting owners.
func (o *oracle) checkOwners(nodes map[string]*node) {
	holders := map[string]scheduler.EntryID{}
	for _, n := range nodes {
		if !n.alive {
			continue
		}
		for resource := range n.state.Holds.All() {
			if other, ok := holders[resource]; ok {
				o.fault("%s has two owners, %v and %v", resource, other, n.state.Self.ID)
			}
			holders[resource] = n.state.Self.ID
		}
	}
}

// checkLedgers checks that entries that have read up to the same offset agree on
// every item.
func (o *oracle) checkLedgers(nodes map[string]*node) {
	known := map[string]string{}
	for _, n := range nodes {
		for id, i := range n.state.Items.All() {
			key := fmt.Sprint(n.state.Applied, id)
			text := fmt.Sprint(i.Phase, i.Attempt)
			if other, ok := known[key]; ok && other != text {
				o.fault("item %s at offset %d is %s and %s", id, n.state.Applied, other, text)
			}
			known[key] = text
		}
	}
}

// checkLists checks that every entry has the version of the list that follows from
// the part of the log that it has read: of the edits of one version, the first in
// the log wins.
func (o *oracle) checkLists(log []scheduler.ReadRecord, nodes map[string]*node) {
	for _, n := range nodes {
		want := int64(0)
		for _, r := range log {
			edit, ok := r.Record.(scheduler.ListRecord)
			if ok && edit.List == scheduler.ListAllowances && r.Offset < n.state.ConfigNext && edit.Basis == want {
				want = r.Offset
			}
		}
		if n.state.Config.AllowanceVersion != want {
			o.fault("entry %v has version %d of the list and should have %d", n.state.Self.ID, n.state.Config.AllowanceVersion, want)
		}
	}
}
