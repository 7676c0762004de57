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

// runJobs shows jobs whose leader is cut off the log.
func (c *demoCommand) runJobs(ctx context.Context) error {
	demo := demonstrator.Jobs{Duration: c.Duration}
	if c.Verbose {
		demo.Logger = logrus.New()
	}
	r, err := demo.Run(ctx)
	if err != nil {
		return err
	}
	err = target{JSON: c.JSON}.print(r, "MEASURE\tVALUE", func(w io.Writer) {
		row(w, "accepted", r.Accepted)
		row(w, "complete", r.Complete)
		row(w, "unknown", r.Unknown)
		row(w, "takeover ms", r.Takeover)
		row(w, "lost", r.Lost())
		row(w, "broken rules", len(r.Faults))
	})
	if err == nil && (r.Lost() > 0 || len(r.Faults) > 0) {
		err = errors.Newf("%d jobs were lost, %d starts broke a rule", r.Lost(), len(r.Faults))
	}
	return err
}

func (c *demoCommand) print(r demonstrator.Result) error {
	return target{JSON: c.JSON}.print(r, "MEASURE\tVALUE", func(w io.Writer) {
		row(w, "placed", r.Placed)
		row(w, "ran", r.Ran)
		row(w, "refused", r.Refused)
		row(w, "unknown", r.Unknown)
		row(w, "wait p50 ms", r.WaitP50)
		row(w, "wait p99 ms", r.WaitP99)
		row(w, "path p50 ms", r.PathP50)
		row(w, "direct p50 ms", r.DirectP50)
		row(w, "work items", r.Items)
		row(w, "overcommitted", r.Overcommitted)
		row(w, "doubled", r.Doubled)
		row(w, "lost", r.Lost)
		row(w, "refused but ran", r.RefusedButRan)
		row(w, "wrong answers", r.Wrong)
		row(w, "config seconds", r.ConfigSeconds)
	})
}
