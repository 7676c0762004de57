package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/endivelock/endivelock/internal/queries/explainer"
)

// stagesCommand prints where the time of each queue's jobs went.
type stagesCommand struct {
	Files []string `arg:"positional,required" help:"logs of entries, - for standard input"`
	JSON  bool     `arg:"--json" help:"print JSON in place of a table"`
}

func (c *stagesCommand) run(context.Context) error {
	var e explainer.Explainer
	for _, name := range c.Files {
		if err := readLog(&e, name); err != nil {
			return err
		}
	}
	stages := e.Stages()
	if len(stages) == 0 {
		return errors.Newf("no acceptance of a job in %d logs; the leader's log has them", len(c.Files))
	}
	if c.JSON {
		return errors.Wrap(json.NewEncoder(os.Stdout).Encode(stages), "write stages")
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "queue\tstage\tcount\tmedian\tp95")
	for _, s := range stages {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%v\t%v\n", s.Queue, s.Name, s.Count, s.Median.Round(time.Millisecond), s.P95.Round(time.Millisecond))
	}
	return errors.Wrap(w.Flush(), "write stages")
}
