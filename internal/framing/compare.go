package framing

import (
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// Bodies are the bodies that an endpoint got, by the path of the request. It is safe for concurrent use.
type Bodies struct {
	mu     sync.Mutex
	byPath map[string][]string
}

// Record reads the body of a request at an endpoint. path is that which the caller sent.
func (b *Bodies) Record(path string, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byPath == nil {
		b.byPath = map[string][]string{}
	}
	b.byPath[path] = append(b.byPath[path], string(body))
}

// CompareConnections sends generated requests on many connections, from a fixed seed, and requires that the
// endpoint got each of them as its caller sent it, or not at all. prefix and header are those of Generator.
func CompareConnections(t *testing.T, address, prefix, header string, bodies *Bodies) {
	t.Helper()
	const seed, connections = 20261206, 600
	random := rand.New(rand.NewPCG(seed, 0))
	generator := &Generator{Random: random, Prefix: prefix, Header: header}
	for number := range connections {
		requests := make([]Request, 1+random.IntN(4))
		for i := range requests {
			requests[i] = generator.Next()
		}
		together := random.IntN(2) == 0
		outcome, err := Send(address, requests, together)
		require.NoError(t, err)
		bodies.mu.Lock()
		difference := Check(requests, outcome, bodies.byPath)
		require.Empty(t, difference, "connection %d, together %t, %v, requests %q", number, together, outcome, requests)
		require.NotContains(t, bodies.byPath, prefix+Inner)
		bodies.mu.Unlock()
	}
}
