package front_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// outputWords are the tokens of the output that a standin has for every prompt.
var outputWords = []string{"one ", "two ", "three ", "four ", "five "}

func tokenEvent(offset int) string {
	return fmt.Sprintf("data: {\"token_offset\":%d,\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", offset, outputWords[offset])
}

// tokenEvents returns the events of the tokens from an offset up to another.
func tokenEvents(from, to int) string {
	var events strings.Builder
	for offset := from; offset < to; offset++ {
		events.WriteString(tokenEvent(offset))
	}
	return events.String()
}

func finishEvent(offset int) string {
	return fmt.Sprintf("data: {\"token_offset\":%d,\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n", offset)
}

const doneEvent = "data: [DONE]\n\n"

func wholeStream(from int) string {
	return tokenEvents(from, len(outputWords)) + finishEvent(len(outputWords)) + doneEvent
}

// transport is a framing of a response and the way in which its connection ends.
type transport struct {
	name string
	// isWhole is true when all of the body arrives and nothing in the framing is wrong.
	isWhole bool
	reply   func(head, body string) reply
}

func chunks(body string) string {
	var result strings.Builder
	for _, part := range strings.SplitAfter(body, "\n\n") {
		if part != "" {
			fmt.Fprintf(&result, "%x\r\n%s\r\n", len(part), part)
		}
	}
	return result.String()
}

func lengthHeader(length int) string {
	return fmt.Sprintf("Content-Length: %d\r\n\r\n", length)
}

const chunkedHeader = "Transfer-Encoding: chunked\r\n\r\n"

var transports = []transport{
	{"length", true, func(head, body string) reply { return reply{raw: head + lengthHeader(len(body)) + body} }},
	{"length, reset after it", true, func(head, body string) reply {
		return reply{raw: head + lengthHeader(len(body)) + body, reset: true}
	}},
	{"length too long, closed", false, func(head, body string) reply { return reply{raw: head + lengthHeader(len(body)+9) + body} }},
	{"length too long, reset", false, func(head, body string) reply {
		return reply{raw: head + lengthHeader(len(body)+9) + body, reset: true}
	}},
	{"length too short", false, func(head, body string) reply {
		return reply{raw: head + lengthHeader(len(body)/2) + body}
	}},
	{"last chunk", true, func(head, body string) reply { return reply{raw: head + chunkedHeader + chunks(body) + "0\r\n\r\n"} }},
	{"chunks, closed", false, func(head, body string) reply { return reply{raw: head + chunkedHeader + chunks(body)} }},
	{"chunks, reset", false, func(head, body string) reply {
		return reply{raw: head + chunkedHeader + chunks(body), reset: true}
	}},
	{"neither, closed", true, func(head, body string) reply { return reply{raw: head + "\r\n" + body} }},
	{"neither, reset", false, func(head, body string) reply { return reply{raw: head + "\r\n" + body, reset: true} }},
}

const streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"

// content is the body of a stream from a token on. Only the first one is whole.
type content struct {
	name string
	body func(from int) string
}

