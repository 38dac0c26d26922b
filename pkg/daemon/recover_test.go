package daemon_test

import (
	"sync"
	"testing"

	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/require"

	"github.com/turmerictide/turmerictide/pkg/daemon"
)

// TestPanicOnEntriesOfAPeerDoesNotEndTheProcess covers the reading of a peer, which is the only
// reading of entries outside of the supervisor.
func TestPanicOnEntriesOfAPeerDoesNotEndTheProcess(t *testing.T) {
	var lines []string
	log := funcr.New(func(_, line string) { lines = append(lines, line) }, funcr.Options{})
	var work sync.WaitGroup
	work.Go(func() { daemon.RunRecovered(log, func() { panic("odd entry") }) })
	work.Wait()
	require.Len(t, lines, 1)
	require.Contains(t, lines[0], "entries of a peer were not handled")
	require.Contains(t, lines[0], "odd entry")
}
