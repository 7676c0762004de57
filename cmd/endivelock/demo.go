package main

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/endivelock/endivelock/internal/demonstrator"
)

type demoCommand struct {
	Duration time.Duration `arg:"--duration" default:"10s" help:"how long work is sent"`
	Jobs     bool          `arg:"--jobs" help:"show jobs on a cell of workers, as on the users' platform"`
	JSON     bool          `arg:"--json" help:"print JSON in place of a table"`
	Verbose  bool          `arg:"--verbose" help:"print the entries' logs"`
}

func (c *demoCommand) run(ctx context.Context) error {
	if c.Duration < time.Second {
		return usageError{errors.Newf("duration is %v, allowed is at least 1s", c.Duration)}
	}
	if c.Jobs {
		return c.runJobs(ctx)
	}
	demo := demonstrator.Demo{Duration: c.Duration, Progress: func(text string) { progress("%s", text) }}
	if c.Verbose {
		demo.Logger = logrus.New()
	}
	r, err := demo.Run(ctx)
	progress("")
	if err != nil {
		return err
	}
	if err := c.print(r); err != nil {
		return err
	}
	if r.Violations() > 0 {
		return errors.Newf("%d violations were counted", r.Violations())
	}
	return nil
}

// runJobs runs the demo in which the leader of the jobs loses its connection to
// the log.
func (c *demoCommand) runJobs(ctx context.Context) error {
	demo := demonstrator.Jobs{Duration: c.Duration}
	if c.Verbose {
		demo.Logger = logrus.New()
	}
	r, err := demo.Run(ctx)
	if err != nil {
		return err
	}
	err = clientOptions{JSON: c.JSON}.print(r, "MEASURE\tVALUE", func(w io.Writer) {
		writeRow(w, "accepted", r.Accepted)
		writeRow(w, "complete", r.Complete)
		writeRow(w, "unknown", r.Unknown)
		writeRow(w, "takeover ms", r.Takeover)
		writeRow(w, "lost", r.Lost())
		writeRow(w, "broken rules", len(r.Violations))
	})
	if err == nil && (r.Lost() > 0 || len(r.Violations) > 0) {
		err = errors.Newf("%d jobs were lost, %d starts broke a rule", r.Lost(), len(r.Violations))
	}
	return err
}

func (c *demoCommand) print(r demonstrator.Result) error {
	return clientOptions{JSON: c.JSON}.print(r, "MEASURE\tVALUE", func(w io.Writer) {
		writeRow(w, "placed", r.Placed)
		writeRow(w, "ran", r.Ran)
		writeRow(w, "refused", r.Refused)
		writeRow(w, "unknown", r.Unknown)
		writeRow(w, "wait p50 ms", r.WaitP50)
		writeRow(w, "wait p99 ms", r.WaitP99)
		writeRow(w, "path p50 ms", r.PathP50)
		writeRow(w, "direct p50 ms", r.DirectP50)
		writeRow(w, "work items", r.Items)
		writeRow(w, "overcommitted", r.Overcommitted)
		writeRow(w, "doubled", r.Doubled)
		writeRow(w, "lost", r.Lost)
		writeRow(w, "refused but ran", r.RefusedButRan)
		writeRow(w, "wrong answers", r.Wrong)
		writeRow(w, "config seconds", r.ConfigSeconds)
	})
}
