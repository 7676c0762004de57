package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/endivelock/endivelock/internal/emulator"
	"github.com/endivelock/endivelock/internal/scheduler"
)

type platformCommand struct {
	Listen  string        `default:"127.0.0.1:9000" help:"address to listen on"`
	Entries []string      `arg:"--entry,separate" help:"entry of the list as name,zone,address of its peer listener"`
	Keep    time.Duration `help:"retention of the log's records, 0 for unlimited"`
	Cap     int           `default:"300" help:"maximum number of appends per second"`
	Lag     time.Duration `default:"1s" help:"age of the list"`
}

func (c *platformCommand) run(ctx context.Context) error {
	p := &emulator.Platform{Retention: c.Keep, MaxAppendRate: c.Cap, Lag: c.Lag}
	for _, text := range c.Entries {
		parts := strings.Split(text, ",")
		if len(parts) != 3 {
			return errors.Newf("invalid entry %q: want name,zone,address", text)
		}
		p.Register(scheduler.Instance{Kind: scheduler.KindEntry, Name: parts[0], Zone: scheduler.Zone(parts[1]), Address: parts[2]})
	}
	return serve(ctx, c.Listen, p.Handler())
}

type backendCommand struct {
	Platform string   `default:"http://127.0.0.1:9000" help:"URL of the platform"`
	Host     string   `default:"127.0.0.1" help:"IP address to listen on"`
	Port     int      `default:"20000" help:"first port; the records are served on the port below it"`
	Count    int      `default:"50" help:"number of servers"`
	Slots    int      `default:"8" help:"slots per server"`
	Zones    []string `arg:"--zone,separate,required" help:"zone; servers are assigned to the zones in turn"`
	Direct   string   `default:"127.0.0.1:19000" help:"address of a reference server that is not registered"`
}

// backendRecord is what all backend servers together have recorded.
type backendRecord struct {
	Ran           map[string]int `json:"ran"`
	Overcommitted int            `json:"over"`
	Highest       int            `json:"highest"`
}

func (c *backendCommand) run(ctx context.Context) error {
	history := &emulator.History{}
	group, ctx := errgroup.WithContext(ctx)
	var servers []*emulator.Backend
	var instances []scheduler.Instance
	for i := range c.Count {
		b := &emulator.Backend{Slots: c.Slots, History: history}
		address := fmt.Sprintf("%s:%d", c.Host, c.Port+i)
		group.Go(func() error { return serve(ctx, address, b) })
		servers = append(servers, b)
		instances = append(instances, scheduler.Instance{
			Kind: scheduler.KindServer, Name: fmt.Sprintf("s%d", i), Zone: scheduler.Zone(c.Zones[i%len(c.Zones)]),
			Rack: fmt.Sprintf("r%d", i/6), Address: address, Slots: c.Slots,
		})
	}
	group.Go(func() error {
		return serve(ctx, c.Direct, &emulator.Backend{Slots: 1 << 20, History: &emulator.History{}})
	})
	group.Go(func() error {
		return serve(ctx, fmt.Sprintf("%s:%d", c.Host, c.Port-1), backendAdmin(history, servers))
	})
	if err := register(ctx, c.Platform, instances); err != nil {
		return err
	}
	return group.Wait()
}

// backendAdmin serves the servers' records at GET / and sets the faults of server N
// at PUT /conduct/N.
func backendAdmin(history *emulator.History, servers []*emulator.Backend) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /{$}", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(collectRecord(history, servers))
	})
	mux.HandleFunc("PUT /conduct/{server}", func(w http.ResponseWriter, r *http.Request) {
		n, err := strconv.Atoi(r.PathValue("server"))
		var faults emulator.BackendFaults
		if err != nil || n < 0 || n >= len(servers) || json.NewDecoder(r.Body).Decode(&faults) != nil {
			http.Error(w, "no such server or conduct", http.StatusBadRequest)
			return
		}
		servers[n].SetFaults(faults)
	})
	return mux
}

func collectRecord(history *emulator.History, servers []*emulator.Backend) backendRecord {
	r := backendRecord{Ran: history.Requests()}
	for _, b := range servers {
		peak, overcommitted := b.Peak()
		r.Highest = max(r.Highest, peak)
		r.Overcommitted += overcommitted
	}
	return r
}

type workerCommand struct {
	Platform string   `default:"http://127.0.0.1:9000" help:"URL of the platform"`
	Host     string   `default:"127.0.0.1" help:"IP address to listen on"`
	Port     int      `default:"21000" help:"first port; the records are served on the port below it"`
	Count    int      `default:"8" help:"number of workers"`
	CPU      int64    `default:"64000" help:"CPU per worker in thousandths of a core"`
	Memory   int64    `default:"262144" help:"memory per worker in MiB"`
	Zones    []string `arg:"--zone,separate,required" help:"zone; workers are assigned to the zones in turn"`
}

func (c *workerCommand) run(ctx context.Context) error {
	history := &emulator.History{}
	size := scheduler.Size{CPU: c.CPU, Memory: c.Memory}
	group, ctx := errgroup.WithContext(ctx)
	var instances []scheduler.Instance
	for i := range c.Count {
		w := &emulator.Worker{Capacity: size, History: history}
		address := fmt.Sprintf("%s:%d", c.Host, c.Port+i)
		group.Go(func() error { return serve(ctx, address, w.Handler()) })
		instances = append(instances, scheduler.Instance{
			Kind: scheduler.KindWorker, Name: fmt.Sprintf("w%d", i), Zone: scheduler.Zone(c.Zones[i%len(c.Zones)]),
			Rack: fmt.Sprintf("r%d", i/6), Address: address, Size: size,
		})
	}
	group.Go(func() error {
		return serve(ctx, fmt.Sprintf("%s:%d", c.Host, c.Port-1), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			doubled, over := history.TaskViolations()
			_ = json.NewEncoder(w).Encode(map[string]int{"doubled": doubled, "over": over})
		}))
	})
	if err := register(ctx, c.Platform, instances); err != nil {
		return err
	}
	return group.Wait()
}

// register puts instances on the platform's list.
func register(ctx context.Context, platform string, instances []scheduler.Instance) error {
	body, err := json.Marshal(instances)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, platform+"/admin/instances", bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "register instances")
	}
	return response.Body.Close()
}

// headerTimeout bounds the reading of a request's header.
const headerTimeout = 10 * time.Second

// serve runs a handler on an address until the context ends.
func serve(ctx context.Context, address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	var group errgroup.Group
	group.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
	err = server.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return group.Wait()
	}
	return err
}
