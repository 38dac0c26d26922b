// Package trail finds the log lines of one request in the logs of daemons.
//
// The logs of all hosts are read as one stream, in any order. A line belongs to the
// request if it has its request_id, or the request number by which a dispatcher
// identifies one of its attempts. The line that reports granted places has both.
package trail

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// maxLineBytes limits the length of an input line. It is twice the longest line that
// daemons write.
const maxLineBytes = 8 << 10

// Line is one line of a daemon's log.
type Line struct {
	At      time.Time
	Host    string
	Message string
	// Fields are the fields that are not common to all lines.
	Fields map[string]any
}

// commonFields are the fields that every line has.
var commonFields = []string{"time", "level", "msg", "host", "availability_zone", "logger"}

// Find returns the lines of the request with the given request_id, sorted by time.
// It skips lines that are not JSON, and any text before the JSON of a line.
func Find(logs io.Reader, id string) ([]Line, error) {
	attemptIDs := map[string]bool{}
	var attemptLines []Line
	var found []Line
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(make([]byte, 0, maxLineBytes), maxLineBytes)
	for scanner.Scan() {
		l, ok := parseLine(scanner.Bytes())
		if !ok {
			continue
		}
		attemptID, _ := l.Fields["request"].(string)
		switch {
		case l.Fields["request_id"] == id:
			found = append(found, l)
			if attemptID != "" {
				attemptIDs[attemptID] = true
			}
		case attemptID != "":
			attemptLines = append(attemptLines, l)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, errors.Newf("read logs: %w", err)
	}
	for _, l := range attemptLines {
		if attemptIDs[l.Fields["request"].(string)] {
			found = append(found, l)
		}
	}
	slices.SortStableFunc(found, func(a, b Line) int { return a.At.Compare(b.At) })
	return found, nil
}

func parseLine(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	fields := map[string]any{}
	if json.Unmarshal(text[start:], &fields) != nil {
		return Line{}, false
	}
	l := Line{Fields: fields}
	l.Host, _ = fields["host"].(string)
	l.Message, _ = fields["msg"].(string)
	at, _ := fields["time"].(string)
	l.At, _ = time.Parse(time.RFC3339Nano, at)
	for _, name := range commonFields {
		delete(fields, name)
	}
	return l, l.Message != ""
}

// Text returns the fields as name=value, sorted by name.
func (l Line) Text() string {
	var parts []string
	for name, value := range l.Fields {
		parts = append(parts, fmt.Sprintf("%s=%v", name, value))
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}
