//go:build review

package main

import (
	"time"
)

// job is the body of a submission.
type job struct {
	Spec     string `json:"spec"`
	Steps    []step `json:"steps"`
	Times    int    `json:"times,omitempty"`
	StartAt  int64  `json:"start_at_ms,omitempty"`
	Interval int64  `json:"interval_ms,omitempty"`

	failShare float64 // share of the runs that fail
	poisoned  bool    // all of them do
}

type step struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu"`
	Memory       int    `json:"mem_mb"`
	Estimate     int    `json:"est_ms,omitempty"`
	Label        string `json:"required_label,omitempty"`
	MaxPerServer int    `json:"max_per_server,omitempty"`
	LongRunning  bool   `json:"long_running,omitempty"`
	Checkpoint   bool   `json:"checkpoint,omitempty"`
	Gang         bool   `json:"gang,omitempty"`
	After        []int  `json:"after,omitempty"`
}

// startsOf returns what the runners have begun of a job.
func (c *cell) startsOf(id string) []start {
	var all []start
	for _, w := range c.runners {
		w.mu.Lock()
		for _, s := range w.starts {
			if len(s.task) > len(id) && s.task[:len(id)] == id {
				all = append(all, s)
			}
		}
		w.mu.Unlock()
	}
	return all
}

// runningTasks returns the tasks of a job that run, and where.
func (c *cell) runningTasks(id string) map[string]*runner {
	tasks := map[string]*runner{}
	for _, w := range c.runners {
		w.mu.Lock()
		for _, t := range w.running {
			if len(t.name) > len(id) && t.name[:len(id)] == id {
				tasks[t.name] = w
			}
		}
		w.mu.Unlock()
	}
	return tasks
}

// poll is the time between two looks at what runs.
const poll = 20 * time.Millisecond
