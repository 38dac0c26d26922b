// Package logsink writes log lines without blocking the goroutine that logs.
//
// Lines are queued in a bounded queue for one writer. If the reader of the output is
// slow or the rate limit is exceeded, lines are dropped and counted. A log line
// reports how many were dropped.
package logsink

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// queueCapacity is the maximum number of queued lines.
	queueCapacity = 2048
	// maxLineBytes limits the length of a line. Longer lines are truncated.
	maxLineBytes = 4096
	// linesPerSecondLimit limits the mean rate, and burstLimit the lines in a burst.
	// A host that serves 100 requests per second writes about 200 lines per second.
	linesPerSecondLimit = 1000
	burstLimit          = 4000
)

// Sink is an io.Writer for log lines. Each Write must contain exactly one line.
type Sink struct {
	output  io.Writer
	now     func() time.Time
	queue   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// New returns a Sink that writes to output while Serve runs.
func New(output io.Writer, now func() time.Time) *Sink {
	return &Sink{output: output, now: now, queue: make(chan []byte, queueCapacity), done: make(chan struct{})}
}

// Write queues a line, or drops it if the queue is full. It never fails and never blocks.
func (s *Sink) Write(line []byte) (int, error) {
	if len(line) > maxLineBytes {
		line = append(line[:maxLineBytes-1:maxLineBytes-1], '\n')
	}
	select {
	case s.queue <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Done is closed when Serve has returned.
func (s *Sink) Done() <-chan struct{} {
	return s.done
}

// Serve writes queued lines until ctx is done. It then writes the remaining lines and returns.
func (s *Sink) Serve(ctx context.Context) {
	defer close(s.done)
	reported := int64(0)
	tokens, refilledAt := float64(burstLimit), s.now()
	for {
		var line []byte
		select {
		case line = <-s.queue:
		case <-ctx.Done():
			select {
			case line = <-s.queue:
			default:
				return
			}
		}
		now := s.now()
		tokens = min(tokens+now.Sub(refilledAt).Seconds()*linesPerSecondLimit, burstLimit)
		refilledAt = now
		if tokens < 1 {
			s.dropped.Add(1)
			continue
		}
		tokens--
		if dropped := s.dropped.Load(); dropped > reported {
			_, _ = fmt.Fprintf(s.output, "{\"level\":\"INFO\",\"msg\":\"log lines were left out\",\"lines\":%d,\"in_all\":%d}\n", dropped-reported, dropped)
			reported = dropped
		}
		_, _ = s.output.Write(line)
	}
}
