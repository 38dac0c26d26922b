package store_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmerictide/turmerictide/pkg/store"
)

// TestAnswerOfAnotherServiceIsNoAbsentKey responds to all calls as a service that is not the store.
func TestAnswerOfAnotherServiceIsNoAbsentKey(t *testing.T) {
	for _, body := range []string{"{}", `{"error":"no such service"}`, `{"kvs":[]}`, `{"header":{},"kvs":[]}`, `{"header":{"revision":"0"}}`, "null"} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }))
		s := store.NewGatewayStore([]string{server.URL}, time.Second)
		_, err := s.Get(t.Context(), "key")
		require.ErrorIs(t, err, store.ErrOutcomeUnknown, body)
		_, err = s.Commit(t.Context(), store.Commit{})
		require.ErrorIs(t, err, store.ErrOutcomeUnknown, body)
		_, err = s.GrantLease(t.Context(), time.Minute)
		require.ErrorIs(t, err, store.ErrOutcomeUnknown, body)
		server.Close()
	}
}
