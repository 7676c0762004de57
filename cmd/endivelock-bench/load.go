package main

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"github.com/endivelock/endivelock/internal/generator"
)

// settleTime lets servers finish requests that callers have abandoned.
const settleTime = time.Second

type loadCommand struct {
	File     string  `arg:"positional,required" help:"YAML file that describes the load"`
	Record   string  `default:"http://127.0.0.1:19999" help:"URL of the backend servers' records"`
	Rate     float64 `help:"requests per second, overrides the file"`
	Duration string  `arg:"--duration" help:"duration, overrides the file"`
}

// summary is the printed result of a load.
type summary struct {
	Sent       int64            `json:"sent"`
	Ran        int64            `json:"ran"`
	Refused    int64            `json:"refused"`
	Unknown    int64            `json:"unknown"`
	Dropped    int64            `json:"late"`
	WaitP50    float64          `json:"wait_p50_ms"`
	WaitP99    float64          `json:"wait_p99_ms"`
	WaitP999   float64          `json:"wait_p999_ms"`
	PathP50    float64          `json:"path_p50_ms"`
	PathP99    float64          `json:"path_p99_ms"`
	DirectP50  float64          `json:"direct_p50_ms"`
	DirectP99  float64          `json:"direct_p99_ms"`
	Wrong      int64            `json:"wrong_answers"`
	Overcommit int              `json:"overcommitted"`
	Highest    int              `json:"highest"`
	Reasons    map[string]int64 `json:"reasons"`
	generator.Counts
}

func (c *loadCommand) run(ctx context.Context) error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	var load generator.Load
	if err := yaml.UnmarshalWithOptions(data, &load, yaml.Strict()); err != nil {
		return errors.Wrapf(err, "read %s", c.File)
	}
	if err := c.override(&load); err != nil {
		return err
	}
	r := generator.New(load).Run(ctx)
	time.Sleep(settleTime)
	record, err := c.fetchRecord()
	if err != nil {
		return err
	}
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(summarize(r, record))
}

func (c *loadCommand) override(load *generator.Load) error {
	if c.Rate > 0 {
		load.Rate = c.Rate
	}
	if c.Duration != "" {
		d, err := time.ParseDuration(c.Duration)
		if err != nil {
			return err
		}
		load.Duration = d
	}
	if len(load.Targets) == 0 || len(load.Mix) == 0 || load.Rate <= 0 {
		return errors.Newf("%s names no targets, no mix or no rate", c.File)
	}
	return nil
}

func (c *loadCommand) fetchRecord() (backendRecord, error) {
	var r backendRecord
	response, err := http.Get(c.Record)
	if err != nil {
		return r, errors.Wrap(err, "read the servers' records")
	}
	defer func() { _ = response.Body.Close() }()
	return r, errors.Wrap(json.NewDecoder(response.Body).Decode(&r), "read the servers' records")
}

func summarize(r *generator.Result, record backendRecord) summary {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return summary{
		Sent: r.Sent, Ran: r.Ran, Refused: r.Refused, Unknown: r.Unknown, Dropped: r.Dropped, Wrong: r.Wrong,
		WaitP50: ms(r.Wait.ValueAtQuantile(50)), WaitP99: ms(r.Wait.ValueAtQuantile(99)), WaitP999: ms(r.Wait.ValueAtQuantile(99.9)),
		PathP50: ms(r.Path.ValueAtQuantile(50)), PathP99: ms(r.Path.ValueAtQuantile(99)),
		DirectP50: ms(r.Direct.ValueAtQuantile(50)), DirectP99: ms(r.Direct.ValueAtQuantile(99)),
		Overcommit: record.Overcommitted, Highest: record.Highest, Reasons: r.Reasons,
		Counts: generator.Compare(r.Requests, record.Ran),
	}
}

var (
	_ command = (*platformCommand)(nil)
	_ command = (*backendCommand)(nil)
	_ command = (*workerCommand)(nil)
	_ command = (*loadCommand)(nil)
)
