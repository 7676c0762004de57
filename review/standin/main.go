//go:build review

// Command standin plays the cases of the review that are scripts. It starts entries of
// the system as processes of their own and serves the platform's store, the runners and
// the clients itself, on loopback addresses. It exits with 1 if the rule of the case was
// broken, with 0 if it held and with 2 if the case couldn't run.
package main

import (
	"context"
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxLength bounds a case.
const maxLength = 115 * time.Second

// verdict is the result of a case: what broke the rule, or nothing.
type verdict []string

// playCase plays a case on a cell.
type playCase func(ctx context.Context, c *cell, trouble bool) (verdict, error)

func cases() map[string]playCase {
	return map[string]playCase{"oversized": playOversized, "reborn": playReborn, "kind": playKind, "acks": playAcks, "waiting": playWaiting}
}

func main() { os.Exit(run()) }

// run plays the case that the arguments name: standin CASE RECORD, in the repository's root.
func run() int {
	if len(os.Args) > 1 && os.Args[1] == "soak" {
		return runSoak(os.Args[2:])
	}
	if len(os.Args) != 3 || cases()[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return exitFailed
	}
	trouble := os.Getenv("TROUBLE") != "0"
	record, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer record.close()
	ctx, cancel := context.WithTimeout(context.Background(), maxLength)
	defer cancel()
	c, err := newCell(record)
	if err != nil {
		record.add("the case can't run: %v", err)
		return exitFailed
	}
	defer c.stop()
	broken, err := cases()[os.Args[1]](ctx, c, trouble)
	if err != nil {
		record.add("the case can't run: %v", err)
		return exitFailed
	}
	for _, b := range broken {
		record.add("BROKEN %s", b)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	record.add("the rule held")
	return exitHeld
}
