// Command endivelock runs entry instances and is the command-line client for their
// operators.
//
// Exit codes: 0 done, 1 failed, 2 bad arguments or settings, 3 refused and not
// run, 4 outcome unknown.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
)

// version is set at build time with -ldflags -X.
var version = "development"

// arguments defines the command line for go-arg.
type arguments struct {
	Serve *serveCommand `arg:"subcommand:serve" help:"run an entry instance"`
	Check *checkCommand `arg:"subcommand:check" help:"check a settings file, or a configuration before it is sent"`

	Schedule *scheduleCommand `arg:"subcommand:schedule" help:"run an entry that schedules jobs on a cell of the platform"`

	Plans      *plansCommand      `arg:"subcommand:plans" help:"show or replace the list of customers' plans"`
	Allowances *allowancesCommand `arg:"subcommand:allowances" help:"show or replace the list of plans' allowances"`
	Mark       *markCommand       `arg:"subcommand:mark" help:"mark an instance to leave or stop"`
	Submit     *submitCommand     `arg:"subcommand:submit" help:"submit work for workers"`
	Cancel     *cancelCommand     `arg:"subcommand:cancel" help:"cancel work"`
	List       *listCommand       `arg:"subcommand:list" help:"list work, servers, workers, entries, marks or the entry's status"`
	Report     *reportCommand     `arg:"subcommand:report" help:"report how fast the error budget burns"`
	Explain    *explainCommand    `arg:"subcommand:explain" help:"print the history of a job from the logs of entries"`
	Stages     *stagesCommand     `arg:"subcommand:stages" help:"print in which stages the time of each queue's jobs went, from the logs of entries"`
	Demo       *demoCommand       `arg:"subcommand:demo" help:"run a small system in this process and count violations of its guarantees"`
	About      *versionCommand    `arg:"subcommand:version" help:"print the version"`
}

// Description returns the text at the head of the help.
func (arguments) Description() string {
	return "Endivelock schedules mixed workloads on shared cells.\n"
}

// Epilogue returns the text at the end of the help.
func (arguments) Epilogue() string {
	return "Exit codes: 0 done, 1 failed, 2 bad arguments or settings, 3 refused and not run, 4 outcome unknown."
}

// Version returns the text that --version prints.
func (arguments) Version() string {
	return "endivelock " + version
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
		os.Exit(codeUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	context.AfterFunc(ctx, stop) // restores the default, so that a second signal terminates the process
	err := c.run(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "endivelock:", err)
		os.Exit(exitCode(err))
	}
}
