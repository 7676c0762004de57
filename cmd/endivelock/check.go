package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/endivelock/endivelock/internal/limiter"
	"github.com/endivelock/endivelock/internal/loader"
	"github.com/endivelock/endivelock/internal/queries/checker"
	adapter "github.com/endivelock/endivelock/platform"
)

// platformTimeout bounds a call to the platform's log.
const platformTimeout = 5 * time.Second

// checkCommand checks a settings file, or a configuration before it is sent.
type checkCommand struct {
	File     string        `arg:"positional" help:"configuration (JSON); exit codes: 0 clean, 1 findings, 2 unreadable"`
	Against  string        `arg:"--against" placeholder:"FILE" help:"configuration in force: print what differs, which is no finding"`
	Platform string        `arg:"--platform" placeholder:"ADDRESS" help:"log of the platform (host:port), to read the configuration in force from it"`
	Revoke   time.Duration `arg:"--revoke" placeholder:"TIME" help:"revoke of the settings, such as 5s"`
	Apply    time.Duration `arg:"--apply" placeholder:"TIME" help:"apply of the settings"`
	Memory   int64         `arg:"--memory" placeholder:"MB" help:"memory of an entry, to find bodies that it can't hold"`
	JSON     bool          `arg:"--json" help:"print JSON"`
	Config   string        `arg:"--config" placeholder:"FILE" help:"check a settings file of serve instead; exit codes: 0 valid, 2 not. That of schedule: endivelock schedule --check"`
}

func (c *checkCommand) run(ctx context.Context) error {
	if (c.File == "") == (c.Config == "") {
		return usageError{errors.New("check needs either a configuration or --config and a settings file")}
	}
	if c.Config == "" {
		return c.checkConfiguration(ctx)
	}
	if c.options() {
		return usageError{errors.New("the options of a configuration don't go with --config")}
	}
	if _, err := loader.Load(c.Config); err != nil {
		return err
	}
	fmt.Println(c.Config + ": settings are valid")
	return nil
}

// options reports whether an option is set that only a configuration has.
func (c *checkCommand) options() bool {
	return c.Against != "" || c.Platform != "" || c.Revoke != 0 || c.Apply != 0 || c.Memory != 0 || c.JSON
}

func (c *checkCommand) checkConfiguration(ctx context.Context) error {
	if c.Revoke < 0 || c.Apply < 0 || c.Memory < 0 {
		return usageError{errors.New("--revoke, --apply and --memory must not be negative")}
	}
	if c.Against != "" && c.Platform != "" {
		return usageError{errors.New("--against and --platform exclude each other")}
	}
	draft, err := readDraft(c.File)
	if err != nil {
		return err
	}
	b := checker.Bounds{Revoke: c.Revoke, Apply: c.Apply}
	if c.Memory > 0 {
		b.BodyBytes = limiter.NewBudgets(c.Memory<<20, 0).Bytes
	}
	report := checkReport{File: c.File, Findings: []finding{}, Differences: []difference{}}
	if draft.Refused != nil {
		report.Findings = append(report.Findings, finding{Severity: checker.Error, Text: draft.Refused.Error()})
	}
	report.addFindings(checker.Check(draft.Config, b))
	if c.Against != "" || c.Platform != "" {
		force, err := c.inForce(ctx)
		if err != nil {
			return err
		}
		report.addFindings(checker.CheckAgainst(force.Config, draft.Config))
		report.addDifferences(checker.Compare(force.Config, draft.Config))
	}
	if err := report.write(os.Stdout, c.JSON); err != nil {
		return errors.Wrap(err, "print report")
	}
	if n := len(report.Findings); n > 0 {
		return errors.Newf("%s: findings: %d", c.File, n)
	}
	return nil
}

// inForce reads the configuration in force.
func (c *checkCommand) inForce(ctx context.Context) (adapter.Draft, error) {
	if c.Platform == "" {
		return readDraft(c.Against)
	}
	log := adapter.Platform{Log: &adapter.Log{Client: adapter.NewClient(1), Address: c.Platform, Timeout: platformTimeout}}
	data, err := log.Published(ctx)
	if err != nil {
		return adapter.Draft{}, usageError{fmt.Errorf("configuration in force: %w", err)}
	}
	d, err := adapter.ParseDraft(data)
	if err != nil {
		return adapter.Draft{}, usageError{fmt.Errorf("configuration in force: %w", err)}
	}
	return d, nil
}

func readDraft(name string) (adapter.Draft, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return adapter.Draft{}, usageError{err}
	}
	d, err := adapter.ParseDraft(data)
	if err != nil {
		return adapter.Draft{}, usageError{fmt.Errorf("%s: %w", name, err)}
	}
	return d, nil
}

// checkReport is the result of a check as it is printed.
type checkReport struct {
	File        string       `json:"file"`
	Findings    []finding    `json:"findings"`
	Differences []difference `json:"differences"`
}

type finding struct {
	Severity string `json:"severity"`
	Place    string `json:"place,omitempty"`
	Text     string `json:"text"`
}

type difference struct {
	Change string `json:"change"`
	List   string `json:"list"`
	Name   string `json:"name,omitempty"`
	Field  string `json:"field,omitempty"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

func (r *checkReport) addFindings(all []checker.Finding) {
	for _, f := range all {
		r.Findings = append(r.Findings, finding{f.Severity, adapter.ConfigPlace(f.Place), f.Text})
	}
}

func (r *checkReport) addDifferences(all []checker.Difference) {
	for _, d := range all {
		r.Differences = append(r.Differences, difference{
			d.Change, adapter.ConfigPlace(d.List), d.Name, adapter.ConfigPlace(d.Field), d.Before, d.After,
		})
	}
}

func (r *checkReport) write(w io.Writer, asJSON bool) error {
	if asJSON {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(r)
	}
	for _, f := range r.Findings {
		place := f.Place
		if place != "" {
			place += ": "
		}
		if _, err := fmt.Fprintf(w, "%s: %s%s\n", f.Severity, place, f.Text); err != nil {
			return err
		}
	}
	for _, d := range r.Differences {
		if _, err := fmt.Fprintln(w, d); err != nil {
			return err
		}
	}
	if len(r.Findings) > 0 {
		return nil
	}
	_, err := fmt.Fprintln(w, r.File+": no findings")
	return err
}

// String returns the difference as a line.
func (d difference) String() string {
	line := d.Change + ": " + d.List
	if d.Name != "" {
		line += fmt.Sprintf(" %q", d.Name)
	}
	switch {
	case d.Field == "":
		return line
	case d.Change == checker.Changed:
		return fmt.Sprintf("%s %s: %q, was %q", line, d.Field, d.After, d.Before)
	}
	return fmt.Sprintf("%s %s %s", line, d.Field, d.Before+d.After)
}
