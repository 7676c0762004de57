// Command endivelock-bench runs the stand-ins for what surrounds entries, and
// load on entries. It is scaffolding for experiments on one machine.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
)

// arguments are the command line.
type arguments struct {
	Platform *platformCommand `arg:"subcommand:platform" help:"run the platform's stand-in: log and list of instances"`
	Backend  *backendCommand  `arg:"subcommand:backend" help:"run backend servers' stand-ins and register them"`
	Worker   *workerCommand   `arg:"subcommand:worker" help:"run workers' stand-ins and register them"`
	Load     *loadCommand     `arg:"subcommand:load" help:"send load to entries and compare with the servers' records"`
}

// Description explains the command.
func (arguments) Description() string {
	return "Stand-ins and load for endivelock, on the loopback interface."
}

// command is one subcommand.
type command interface {
	run(ctx context.Context) error
}

func main() {
	var a arguments
	p := arg.MustParse(&a)
	c, ok := p.Subcommand().(command)
	if !ok {
		p.WriteHelp(os.Stderr)
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := c.run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "endivelock-bench:", err)
		os.Exit(1)
	}
}
