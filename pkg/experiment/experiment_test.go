package experiment_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmerictide/turmerictide/pkg/experiment"
	"github.com/turmerictide/turmerictide/pkg/settings"
)

// shortLoad is a load with a short run time.
const shortLoad = `
[load]
seeds = 1, 2
duration = 80s
warm_up = 5s
of_capacity = 1.2
wave = 0.5
wave_period = 20s
returns = 1
impatient = 0.5

[engines]
output_limit = 256

[rank urgent]
output = 100
in_target = 0.5

[rank standard]
output = 100

[burst first]
rank = standard
from = 20s
for = 10s
factor = 3

[bounds]
in_target = 0.1
served_of_capacity = 1
`

func writeLoadFile(t *testing.T, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "short.ini")
	require.NoError(t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

func TestRunsOfOneSeedAreEqual(t *testing.T) {
	e, err := experiment.ReadFile(writeLoadFile(t, shortLoad))
	require.NoError(t, err)
	first, second := e.Run(), e.Run()
	require.Equal(t, first, second)
	require.NotEqual(t, first[0].Runs[0], first[0].Runs[1], "runs with different seeds differ")
	require.NotEmpty(t, first[0].Runs[0].Samples)
}

func TestReportContainsTableBoundsAndPlots(t *testing.T) {
	e, err := experiment.ReadFile(writeLoadFile(t, shortLoad))
	require.NoError(t, err)
	results := e.Run()
	directory := t.TempDir()
	path, err := e.Report(directory, results)
	require.NoError(t, err)
	page, err := os.ReadFile(path)
	require.NoError(t, err)
	for _, text := range []string{"| product |", "| alone |", "| fcfs |", "| strict |", "| urgent in target |", "goodput.svg", "waits.svg"} {
		require.Contains(t, string(page), text)
	}
	plots, err := filepath.Glob(filepath.Join(directory, "*.svg"))
	require.NoError(t, err)
	require.Len(t, plots, 5)
}

func TestBoundAppliesToWorstSeed(t *testing.T) {
	e, err := experiment.ReadFile(writeLoadFile(t, shortLoad))
	require.NoError(t, err)
	verdicts := e.CheckBounds(e.Run())
	require.Len(t, verdicts, 3)
	require.True(t, verdicts[0].Holds)
	require.False(t, verdicts[2].Holds, "at least one seed does not serve at full capacity in a short run: %.3f", verdicts[2].Worst)
}

func TestReadFileReportsAllFaults(t *testing.T) {
	_, err := experiment.ReadFile(writeLoadFile(t, `
[load]
seeds = one
contenders = nobody
duration = soon
size = 4
[burst first]
rank = unknown
[trouble]
lost_decode = 7
`))
	var faults settings.Faults
	require.ErrorAs(t, err, &faults)
	require.Len(t, faults, 7)
}

func TestReadFileRejectsMissingFile(t *testing.T) {
	_, err := experiment.ReadFile(filepath.Join(t.TempDir(), "missing.ini"))
	require.ErrorContains(t, err, "read settings file")
}
