// Package logsink writes log lines without ever holding up whoever logs.
//
// Lines wait in a bounded queue for one writer. What does not fit, because the
// reader of the output is slow or the rate is over its bound, is left out and
// counted, and a line says how many were.
package logsink

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// queueLines bounds the lines that wait.
	queueLines = 2048
	// maxLineBytes bounds one line.
	maxLineBytes = 4096
	// linesPerSecond bounds the mean rate; burstLines may come at once. A host
	// that serves a hundred requests a second writes about two hundred lines.
	linesPerSecond = 1000
	burstLines     = 4000
)

// Sink is an io.Writer that takes whole lines.
type Sink struct {
	output  io.Writer
	now     func() time.Time
	queue   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// New returns a Sink in front of output.
func New(output io.Writer, now func() time.Time) *Sink {
	return &Sink{output: output, now: now, queue: make(chan []byte, queueLines), done: make(chan struct{})}
}

// Write queues a line. It never fails and never waits.
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

// Serve writes lines until ctx ends, and then what is queued.
func (s *Sink) Serve(ctx context.Context) {
	defer close(s.done)
	told := int64(0)
	allowance, at := float64(burstLines), s.now()
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
		allowance = min(allowance+now.Sub(at).Seconds()*linesPerSecond, burstLines)
		at = now
		if allowance < 1 {
			s.dropped.Add(1)
			continue
		}
		allowance--
		if dropped := s.dropped.Load(); dropped > told {
			_, _ = fmt.Fprintf(s.output, "{\"level\":\"INFO\",\"msg\":\"log lines were left out\",\"lines\":%d,\"in_all\":%d}\n", dropped-told, dropped)
			told = dropped
		}
		_, _ = s.output.Write(line)
	}
}
