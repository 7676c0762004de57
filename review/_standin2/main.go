// The stand-ins of the second review: a store, runners and clients that follow the users'
// pages, and the cases that run the project's own program against them.
//
// Usage: review2-standin CASE RECORD. The exit status is 1 if the rule was broken, 0 if it
// held and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
package main

import (
	"fmt"
	"os"
)

const (
	held   = 0
	broken = 1
	failed = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Println("usage: review2-standin CASE RECORD")
		os.Exit(failed)
	}
	cases := map[string]func(path string, trouble bool) int{"again": runAgain, "waiting": runWaiting, "pace": runPace, "cut": runCut, "late": runLate, "feeds": runFeeds}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Println("no such case")
		os.Exit(failed)
	}
	os.Exit(run(os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// finish writes the record and returns the exit status for what broke the rule.
func finish(c *cell, path string, found []string) int {
	for _, line := range found {
		c.record.add("BROKEN: %s", line)
		fmt.Println("broken:", line)
	}
	if err := c.record.write(path); err != nil {
		fmt.Println(err)
		return failed
	}
	if len(found) > 0 {
		return broken
	}
	fmt.Println("the rule held")
	return held
}

// giveUp ends a case that could not run.
func giveUp(c *cell, path, why string) int {
	fmt.Println("could not run:", why)
	if c != nil {
		c.record.add("could not run: %s", why)
		_ = c.record.write(path)
	}
	return failed
}
