//go:build review

package kit

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var attempts atomic.Int64

// NewAttempt returns the id of a new client attempt.
func NewAttempt() string {
	return fmt.Sprintf("%08x%08x", started.UnixNano()&0xffffffff, attempts.Add(1))
}

// Answer is what a client got.
type Answer struct {
	Attempt string
	Status  int
	Header  http.Header
	Body    string
	// Events are the ids of the events of a stream, and Sources their texts.
	Events  []string
	Sources []string
	Err     error
}

// Call is a request of a client.
type Call struct {
	Front, Method, Path, Body string
	Attempt                   string
	DeadlineMS                int
	Header                    map[string]string
	Stream                    bool
}

var client = &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64}}

// Do sends a request, each stream on a channel of its own.
func Do(ctx context.Context, c Call) Answer {
	if c.Attempt == "" {
		c.Attempt = NewAttempt()
	}
	answer := Answer{Attempt: c.Attempt}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(c.DeadlineMS)*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, c.Method, "http://"+c.Front+c.Path, strings.NewReader(c.Body))
	if err != nil {
		answer.Err = err
		return answer
	}
	request.Host = "desk.example"
	request.Header.Set("Turmerictide-Attempt-Id", c.Attempt)
	request.Header.Set("Turmerictide-Deadline-Ms", fmt.Sprint(c.DeadlineMS))
	request.Close = c.Stream
	if c.Stream {
		request.Header.Set("Turmerictide-Model", "m")
		request.Header.Set("Turmerictide-Token-Counts", "1000,70")
		request.Header.Set("Turmerictide-Prompt-Prefix", "5c1e07a2:200,"+c.Attempt[8:]+":800")
	}
	for name, value := range c.Header {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		answer.Err = err
		return answer
	}
	defer func() { _ = response.Body.Close() }()
	answer.Status, answer.Header = response.StatusCode, response.Header
	if !c.Stream || response.StatusCode != http.StatusOK {
		body, err := io.ReadAll(response.Body)
		answer.Body, answer.Err = string(body), err
		return answer
	}
	reader := bufio.NewReader(response.Body)
	id := ""
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			if err != io.EOF {
				answer.Err = err
			}
			return answer
		}
		line = strings.TrimRight(line, "\r\n")
		switch {
		case strings.HasPrefix(line, "id: "):
			id = line[4:]
		case strings.HasPrefix(line, "data: ") && id != "":
			answer.Events, answer.Sources = append(answer.Events, id), append(answer.Sources, line[6:])
		}
	}
}
