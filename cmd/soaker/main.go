// Command soaker plays rounds of traffic and troubles on a cell of real processes. It starts
// entries of the system, and serves the platform's store, the runners and the clients itself, on
// loopback addresses. It exits with 1 if a rule was broken, with 0 if all held and with 2 if a
// round couldn't run.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxLength bounds a round.
const maxLength = 115 * time.Second

// verdict is what broke the rules, or nothing.
type verdict []string

func main() { os.Exit(run(os.Args[1:])) }

// run plays rounds with one seed each, in the repository's root, and returns the exit code.
func run(args []string) int {
	flags := flag.NewFlagSet("soaker", flag.ContinueOnError)
	seed := flags.Uint64("seed", 1, "seed of the first round")
	seeds := flags.Int("seeds", 1, "number of rounds")
	size := cellSize{}
	flags.IntVar(&size.entries, "entries", cellEntries, "number of entries")
	flags.IntVar(&size.runners, "runners", cellRunners, "number of runners, 64 of which one entry calls itself")
	calm := flags.Bool("calm", false, "play no troubles")
	path := flags.String("record", os.DevNull, "file for the record of the last round")
	flags.IntVar(&size.large, "large", 0, "number of bursts of jobs of 1,000 to 3,500 tasks, most of which are cancelled")
	flags.IntVar(&size.wide, "wide", 0, "number of lasting jobs with more tasks than runners")
	if err := flags.Parse(args); err != nil {
		return exitFailed
	}
	code := exitHeld
	for n := range *seeds {
		broken, summary, err := playRound(*path, *seed+uint64(n), size, !*calm)
		switch {
		case err != nil:
			fmt.Printf("seed %d: can't run: %v\n", *seed+uint64(n), err)
			code = exitFailed
		case len(broken) > 0 && code == exitHeld:
			code = exitBroken
		}
		fmt.Printf("seed %d: %d broken; %s\n", *seed+uint64(n), len(broken), summary)
		for _, b := range broken[:min(len(broken), maxShown)] {
			fmt.Println("  " + b)
		}
	}
	return code
}

// maxShown bounds what is printed of a round.
const maxShown = 12

func playRound(path string, seed uint64, size cellSize, disturbed bool) (verdict, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), maxLength)
	defer cancel()
	record, err := newRecord(path)
	if err != nil {
		return nil, "", err
	}
	defer record.close()
	c, err := newCell(record)
	if err != nil {
		return nil, "", err
	}
	defer c.stop()
	r := rand.New(rand.NewPCG(seed, 28))
	s, err := newSoak(ctx, c, r, size, deskTraffic(float64(size.runners)/cellRunners))
	if err != nil {
		return nil, "", err
	}
	s.submitWide(size)
	s.submitLarge(rand.New(rand.NewPCG(seed, 58)), size.large)
	broken := s.play(r, disturbed)
	if ctx.Err() != nil {
		return broken, s.summary(), errors.New("the round took too long")
	}
	return broken, s.summary(), nil
}
