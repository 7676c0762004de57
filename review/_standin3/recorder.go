package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// recorder keeps the record of a case: what was sent, answered and run.
type recorder struct {
	began time.Time // the record counts from it
	file  *os.File
	watch *watcher
	end   func()         // ends what the case has started
	group errgroup.Group // of the stand-ins, which go on until the program ends

	noted sync.Mutex
}

func (r *recorder) note(format string, args ...any) {
	line := fmt.Sprintf("%8d ", time.Since(r.began).Milliseconds()) + fmt.Sprintf(format, args...) + "\n"
	r.noted.Lock()
	defer r.noted.Unlock()
	_, _ = r.file.WriteString(line)
}

// say notes a line and prints it.
func (r *recorder) say(format string, args ...any) {
	r.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

// cannot ends the program: the case couldn't run.
func (r *recorder) cannot(err error) {
	fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
	r.end()
	os.Exit(2)
}

// serve serves a handler at a free port of the loopback interface and returns its address.
func (r *recorder) serve(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.cannot(err)
	}
	r.group.Go(func() error { return http.Serve(l, h) })
	return l.Addr().String()
}
