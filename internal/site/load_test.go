package site_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmerictide/turmerictide/internal/site"
)

// lightLoad is a load within the capacity of a small site.
const lightLoad = `
[load]
duration = 3s
warm_up = 0s
of_capacity = 0.5
callers = 4

[engines]
prefill = 1
decode = 1
places = 2
pieces = 64
token_gap = 5ms
token_gap_per_request = 0s
output_limit = 30

[rank urgent]
prompt = 60
output = 10

[rank standard]
prompt = 60
output = 10
`

func TestLoadIsSentAndReported(t *testing.T) {
	s := startSite(t, site.Config{DaemonsPerZone: 1})
	directory := t.TempDir()
	path := filepath.Join(directory, "gentle.ini")
	require.NoError(t, os.WriteFile(path, []byte(lightLoad), 0o600))
	command := exec.Command(filepath.Join(binaries, "turmerictide"), "load", "--caller", s.Daemons[0].Address.String(), "--caller", s.Daemons[1].Address.String(),
		"--caller-token", site.CallerToken, "--model", site.Model, "--report", directory, path)
	output, err := command.CombinedOutput()
	require.NoError(t, err, string(output))
	require.Contains(t, string(output), "CONTENDER")
	require.Contains(t, string(output), "site")
	page, err := os.ReadFile(filepath.Join(directory, "gentle", "report.md"))
	require.NoError(t, err)
	require.Contains(t, string(page), "| site |")
	requireIdle(t, s)
}