var contents = []content{
	{"whole", wholeStream},
	{"empty", func(int) string { return "" }},
	{"blank lines alone", func(int) string { return "\n\n\n\n" }},
	{"a comment alone", func(int) string { return ": ping\n\n" }},
	{"ends between events", func(from int) string { return tokenEvents(from, 3) }},
	{"ends inside an event", func(from int) string { return tokenEvents(from, 3) + tokenEvent(3)[:20] }},
	{"ends before the blank line of an event", func(from int) string { return strings.TrimSuffix(tokenEvents(from, 4), "\n") }},
	{"ends before the finish reason", func(from int) string { return tokenEvents(from, 5) }},
	{"ends before the last event", func(from int) string { return tokenEvents(from, 5) + finishEvent(5) }},
	{"ends inside the last event", func(from int) string { return strings.TrimSuffix(wholeStream(from), "\n") }},
	{"has no finish reason", func(from int) string { return tokenEvents(from, 5) + doneEvent }},
	{"has the last event alone", func(int) string { return doneEvent }},
	{"ends with an error", func(from int) string {
		return tokenEvents(from, 3) + "data: {\"error\":{\"message\":\"out of memory\"}}\n\n" + doneEvent
	}},
	{"ends with an error in a choice", func(from int) string {
		return tokenEvents(from, 3) + "data: {\"token_offset\":3,\"error\":{\"message\":\"out of memory\"},\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n" + doneEvent
	}},
	{"is aborted by the engine", func(from int) string {
		return tokenEvents(from, 3) + strings.Replace(finishEvent(3), "stop", "abort", 1) + doneEvent
	}},
	{"goes on after the finish reason", func(from int) string {
		return tokenEvents(from, 3) + finishEvent(3) + tokenEvents(3, 4) + doneEvent
	}},
	{"has two finish reasons", func(from int) string {
		return tokenEvents(from, 3) + finishEvent(3) + wholeStream(3)
	}},
	{"has its last event in two lines", func(from int) string {
		return strings.Replace(wholeStream(from), "[DONE]", "[DO\ndata: NE]", 1)
	}},
	{"leaves out a token", func(from int) string { return tokenEvents(from, 2) + tokenEvents(3, 5) + finishEvent(5) + doneEvent }},
	{"is followed by another response", func(from int) string {
		other := strings.NewReplacer("one", "uno", "two", "dos", "three", "tres", "four", "cuatro", "five", "cinco")
		return tokenEvents(from, 3) + streamHead + "\r\n" + other.Replace(wholeStream(0))
	}},
	{"has an event without an offset", func(from int) string {
		return "data: {\"choices\":[{\"delta\":{\"role\":\"assistant\"}}]}\n\n" + wholeStream(from)
	}},
	{"has a finish reason without an offset", func(int) string {
		return "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n" + doneEvent
	}},
	{"has text in the event of the finish reason", func(from int) string {
		return tokenEvents(from, 4) + "data: {\"token_offset\":4,\"choices\":[{\"delta\":{\"content\":\"five \"},\"finish_reason\":\"stop\"}]}\n\n" + doneEvent
	}},
	{"is no stream", func(int) string { return `{"error":{"message":"out of memory"}}` }},
	{"is an answer of another kind", func(int) string {
		return `{"choices":[{"index":0,"message":{"content":"one "},"finish_reason":"stop"}]}` + "\n\n"
	}},
}

// streamCase is one row of the table of endings.
type streamCase struct {
	transport transport
	content   content
	// stage is the call whose response ends so: the first stream, the one that resumes it
	// on a new connection, or the one of the next attempt.
	stage string
	// version is the caller's version of HTTP.
	version string
	stream  bool
}

func (c streamCase) String() string {
	return fmt.Sprintf("%s; %s; %s; HTTP/%s; stream %t", c.transport.name, c.content.name, c.stage, c.version, c.stream)
}

// brokenAfter returns the events of a stream that breaks off after a token.
func brokenAfter(from, tokens int) reply {
	return reply{raw: streamHead + chunkedHeader + chunks(tokenEvents(from, tokens))}
}

func (c streamCase) respond(s *standin, received call) reply {
	ending := c.transport.reply(streamHead, c.content.body(received.from))
	switch {
	case received.stage == "prefill":
		return s.prefilled()
	case received.stage == "decode" && c.stage != "first" && received.number == 1:
		return brokenAfter(0, 1)
	case received.stage == "resume" && c.stage == "next attempt":
		return sound(http.StatusNotFound, "text/plain", "")
	case received.stage == "decode" || received.stage == "resume":
		return ending
	}
	return sound(http.StatusOK, "application/json", "{}")
}

// answer is the content of a response to a chat request.
type answer struct {
	words []string
	// complete is true when the response has the mark of a complete one.
	complete bool
}

