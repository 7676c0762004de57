package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/endivelock/endivelock/pkg/caller"
	"github.com/endivelock/endivelock/pkg/messenger"
)

// clientOptions holds the options of commands that send requests to an entry.
type clientOptions struct {
	Entry string `arg:"--entry,env:ENDIVELOCK_ENTRY" default:"http://127.0.0.1:7100" help:"URL of an entry's operators' listener"`
	JSON  bool   `arg:"--json" help:"print JSON in place of a table"`
}

func (o clientOptions) client() *caller.Client {
	return &caller.Client{URL: o.Entry}
}

// print writes an answer to standard output, either as indented JSON or as a table
// with a header whose cells are separated by tabs.
func (o clientOptions) print(answer any, header string, rows func(w io.Writer)) error {
	if o.JSON {
		e := json.NewEncoder(os.Stdout)
		e.SetIndent("", "  ")
		return e.Encode(answer)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, header)
	rows(w)
	return w.Flush()
}

func writeRow(w io.Writer, cells ...any) {
	for i, cell := range cells {
		if i > 0 {
			_, _ = fmt.Fprint(w, "\t")
		}
		_, _ = fmt.Fprint(w, cell)
	}
	_, _ = fmt.Fprintln(w)
}

// configListCommand shows or replaces the list of plans or of allowances.
type configListCommand struct {
	clientOptions
	Set   string `arg:"--set" help:"JSON file with the new list, - for standard input"`
	Basis *int64 `arg:"--basis" help:"version that the new list was edited from; the default is the version in the file, or else the current version"`
}

// replace replaces a list if --set was given, and reports whether it was.
func (c *configListCommand) replace(ctx context.Context, list string) (bool, error) {
	if c.Set == "" {
		return false, nil
	}
	body, err := readFile(c.Set)
	if err != nil {
		return true, err
	}
	basis, err := c.baseVersion(ctx, list, body)
	if err != nil {
		return true, err
	}
	version, err := c.client().PutList(ctx, list, basis, body)
	if err != nil {
		return true, err
	}
	return true, c.print(map[string]int64{"version": version}, "VERSION", func(w io.Writer) { writeRow(w, version) })
}

// baseVersion returns the version that the new list is based on: that of --basis,
// that in the file, or else the current one.
func (c *configListCommand) baseVersion(ctx context.Context, list string, body []byte) (int64, error) {
	if c.Basis != nil {
		return *c.Basis, nil
	}
	var file struct {
		Version int64 `json:"version"`
	}
	if json.Unmarshal(body, &file) == nil && file.Version > 0 {
		return file.Version, nil
	}
	return c.client().Get(ctx, "/"+list, &json.RawMessage{})
}

func readFile(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(path)
}

type plansCommand struct{ configListCommand }

func (c *plansCommand) run(ctx context.Context) error {
	if done, err := c.replace(ctx, "plans"); done {
		return err
	}
	var answer messenger.Plans
	if _, err := c.client().Get(ctx, "/plans", &answer); err != nil {
		return err
	}
	return c.print(answer, "PLAN\tCUSTOMER\tWEIGHT", func(w io.Writer) {
		for _, p := range answer.Plans {
			writeRow(w, p.Name, p.Customer, max(1, p.Weight))
		}
	})
}

type allowancesCommand struct{ configListCommand }

func (c *allowancesCommand) run(ctx context.Context) error {
	if done, err := c.replace(ctx, "allowances"); done {
		return err
	}
	var answer messenger.Allowances
	if _, err := c.client().Get(ctx, "/allowances", &answer); err != nil {
		return err
	}
	return c.print(answer, "PLAN\tSLOTS\tCPU\tMEMORY\tACCELERATORS", func(w io.Writer) {
		for _, a := range answer.Allowances {
			writeRow(w, a.Plan, a.Slots, a.Size.CPU, a.Size.Memory, a.Size.Accelerators)
		}
	})
}

type markCommand struct {
	clientOptions
	Instance string `arg:"positional,required" help:"name of a backend server or worker"`
	Mark     string `arg:"positional,required" help:"leave, stop or none"`
}

func (c *markCommand) run(ctx context.Context) error {
	mark := c.Mark
	if mark == "none" {
		mark = ""
	}
	version, err := c.client().Mark(ctx, c.Instance, mark)
	if err != nil {
		return err
	}
	return c.print(map[string]int64{"version": version}, "VERSION", func(w io.Writer) { writeRow(w, version) })
}

type submitCommand struct {
	clientOptions
	File string `arg:"positional,required" help:"JSON file that describes the work, - for standard input"`
	Key  string `arg:"--key" help:"idempotency key, which makes it safe to repeat the command"`
	Wait bool   `arg:"--wait" help:"wait until the work has ended"`
}

func (c *submitCommand) run(ctx context.Context) error {
	data, err := readFile(c.File)
	if err != nil {
		return err
	}
	var work messenger.Work
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&work); err != nil {
		return usageError{errors.Wrapf(err, "read work from %s", c.File)}
	}
	id, err := c.client().Submit(ctx, work, c.Key)
	if err != nil {
		return err
	}
	if c.Wait {
		return c.wait(ctx, id)
	}
	return c.print(map[string]string{"id": id}, "WORK", func(w io.Writer) { writeRow(w, id) })
}

