// Command standin3 plays the cases of the third review: it starts entries as processes with
// stand-ins of the platform's store, the runners and the clients, and checks one rule.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longest is how long a case may take.
const longest = 112 * time.Second

func main() {
	program := flag.String("program", "target/endivelock", "the program of the deploy file")
	name := flag.String("case", "", "the case to play")
	file := flag.String("record", "record.txt", "where to record what was sent, answered and run")
	flag.Parse()
	trouble := os.Getenv("TROUBLE") != "0"
	play, ok := map[string]func(out *recorder, program string, trouble bool) bool{
		"cancel": playCancel, "saved": playSaved, "outage": playOutage, "queued": playQueued, "poison": playPoison, "long": playLong,
	}[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", *name)
		os.Exit(2)
	}
	record, err := os.Create(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	out := &recorder{began: time.Now(), file: record, watch: newWatcher(), end: func() {}}
	out.group.Go(func() error {
		stop := make(chan os.Signal, 1)
		signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
		select {
		case <-stop:
			out.cannot(errors.New("it was told to stop"))
		case <-time.After(longest):
			out.cannot(errors.New("it takes too long"))
		}
		return nil
	})
	broken := play(out, *program, trouble)
	out.end()
	if err := record.Close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if broken {
		os.Exit(1)
	}
}
