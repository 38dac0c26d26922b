// Package framing generates requests whose ends are hard to tell (RFC 9112, sections 2.2, 5.1, 5.2, 6.1 to
// 6.3, 7.1, 9.3.2 and 11.2), for tests that compare what a caller sent with what an endpoint got.
package framing

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Inner is the last part of the path of a request that lies inside the bodies of others.
const Inner = "inner"

// Request is one request as bytes.
type Request struct {
	// Path is the path of the request. No other request of the generator has it.
	Path string
	Raw  string
	// Body is what an endpoint must get if the request is served.
	Body string
	// IsInvalid is true if the request must be refused, MayBeRefused if it may be.
	IsInvalid    bool
	MayBeRefused bool
	// Form lists what is unusual about the request.
	Form []string
}

// Generator generates requests.
type Generator struct {
	Random *rand.Rand
	// Prefix is the start of all paths. Header contains further fields, each with its line end.
	Prefix string
	Header string

	count int
}

func pick[T any](random *rand.Rand, list ...T) T {
	return list[random.IntN(len(list))]
}

// chance reports true in one of n cases.
func (g *Generator) chance(n int) bool {
	return g.Random.IntN(n) == 0
}

// Next returns one request.
func (g *Generator) Next() Request {
	g.count++
	r := Request{Path: fmt.Sprintf("%sf-%d", g.Prefix, g.count)}
	inner := fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: desk.example\r\n%sContent-Length: 2\r\n\r\nhi", g.Prefix, Inner, g.Header)
	r.Body = pick(g.Random, "ok", inner, inner+inner, "0\r\n\r\n"+inner, strings.Repeat("x", 5000))
	version := "1.1"
	if g.chance(6) {
		version = "1.0"
		r.Form = append(r.Form, "HTTP/1.0")
	}
	fields, chunked := g.fields(&r, version)
	g.Random.Shuffle(len(fields), func(i, j int) { fields[i], fields[j] = fields[j], fields[i] })
	lineEnd := "\r\n"
	if g.chance(12) {
		lineEnd, r.MayBeRefused = "\n", true
		r.Form = append(r.Form, "bare LF")
	}
	var raw strings.Builder
	fmt.Fprintf(&raw, "POST %s HTTP/%s\r\nHost: desk.example\r\n%s", r.Path, version, g.Header)
	if version == "1.0" {
		raw.WriteString("Connection: keep-alive\r\n")
	}
	for _, field := range fields {
		raw.WriteString(field + lineEnd)
	}
	raw.WriteString("\r\n")
	if chunked {
		raw.WriteString(g.chunks(&r))
	} else {
		raw.WriteString(r.Body)
	}
	r.Raw = raw.String()
	return r
}

// fields returns the fields that determine the end of a request, and whether its body is sent in chunks.
func (g *Generator) fields(r *Request, version string) (fields []string, chunked bool) {
	length := fmt.Sprint(len(r.Body))
	invalid := func(form string, values ...string) {
		r.IsInvalid, r.Form = true, append(r.Form, form)
		fields = values
	}
	unusual := func(form string, values ...string) {
		r.MayBeRefused, r.Form = true, append(r.Form, form)
		fields = values
	}
	lengthName := pick(g.Random, "Content-Length", "content-length", "CONTENT-lengTH")
	codingName := pick(g.Random, "Transfer-Encoding", "transfer-encoding", "TRANSFER-encodinG")
	fields = []string{lengthName + ": " + length}
	switch g.Random.IntN(26) {
	case 0:
		r.Body, fields = "", nil
	case 1:
		invalid("space before the colon", lengthName+" : "+length)
	case 2:
		invalid("space before the colon of a coding", codingName+" : chunked")
	case 3:
		unusual("folded length", lengthName+":\r\n "+length)
	case 4:
		unusual("folded coding", codingName+":\r\n\tchunked")
		chunked = true
	case 5:
		unusual("repeated length", lengthName+": "+length, lengthName+": "+length)
	case 6:
		unusual("list of equal lengths", lengthName+": "+length+", "+length)
	case 7:
		invalid("different lengths", lengthName+": "+length, lengthName+": 0")
	case 8:
		invalid("list of different lengths", lengthName+": 0, "+length)
	case 9:
		invalid("form of the length", lengthName+": "+pick(g.Random, "+"+length, "-"+length, "0x"+length, length+"f", "", "99999999999999999999", "1e1", "1_0", length+" 1"))
	case 10:
		invalid("length beside chunks", lengthName+": "+length, codingName+": chunked")
		chunked = g.chance(2)
	case 11:
		invalid("unknown coding", codingName+": "+pick(g.Random, "gzip", "identity", "xchunked", "chunked2", "\"chunked\""))
	case 12:
		invalid("chunked is not last", codingName+": "+pick(g.Random, "chunked, gzip", "chunked, identity", "chunked;q=1"))
		chunked = true
	case 13:
		invalid("repeated coding", codingName+": chunked", codingName+": chunked")
		chunked = true
	case 14:
		invalid("list of a repeated coding", codingName+": chunked, chunked")
		chunked = true
	case 15:
		invalid("codings in two fields", codingName+": gzip", codingName+": chunked")
		chunked = true
	case 16:
		unusual("bare CR", "X-Fill: a\r"+codingName+": chunked", lengthName+": "+length)
	case 17:
		invalid("bare CR in a coding", codingName+": \rchunked")
		chunked = true
	case 18:
		invalid("length behind a bare LF beside chunks", "X-Fill: a\n"+lengthName+": 3", codingName+": chunked")
		chunked = true
	case 19, 20, 21, 22:
		fields, chunked = []string{codingName + ": " + pick(g.Random, "chunked", "Chunked", " chunked ")}, true
	}
	if chunked && version == "1.0" {
		r.IsInvalid = true
	}
	return fields, chunked
}

