package main

import (
	"context"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/endivelock/endivelock/internal/queries/explainer"
)

// explainCommand prints the history of a job from the logs of entries.
type explainCommand struct {
	Job   string   `arg:"positional,required" help:"identifier of the job"`
	Files []string `arg:"positional,required" help:"logs of entries, - for standard input"`
}

func (c *explainCommand) run(context.Context) error {
	var e explainer.Explainer
	for _, name := range c.Files {
		if err := readLog(&e, name); err != nil {
			return err
		}
	}
	lines := e.Job(c.Job)
	if len(lines) == 0 {
		return errors.Newf("no line about job %s in %d logs", c.Job, len(c.Files))
	}
	for _, l := range lines {
		fmt.Println(l)
	}
	return nil
}

func readLog(e *explainer.Explainer, name string) error {
	if name == "-" {
		return e.Read(os.Stdin)
	}
	f, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	err = e.Read(f)
	if closeErr := f.Close(); err == nil {
		err = errors.Wrap(closeErr, "close log")
	}
	return err
}