func parseAnswer(got received, stream bool) answer {
	var a answer
	type event struct {
		Choices []struct {
			Delta, Message struct{ Content string }
		}
	}
	if !stream {
		var parsed event
		if got.status == http.StatusOK && json.Unmarshal([]byte(got.body), &parsed) == nil && len(parsed.Choices) == 1 {
			words := strings.SplitAfter(parsed.Choices[0].Message.Content, " ")
			a.words, a.complete = words[:len(words)-1], true
		}
		return a
	}
	for block := range strings.SplitSeq(got.body, "\n\n") {
		data, _ := strings.CutPrefix(block, "data: ")
		var parsed event
		if json.Unmarshal([]byte(data), &parsed) == nil && len(parsed.Choices) == 1 && parsed.Choices[0].Delta.Content != "" {
			a.words = append(a.words, parsed.Choices[0].Delta.Content)
		}
	}
	a.complete = got.status == http.StatusOK && strings.HasSuffix(got.body, "\n\n"+doneEvent)
	return a
}

func chatRequest(version string, stream bool) string {
	body := fmt.Sprintf(`{"model":%q,"stream":%t,"messages":[{"role":"user","content":"count"}]}`, testModel, stream)
	return rawRequest(version, http.MethodPost, "/v1/chat/completions", "Content-Type: application/json\r\n", body)
}

// check returns what is wrong with a response, or "".
func (c streamCase) check(got received) string {
	a := parseAnswer(got, c.stream)
	switch {
	case len(a.words) > len(outputWords) || !slices.Equal(a.words, outputWords[:len(a.words)]):
		return "has other tokens"
	case a.complete && len(a.words) < len(outputWords):
		return "is cut and has the mark of a complete one"
	case c.content.name == "whole" && c.transport.isWhole && !a.complete:
		return "is not complete although the endpoint's was"
	case c.content.name != "whole" && a.complete:
		return "is complete although no endpoint's was"
	case got.status != http.StatusOK && !got.framed:
		return "is a cut error"
	case got.status == http.StatusOK && a.complete != got.framed && c.version == "1.1":
		return "has a framing that contradicts its mark"
	case got.status == http.StatusOK && !a.complete && c.stream && !strings.Contains(got.body, "\"error\""):
		return "does not tell its error"
	}
	return ""
}

func streamCases() []streamCase {
	var cases []streamCase
	for _, t := range transports {
		for _, c := range contents {
			for _, stage := range []string{"first", "resume", "next attempt"} {
				cases = append(cases,
					streamCase{t, c, stage, "1.1", true}, streamCase{t, c, stage, "1.0", true}, streamCase{t, c, stage, "1.1", false})
			}
		}
	}
	return cases
}

// caseConcurrency limits the cases that a table test runs concurrently.
const caseConcurrency = 24

// runCases runs each case and returns the faults that were found.
func runCases[C fmt.Stringer](cases []C, run func(c C) string) []string {
	var mu sync.Mutex
	var faults []string
	var wait sync.WaitGroup
	slots := make(chan struct{}, caseConcurrency)
	for _, c := range cases {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			if fault := run(c); fault != "" {
				mu.Lock()
				defer mu.Unlock()
				faults = append(faults, c.String()+": "+fault)
			}
		})
	}
	wait.Wait()
	slices.Sort(faults)
	return faults
}

// TestPromiseStreamIsCompleteOnlyWithItsFinishReasonAndLastEvent ends the responses of engines
// in each way, at each stage, for callers of both versions of HTTP.
func TestPromiseStreamIsCompleteOnlyWithItsFinishReasonAndLastEvent(t *testing.T) {
	faults := runCases(streamCases(), func(c streamCase) string {
		s := startStandin(t, c.respond)
		got, err := exchange(startFront(t, s.address), chatRequest(c.version, c.stream))
		if err != nil {
			return err.Error()
		}
		if fault := c.check(got); fault != "" {
			return fmt.Sprintf("%s: %d %q", fault, got.status, got.body)
		}
		return ""
	})
	require.Empty(t, faults, "%d faults:\n%s", len(faults), strings.Join(faults, "\n"))
}
