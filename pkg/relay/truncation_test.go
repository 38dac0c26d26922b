package relay_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/turmerictide/turmerictide/pkg/relay"
)

// TestFailureIsNotWrittenBehindABegunResponse ends a begun response with the failures of calls
// without one. A Fault is written to the caller, so it must not be the error of such a call.
func TestFailureIsNotWrittenBehindABegunResponse(t *testing.T) {
	for _, cause := range []relay.Cause{relay.CauseNoEndpoint, relay.CauseTooLate, relay.CausePoisoned, relay.CauseTimeout, relay.CauseEndpointFailed, relay.CauseCallerGone} {
		r := relay.New(relay.Config{Now: time.Now})
		err := r.ClassifyAfterStart(t.Context(), relay.NewResponseWriter(httptest.NewRecorder(), time.Now), &relay.Fault{Cause: cause})
		require.ErrorIs(t, err, relay.ErrResponseTruncated)
		var fault *relay.Fault
		require.False(t, errors.As(err, &fault), cause)
	}
}