// pollInterval is the time between two queries of the status of work.
const pollInterval = 500 * time.Millisecond

// wait polls the status of work until it has ended and shows progress on a
// terminal.
func (c *submitCommand) wait(ctx context.Context, id string) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		var status messenger.WorkStatus
		if _, err := c.client().Get(ctx, "/work/"+id, &status); err != nil {
			return err
		}
		progress("work %s is %s %s", id, status.Phase, status.Why)
		if status.Ended() {
			progress("")
			return c.print(status, "WORK\tPHASE\tATTEMPT\tWHY", func(w io.Writer) { writeRow(w, id, status.Phase, status.Attempt, status.Why) })
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// progress overwrites the current line on standard error if that is a terminal.
func progress(format string, values ...any) {
	info, err := os.Stderr.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return
	}
	fmt.Fprintf(os.Stderr, "\r\x1b[K"+format, values...)
}

type cancelCommand struct {
	clientOptions
	Work string `arg:"positional,required" help:"identifier of the work"`
}

func (c *cancelCommand) run(ctx context.Context) error {
	if err := c.client().Cancel(ctx, c.Work); err != nil {
		return err
	}
	return c.print(map[string]string{"id": c.Work}, "CANCELLED", func(w io.Writer) { writeRow(w, c.Work) })
}

type listCommand struct {
	clientOptions
	What string `arg:"positional" default:"work" help:"work, servers, workers, entries, marks or status"`
}

func (c *listCommand) run(ctx context.Context) error {
	switch c.What {
	case "work":
		return c.listWork(ctx)
	case "servers", "workers":
		return c.listServers(ctx)
	case "entries":
		return c.listEntries(ctx)
	case "marks", "status":
		var answer json.RawMessage
		if _, err := c.client().Get(ctx, "/"+c.What, &answer); err != nil {
			return err
		}
		c.JSON = true
		return c.print(answer, "", nil)
	}
	return usageError{errors.Newf("list of %q does not exist, allowed are work, servers, workers, entries, marks and status", c.What)}
}

func (c *listCommand) listWork(ctx context.Context) error {
	var answer struct {
		Work []messenger.WorkStatus `json:"work"`
	}
	if _, err := c.client().Get(ctx, "/work", &answer); err != nil {
		return err
	}
	return c.print(answer, "WORK\tKIND\tPLAN\tNAME\tPHASE\tWORKERS\tWHY", func(w io.Writer) {
		for _, i := range answer.Work {
			writeRow(w, i.ID, i.Kind, i.Plan, i.Name, i.Phase, strings.Join(i.Workers, ","), i.Why)
		}
	})
}

func (c *listCommand) listServers(ctx context.Context) error {
	answer := map[string][]messenger.ServerStatus{}
	if _, err := c.client().Get(ctx, "/"+c.What, &answer); err != nil {
		return err
	}
	return c.print(answer, "NAME\tSTATE\tOWNER\tEPOCH\tSLOTS\tBUSY\tLOST\tCPU\tUSED", func(w io.Writer) {
		for _, v := range answer[c.What] {
			writeRow(w, v.Name, v.State, v.Owner, v.Epoch, v.Slots, v.Busy, v.Lost, v.CPU, v.Used)
		}
	})
}

func (c *listCommand) listEntries(ctx context.Context) error {
	var answer struct {
		Entries []messenger.EntryStatus `json:"entries"`
	}
	if _, err := c.client().Get(ctx, "/entries", &answer); err != nil {
		return err
	}
	return c.print(answer, "ENTRY\tZONE\tSTATE\tCONFIG\tFREE\tQUEUE\tAGE", func(w io.Writer) {
		for _, e := range answer.Entries {
			writeRow(w, e.ID, e.Zone, e.State, e.Config, e.Free, e.Queue, formatAge(e.Age))
		}
	})
}

// formatAge formats the seconds since an entry was last heard from. A negative age
// means never.
func formatAge(seconds float64) string {
	if seconds < 0 {
		return "never"
	}
	return fmt.Sprintf("%.1fs", seconds)
}

type reportCommand struct{ clientOptions }

func (c *reportCommand) run(ctx context.Context) error {
	var answer messenger.Report
	if _, err := c.client().Get(ctx, "/report", &answer); err != nil {
		return err
	}
	return c.print(answer, "ENTRY\tGOAL\tSHARE\tLIVED\tWINDOW\tREQUESTS\tMISSED\tBURN", func(w io.Writer) {
		for _, v := range answer.Windows {
			writeRow(w, answer.Entry, answer.Goal, answer.Share, answer.Uptime, v.Window, v.All, v.Bad, fmt.Sprintf("%.2f", v.Burn))
		}
	})
}

type versionCommand struct{}

func (versionCommand) run(context.Context) error {
	fmt.Println(arguments{}.Version())
	return nil
}
