//go:build review

package stage2

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Answer is what a client got for one attempt.
type Answer struct {
	Attempt    string
	Status     int
	Header     http.Header
	Body       string
	RetryAfter time.Duration
	// Err is set if the attempt failed or the answer is incomplete.
	Err error
}

// NewAttempt returns the ID of an attempt.
func NewAttempt() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Call is one attempt of a client.
type Call struct {
	Attempt, Method, Host, Target, Body string
	Header                              map[string]string
	DeadlineMS                          int
	// Kept keeps the channel open for further requests, and uses one that was kept if there is one.
	Kept bool
}

var transport = newTransport(false)
var keptTransport = newTransport(true)

func newTransport(kept bool) *http.Transport {
	return &http.Transport{
		DialContext:       (&net.Dialer{Timeout: time.Second}).DialContext,
		DisableKeepAlives: !kept, MaxIdleConnsPerHost: 100, DisableCompression: true,
	}
}

func open(ctx context.Context, front string, c Call) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, c.Method, "http://"+front+"/", strings.NewReader(c.Body))
	if err != nil {
		return nil, err
	}
	// The target is sent as it is.
	request.URL.Opaque = c.Target
	request.Host = c.Host
	for name, value := range c.Header {
		request.Header.Set(name, value)
	}
	request.Header.Set("Turmerictide-Attempt-Id", c.Attempt)
	request.Header.Set("Turmerictide-Deadline-Ms", strconv.Itoa(c.DeadlineMS))
	if c.Kept {
		return keptTransport.RoundTrip(request)
	}
	return transport.RoundTrip(request)
}

func answerOf(c Call, response *http.Response) Answer {
	a := Answer{Attempt: c.Attempt, Status: response.StatusCode, Header: response.Header}
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		a.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	return a
}

// Send sends one attempt on a new channel and reads its answer.
func Send(ctx context.Context, front string, c Call) Answer {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(c.DeadlineMS)*time.Millisecond)
	defer cancel()
	response, err := open(ctx, front, c)
	if err != nil {
		return Answer{Attempt: c.Attempt, Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	a := answerOf(c, response)
	body, err := io.ReadAll(response.Body)
	a.Body, a.Err = string(body), err
	return a
}

// Event is an event of a stream.
type Event struct {
	ID   int
	Data string
	At   time.Time
}

// Stream sends one attempt for a stream and calls onEvent for each event.
func Stream(ctx context.Context, front string, c Call, onEvent func(Event)) Answer {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(c.DeadlineMS)*time.Millisecond)
	defer cancel()
	response, err := open(ctx, front, c)
	if err != nil {
		return Answer{Attempt: c.Attempt, Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	a := answerOf(c, response)
	if response.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(response.Body)
		a.Body = string(body)
		return a
	}
	reader := bufio.NewReader(response.Body)
	current := Event{ID: -1}
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			if err != io.EOF {
				a.Err = err
			}
			return a
		}
		line = strings.TrimRight(line, "\r\n")
		switch {
		case line == "" && current.ID >= 0:
			current.At = time.Now()
			onEvent(current)
			current = Event{ID: -1}
		case strings.HasPrefix(line, "id: "):
			current.ID, _ = strconv.Atoi(line[4:])
		case strings.HasPrefix(line, "data: "):
			current.Data = line[6:]
		}
	}
}
