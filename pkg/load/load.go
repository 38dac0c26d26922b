// Package load sends the requests of a scenario to running daemons and measures the responses
// at the caller.
//
// The requests are those that the emulator generates from the same scenario, so that the
// results of a site can be compared with those of the model. Each request is sent at its
// arrival time, independent of the outcome of earlier ones.
package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/turmerictide/turmerictide/pkg/emulator"
)

const (
	// bytesPerToken is the token length from which daemons estimate the tokens of a prompt.
	bytesPerToken = 4
	// lineSizeLimit limits one line of a stream, in bytes.
	lineSizeLimit = 1 << 20
)

// Generator sends the requests of a scenario to a site.
type Generator struct {
	// Scheme is http or https.
	Scheme string
	// Daemons are the addresses over which callers are distributed.
	Daemons []netip.AddrPort
	// Token is the bearer token of the callers.
	Token string
	Model string
	// AttemptTimeout limits the duration of one attempt.
	AttemptTimeout time.Duration
	Client         *http.Client
}

// Run sends all requests of a scenario and returns their results when the last one has ended.
// When ctx is cancelled, it sends no more requests and cancels the open ones.
func (g *Generator) Run(ctx context.Context, s emulator.Scenario) emulator.Run {
	requests := emulator.Arrivals(s)
	start := time.Now()
	var wait sync.WaitGroup
	for i := range requests {
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(start.Add(requests[i].Arrival))):
		}
		if ctx.Err() != nil {
			break
		}
		wait.Go(func() { g.sendWithRetries(ctx, s, start, i, &requests[i]) })
	}
	wait.Wait()
	return emulator.Run{Scenario: s, Requests: requests}
}

// sendWithRetries sends one request. It retries after a rejection until the request is served
// or fails, or the retry limit of the scenario is reached.
func (g *Generator) sendWithRetries(ctx context.Context, s emulator.Scenario, start time.Time, index int, r *emulator.Request) {
	for {
		result, err := g.attempt(ctx, s, start, index, r)
		r.End = time.Since(start)
		r.Outcome = result.outcome
		switch {
		case err == nil && result.outcome == emulator.Served:
			r.InTarget = s.MeetsTargets(*r)
			return
		case err != nil && result.outcome != emulator.Rejected, r.Retries >= s.RetryLimit:
			return
		}
		r.Retries++
		delay := result.retryAfter
		if float64(index%100) < s.ImpatientShare*100 {
			delay = emulator.ImpatientRetryDelay
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
	}
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	outcome    emulator.Outcome
	retryAfter time.Duration
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatRequest struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
	Messages  []chatMessage `json:"messages"`
}

// prompt returns a text of the given number of tokens. The text is unique to the request.
func prompt(index, tokens int) string {
	unique := fmt.Sprintf("%08d ", index)
	return unique + strings.Repeat("word", max(tokens-len(unique)/bytesPerToken, 0))
}

func (g *Generator) attempt(ctx context.Context, s emulator.Scenario, start time.Time, index int, r *emulator.Request) (attemptResult, error) {
	ctx, cancel := context.WithTimeout(ctx, g.AttemptTimeout)
	defer cancel()
	body, err := json.Marshal(chatRequest{
		Model: g.Model, Stream: true, MaxTokens: r.Output,
		Messages: []chatMessage{{Role: "user", Content: prompt(index, r.Prompt)}},
	})
	if err != nil {
		return attemptResult{outcome: emulator.Failed}, errors.Newf("encode request: %w", err)
	}
	daemon := g.Daemons[r.Caller%len(g.Daemons)]
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, g.Scheme+"://"+daemon.String()+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return attemptResult{outcome: emulator.Failed}, errors.Newf("build request: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+g.Token)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Rank", s.Ranks[r.Rank].Rank.Name)
	response, err := g.Client.Do(request)
	if err != nil {
		return attemptResult{outcome: emulator.Failed}, errors.Newf("send request to %s: %w", daemon, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, lineSizeLimit))
		return attemptResult{outcome: emulator.Rejected, retryAfter: time.Duration(seconds) * time.Second}, nil
	}
	complete, err := readStream(response.Body, func() {
		if r.FirstToken == 0 {
			r.FirstToken = time.Since(start)
		}
	})
	if err != nil || !complete {
		return attemptResult{outcome: emulator.Failed}, errors.Newf("response of %s ended early", daemon)
	}
	return attemptResult{outcome: emulator.Served}, nil
}

// readStream calls onEvent for each event of a response and reports whether the response is
// complete.
func readStream(body io.Reader, onEvent func()) (bool, error) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, lineSizeLimit)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		switch {
		case ok && data == "[DONE]":
			return true, nil
		case ok:
			onEvent()
		}
	}
	return false, scanner.Err()
}
