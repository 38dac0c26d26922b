package logsink_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmerictide/turmerictide/pkg/logsink"
)

// gate is an output whose reader takes nothing until it is opened.
type gate struct {
	bytes.Buffer
	open chan struct{}
}

func (g *gate) Write(p []byte) (int, error) {
	<-g.open
	return g.Buffer.Write(p)
}

func TestSlowReaderHoldsUpNobodyAndIsToldWhatIsMissing(t *testing.T) {
	output := &gate{open: make(chan struct{})}
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
