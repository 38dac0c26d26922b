package connection_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestClosedConnectionsOfAnEndpointAreKnown closes connections after a response, before and after
// the pool has used them again.
func TestClosedConnectionsOfAnEndpointAreKnown(t *testing.T) {
	const settle = 20 * time.Millisecond
	for name, c := range map[string]struct {
		closes, reuses, expected bool
	}{
		"kept":                     {},
		"kept and used again":      {reuses: true},
		"closed":                   {closes: true, expected: true},
		"closed and opened again":  {closes: true, reuses: true, expected: true},
		"closed before the period": {closes: true},
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := serve(t, func(t *testing.T, conn net.Conn, r *http.Request, number int) bool {
				return respondOK(t, conn, r, number) && (!c.closes || r.Header.Get("X-Id") != "1")
			})
			pool := newPool(4)
			requireExchange(t, pool, address, "1")
			since := time.Now()
			time.Sleep(settle)
			if c.reuses {
				requireExchange(t, pool, address, "2")
			}
			if c.closes && !c.expected {
				require.True(t, pool.HasClosed(address, since))
				since = time.Now()
			}
			require.Equal(t, c.expected, pool.HasClosed(address, since))
		})
	}
}

// TestEndpointThatClosesOneOfItsConnectionsHasNotClosedAll closes one of two idle connections.
func TestEndpointThatClosesOneOfItsConnectionsHasNotClosedAll(t *testing.T) {
	address, _ := serve(t, func(t *testing.T, conn net.Conn, r *http.Request, number int) bool {
		return respondOK(t, conn, r, number) && r.Header.Get("X-Id") != "1"
	})
	pool := newPool(4)
	require.NoError(t, pool.OpenIdle(t.Context(), address))
	require.NoError(t, pool.OpenIdle(t.Context(), address))
	requireExchange(t, pool, address, "1")
	since := time.Now()
	time.Sleep(20 * time.Millisecond)
	require.False(t, pool.HasClosed(address, since))
}
