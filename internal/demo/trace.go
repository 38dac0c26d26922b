package main

import (
	"encoding/json"
	"fmt"
	"os"
	"sort"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmerictide/turmerictide/internal/site"
)

// span contains the fields of an exported span that the demo uses.
type span struct {
	Name        string
	SpanContext struct{ TraceID string }
	StartTime   time.Time
	EndTime     time.Time
	host        string
}

// spanNames are the spans that the trace of a chat request must contain.
var spanNames = []string{"front chat", "front acquire", "dispatch offer", "front prefill", "front decode"}

// printTrace stops the daemons, which makes them flush their spans, and prints the spans of
// the chat request.
func printTrace(s *site.Site) error {
	fmt.Println("== trace of the chat request")
	for _, d := range s.Daemons {
		if err := d.Signal(syscall.SIGTERM); err != nil {
			return errors.Newf("stop %s: %w", d.Name, err)
		}
	}
	var all []span
	for _, d := range s.Daemons {
		<-d.Exited()
		if d.ExitCode() != 0 {
			return errors.Newf("%s exited with code %d", d.Name, d.ExitCode())
		}
		spans, err := readSpans(s.TracePath(d), d.Name)
		if err != nil {
			return err
		}
		all = append(all, spans...)
	}
	return printChat(all)
}

func readSpans(path, host string) ([]span, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Newf("open trace: %w", err)
	}
	defer func() { _ = file.Close() }()
	var spans []span
	decoder := json.NewDecoder(file)
	for decoder.More() {
		var s span
		if err := decoder.Decode(&s); err != nil {
			return nil, errors.Newf("read trace: %w", err)
		}
		s.host = host
		spans = append(spans, s)
	}
	return spans, nil
}

func printChat(all []span) error {
	traceID := ""
	for _, s := range all {
		if s.Name == spanNames[0] {
			traceID = s.SpanContext.TraceID
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].StartTime.Before(all[j].StartTime) })
	seen := map[string]bool{}
	var start time.Time
	for _, s := range all {
		if s.SpanContext.TraceID != traceID {
			continue
		}
		if start.IsZero() {
			start = s.StartTime
		}
		seen[s.Name] = true
		fmt.Printf("%8.2f ms  %8.2f ms  %-16s %s\n", milliseconds(s.StartTime.Sub(start)), milliseconds(s.EndTime.Sub(s.StartTime)), s.Name, s.host)
	}
	for _, name := range spanNames {
		if !seen[name] {
			return errors.Newf("trace has no span %q", name)
		}
	}
	return nil
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
