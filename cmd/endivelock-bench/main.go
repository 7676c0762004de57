// Command endivelock-bench runs emulators of the systems around entries, and sends
// load to entries. It is for experiments on one machine.
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
	Platform *platformCommand `arg:"subcommand:platform" help:"run an emulated platform: log and list of instances"`
	Backend  *backendCommand  `arg:"subcommand:backend" help:"run emulated backend servers and register them"`
	Worker   *workerCommand   `arg:"subcommand:worker" help:"run emulated workers and register them"`
	Load     *loadCommand     `arg:"subcommand:load" help:"send load to entries and compare the outcomes with the servers' records"`
}

// Description explains the command.
func (arguments) Description() string {
	return "Runs emulators and load for endivelock on the loopback interface."
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
