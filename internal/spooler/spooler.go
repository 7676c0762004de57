// Package spooler writes the log of a process without blocking the writers. Lines
// pass through a bounded queue to the output; while the queue is full, lines are
// dropped and counted.
package spooler

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync/atomic"
)

// queueLength and queueBytes bound the lines that are queued or being written. Clients choose how long some lines are.
const (
	queueLength = 4096
	queueBytes  = 2 << 20
)

// maxWriteBytes is the size from which lines that wait are not added to a write. Pipes
// keep writes of up to 4 KB whole.
// Each write is a system call, whatever its size.
const maxWriteBytes = 3 << 10

// Spooler is an asynchronous writer; each Write is one line. Create it with New.
type Spooler struct {
	output  io.Writer
	queue   chan []byte
	batch   []byte       // lines that are being written, reused
	lines   int64        // their number
	held    atomic.Int64 // lines that are queued or being written
	bytes   atomic.Int64 // their size
	dropped atomic.Int64
}

var _ io.Writer = (*Spooler)(nil)

// New returns a spooler that writes to an output.
func New(output io.Writer) *Spooler {
	return &Spooler{output: output, queue: make(chan []byte, queueLength)}
}

// Write queues a copy of a line, or drops the line if the queue is full. It never
// fails.
func (s *Spooler) Write(line []byte) (int, error) {
	if !s.reserve(len(line)) {
		s.dropped.Add(1)
		return len(line), nil
	}
	s.queue <- append([]byte(nil), line...) // has room: held counts the lines in it
	return len(line), nil
}

// reserve reports whether the queue has room for a line of a size, and takes it up.
func (s *Spooler) reserve(size int) bool {
	if s.held.Add(1) > queueLength {
		s.held.Add(-1)
		return false
	}
	if s.bytes.Add(int64(size)) > queueBytes {
		s.bytes.Add(-int64(size))
		s.held.Add(-1)
		return false
	}
	return true
}

// Dropped returns the number of dropped lines.
func (s *Spooler) Dropped() int64 { return s.dropped.Load() }

// Serve writes queued lines until the context ends, then flushes the queue.
func (s *Spooler) Serve(ctx context.Context) error {
	reported := int64(0)
	for {
		select {
		case line := <-s.queue:
			s.collect(line)
			s.writeBatch()
		case <-ctx.Done():
			s.flush()
			return ctx.Err()
		}
		if n := s.dropped.Load(); n > reported && len(s.queue) == 0 && s.report(n-reported) {
			reported = n
		}
	}
}

// report writes how many lines were dropped and reports whether the output took that.
func (s *Spooler) report(lines int64) bool {
	_, err := fmt.Fprintf(s.output, "{\"level\":\"warning\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", lines)
	return err == nil
}

func (s *Spooler) flush() {
	for {
		select {
		case line := <-s.queue:
			s.collect(line)
			s.writeBatch()
		default:
			return
		}
	}
}

// collect sets the batch to a line and those that wait behind it.
func (s *Spooler) collect(line []byte) {
	s.lines = 1
	s.batch = append(s.batch[:0], line...)
	for len(s.batch) < maxWriteBytes {
		select {
		case next := <-s.queue:
			s.lines++
			s.batch = append(s.batch, next...)
		default:
			return
		}
	}
}

// writeBatch writes the batch. Its lines count as held until then.
func (s *Spooler) writeBatch() {
	s.write(s.batch)
	s.held.Add(-s.lines)
	s.bytes.Add(-int64(len(s.batch)))
}

// write writes lines to the output. An error only counts them as dropped, since
// there is no other output to report it to.
func (s *Spooler) write(lines []byte) {
	if _, err := s.output.Write(lines); err != nil {
		s.dropped.Add(int64(bytes.Count(lines, []byte{'\n'})))
	}
}
