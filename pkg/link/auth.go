package link

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	headerHost      = "X-Peer-Host"
	headerTime      = "X-Peer-Time"
	headerSignature = "X-Peer-Signature"
	// maxClockSkew limits the difference between the time of a signature and the
	// clock of the verifier.
	maxClockSkew = 30 * time.Second
)

// ErrUnauthorized is returned for a peer request without a valid signature.
var ErrUnauthorized = errors.New("peer is not authorized")

// Keys sign and verify requests between peers. The first key signs, and any
// key verifies. A key can therefore be rotated without interruption: add the new
// key as the second on all hosts, then make it the first, then remove the old one.
type Keys []string

func signature(key, host, at, path string) string {
	mac := hmac.New(sha256.New, []byte(key))
	_, _ = mac.Write([]byte(strings.Join([]string{host, at, path}, "\n")))
	return hex.EncodeToString(mac.Sum(nil))
}

// Sign adds the headers that authenticate host to request. They cover the path of
// the request but not its body.
func (k Keys) Sign(request *http.Request, host string, now time.Time) {
	at := strconv.FormatInt(now.Unix(), 10)
	request.Header.Set(headerHost, host)
	request.Header.Set(headerTime, at)
	request.Header.Set(headerSignature, signature(k[0], host, at, request.URL.Path))
}

// Verify returns the host that signed request, or ErrUnauthorized.
func (k Keys) Verify(request *http.Request, now time.Time) (string, error) {
	host, at := request.Header.Get(headerHost), request.Header.Get(headerTime)
	seconds, err := strconv.ParseInt(at, 10, 64)
	if err != nil || host == "" {
		return "", ErrUnauthorized
	}
	if now.Sub(time.Unix(seconds, 0)).Abs() > maxClockSkew {
		return "", ErrUnauthorized
	}
	given := []byte(request.Header.Get(headerSignature))
	for _, key := range k {
		if hmac.Equal(given, []byte(signature(key, host, at, request.URL.Path))) {
			return host, nil
		}
	}
	return "", ErrUnauthorized
}