// chunks returns the body of a request in chunks.
func (g *Generator) chunks(r *Request) string {
	cut := g.Random.IntN(len(r.Body) + 1)
	var raw strings.Builder
	for _, part := range []string{r.Body[:cut], r.Body[cut:]} {
		if part == "" {
			continue
		}
		size, end := fmt.Sprintf("%x", len(part)), "\r\n"
		switch g.Random.IntN(16) {
		case 0:
			size += ";name=value"
		case 1:
			size = strings.ToUpper("00" + size)
		case 2:
			size, r.IsInvalid = pick(g.Random, "+", "-", "0x", " ")+size, true
			r.Form = append(r.Form, "form of a chunk's size")
		case 3:
			size, r.IsInvalid = pick(g.Random, "10000000000000000"+size, "", "g", ";a"), true
			r.Form = append(r.Form, "no size of a chunk")
		case 4:
			end, r.MayBeRefused = "\n", true
			r.Form = append(r.Form, "bare LF behind a size")
		case 5:
			size, r.MayBeRefused = size+" ", true
			r.Form = append(r.Form, "space behind a size")
		case 6:
			size, r.MayBeRefused = size+";a\nb", true
			r.IsInvalid = true
			r.Form = append(r.Form, "bare LF in an extension")
		case 7:
			part, r.IsInvalid = part+"y", true
			r.Form = append(r.Form, "chunk longer than its size")
		}
		raw.WriteString(size + end + part + "\r\n")
	}
	raw.WriteString("0\r\n")
	if g.chance(5) {
		raw.WriteString(pick(g.Random, "X-Sum: 1", "Content-Length: 60", "Transfer-Encoding: gzip") + "\r\n")
		r.MayBeRefused, r.Form = true, append(r.Form, "trailer")
	}
	return raw.String() + "\r\n"
}

// Outcome is what the sender of requests on one connection got.
type Outcome struct {
	// Statuses are the status codes of all responses.
	Statuses []int
	// IsClosed is true if the connection was closed by its peer.
	IsClosed bool
}

// quietTime is the time without a further response after which a connection counts as kept open.
const quietTime = 2 * time.Second

// Send sends requests on one connection, each after the response to the one before it, or all of them
// together. It returns when there is a response to each or the connection is closed. After a refused
// request it waits for the close.
func Send(address string, requests []Request, together bool) (Outcome, error) {
	var outcome Outcome
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return outcome, err
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	if together {
		go func() {
			for _, r := range requests {
				_, _ = io.WriteString(conn, r.Raw)
			}
		}()
	}
	isRefused := false
	for i := 0; i < len(requests) || isRefused; i++ {
		if !together && i < len(requests) {
			_, _ = io.WriteString(conn, requests[i].Raw)
		}
		_ = conn.SetReadDeadline(time.Now().Add(quietTime))
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			outcome.IsClosed = !errors.Is(err, os.ErrDeadlineExceeded)
			return outcome, nil
		}
		outcome.Statuses = append(outcome.Statuses, response.StatusCode)
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			// The HTTP server resets a connection with unread bytes.
			outcome.IsClosed = true
			return outcome, nil
		}
		isRefused = isRefused || response.StatusCode != http.StatusOK
	}
	return outcome, nil
}

// Check compares the outcome of requests on one connection with the bodies that endpoints got, by path. It
// returns a description of the first difference, or "".
func Check(requests []Request, outcome Outcome, bodies map[string][]string) string {
	for i, r := range requests {
		got := bodies[r.Path]
		if i >= len(outcome.Statuses) {
			// The reset of a connection may overtake the response.
			if !outcome.IsClosed || !r.IsInvalid && !r.MayBeRefused {
				return fmt.Sprintf("request %d has no response", i)
			}
			return firstRun(requests[i:], bodies)
		}
		if status := outcome.Statuses[i]; status != http.StatusOK {
			switch {
			case !r.IsInvalid && !r.MayBeRefused:
				return fmt.Sprintf("request %d is sound and gets %d", i, status)
			case status != http.StatusBadRequest && status != http.StatusNotImplemented:
				return fmt.Sprintf("request %d is refused with %d", i, status)
			case len(outcome.Statuses) > i+1:
				return fmt.Sprintf("a request behind the refused one %d gets a response", i)
			case !outcome.IsClosed:
				return fmt.Sprintf("the connection is open after the refused request %d", i)
			}
			return firstRun(requests[i:], bodies)
		}
		if r.IsInvalid {
			return fmt.Sprintf("request %d is invalid and is served", i)
		}
		if len(got) != 1 || got[0] != r.Body {
			return fmt.Sprintf("the endpoint got %q and not the body of request %d", got, i)
		}
	}
	return ""
}

// firstRun returns a description of the first of the requests that was run, or "".
func firstRun(requests []Request, bodies map[string][]string) string {
	for _, r := range requests {
		if len(bodies[r.Path]) > 0 {
			return fmt.Sprintf("%s is run at or behind a refused request", r.Path)
		}
	}
	return ""
}
