package connection

import (
	"bytes"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// errInvalidHead is returned for a response whose head does not follow RFC 9112. The HTTP client of the
// standard library accepts more forms, and may then take another end of the body than the endpoint.
var errInvalidHead = errors.New("head of response is invalid")

// minStatus and maxStatus are the first and the last status code (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// CheckResponse returns an error if the parsed head of a response is invalid. No request asks for another
// protocol, so a response that switches to one is too.
func CheckResponse(head *http.Response) error {
	_, reason, _ := strings.Cut(head.Status, " ")
	switch {
	case head.ProtoMajor != 1:
		return errors.Newf("version %.20q: %w", head.Proto, errInvalidHead)
	case head.StatusCode < minStatus || head.StatusCode > maxStatus:
		return errors.Newf("status %.20q: %w", head.Status, errInvalidHead)
	case head.StatusCode == http.StatusSwitchingProtocols:
		return errors.Newf("another protocol: %w", errInvalidHead)
	case !httpguts.ValidHeaderFieldValue(reason):
		return errors.Newf("reason %.20q: %w", reason, errInvalidHead)
	}
	return checkFields(head.Header)
}

// checkFields returns an error for a field with an invalid name or value. The parser keeps a blank in a
// name.
func checkFields(fields http.Header) error {
	for name, values := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Newf("field name %.20q: %w", name, errInvalidHead)
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return errors.Newf("value of field %s: %w", name, errInvalidHead)
			}
		}
	}
	return nil
}

// CheckLines returns an error for what a parsed head no longer shows, in the bytes of a head and of the
// interim ones before it: blanks before the status, a line that continues the one before, and a coding of
// the body in a version without codings.
func CheckLines(raw []byte) error {
	var line []byte
	for isInterim := true; isInterim && len(raw) > 0; {
		line, raw = cutLine(raw)
		version, status, _ := bytes.Cut(line, []byte(" "))
		isInterim = bytes.HasPrefix(status, []byte("1"))
		hasCodings := string(version) != "HTTP/1.0"
		if bytes.HasPrefix(status, []byte(" ")) {
			return errors.Newf("blanks before the status: %w", errInvalidHead)
		}
		for {
			line, raw = cutLine(raw)
			if len(bytes.TrimRight(line, "\r\n")) == 0 {
				break
			}
			name, _, _ := bytes.Cut(line, []byte(":"))
			switch {
			case line[0] == ' ' || line[0] == '\t':
				return errors.Newf("continuation line: %w", errInvalidHead)
			case !hasCodings && strings.EqualFold(string(name), "Transfer-Encoding"):
				return errors.Newf("coding in HTTP/1.0: %w", errInvalidHead)
			}
		}
	}
	return nil
}

// StrictTransport checks the heads of the responses of another transport.
type StrictTransport struct {
	Transport http.RoundTripper
}

// RoundTrip sends a request. A response with an invalid head is an error: nothing in it is to be believed.
func (s StrictTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := s.Transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := CheckResponse(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// trailerBody is the body of a response. It is complete only with valid trailers.
type trailerBody struct {
	io.ReadCloser
	head *http.Response
}

// Read reads the body.
func (b *trailerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if failure := checkFields(b.head.Trailer); failure != nil {
			return n, errors.Newf("read trailers: %w", failure)
		}
	}
	return n, err
}
