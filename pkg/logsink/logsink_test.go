package logsink_test

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/turmerictide/turmerictide/pkg/logsink"
)

// blockedWriter blocks all writes until open is closed.
type blockedWriter struct {
	bytes.Buffer
	open chan struct{}
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.open
	return b.Buffer.Write(p)
}

func TestSlowReaderDoesNotBlockWriters(t *testing.T) {
	output := &blockedWriter{open: make(chan struct{})}
	sink := logsink.New(output, time.Now)
	ctx, cancel := context.WithCancel(t.Context())
	go sink.Serve(ctx)
	start := time.Now()
	for range 10000 {
		_, err := sink.Write([]byte("{\"msg\":\"line\"}\n"))
		require.NoError(t, err)
	}
	require.Less(t, time.Since(start), time.Second)
	close(output.open)
	cancel()
	<-sink.Done()
	require.Contains(t, output.String(), "log lines were left out")
	require.Less(t, strings.Count(output.String(), "\n"), 10000)
}

// BenchmarkLine writes a line as long as the line of a completed request.
func BenchmarkLine(b *testing.B) {
	sink := logsink.New(io.Discard, time.Now)
	ctx, cancel := context.WithCancel(b.Context())
	go sink.Serve(ctx)
	log := logr.FromSlogHandler(slog.NewJSONHandler(sink, nil)).WithName("relay").WithValues("host", "edge-1", "availability_zone", "a")
	b.ReportAllocs()
	for b.Loop() {
		log.Info("request is answered", "request_id", "4a4738b50c3533c9", "route", "r-caqdcz4", "service", "lehu44b", "status", 200,
			"sends", 1, "runs", 1, "endpoint", "i-1a7b0f2c0f", "first_ms", 56, "total_ms", 56, "config", 4, "config_age_ms", 9445)
	}
	cancel()
	<-sink.Done()
}
