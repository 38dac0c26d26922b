package settings_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmerictide/turmerictide/pkg/settings"
)

func TestExamplesAreCorrect(t *testing.T) {
	paths, err := filepath.Glob("../../examples/*/*.ini")
	require.NoError(t, err)
	require.NotEmpty(t, paths)
	for _, path := range paths {
		_, err := settings.Load(path)
		require.NoError(t, err, path)
	}
}

func TestLoadReportsAllFaults(t *testing.T) {
	path := filepath.Join(t.TempDir(), "wrong.ini")
	content := `[daemon]
host = entry-1
[listen]
caller = nowhere
[limits]
body_bytes = many
[colour]
paint = red
[trace]
exporter = pigeon
unknown = 1
`
	require.NoError(t, os.WriteFile(path, []byte(content), 0o600))
	_, err := settings.Load(path)
	var faults settings.Faults
	require.ErrorAs(t, err, &faults)
	for _, fault := range []string{
		"[daemon] availability_zone", "[listen] caller = \"nowhere\"", "[listen] operator", "[platform] store",
		"[peers] key", "[operator] token", "[limits] body_bytes = \"many\"", "[colour]", "[trace] exporter = \"pigeon\"", "[trace] unknown",
	} {
		require.ErrorContains(t, err, fault)
	}
}

func TestListenersOfThePlatformsProtocolAreRequired(t *testing.T) {
	example, err := os.ReadFile("../../examples/cairo/entry-shubra-1.ini")
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "daemon.ini")
	require.NoError(t, os.WriteFile(path, append(example, "\n[platform]\nprotocol = platform\n"...), 0o600))
	_, err = settings.Load(path)
	require.ErrorContains(t, err, "[listen] ready")
	require.ErrorContains(t, err, "[listen] metrics")
}

func TestSecretsAreReadFromFiles(t *testing.T) {
	directory := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(directory, "key"), []byte("from-file\n"), 0o600))
	example, err := os.ReadFile("../../examples/cairo/entry-shubra-1.ini")
	require.NoError(t, err)
	path := filepath.Join(directory, "daemon.ini")
	content := string(example) + "\n[peers]\nkey_file = " + filepath.Join(directory, "key") + "\n"
	require.NoError(t, os.WriteFile(path, []byte(content), 0o600))
	loaded, err := settings.Load(path)
	require.NoError(t, err)
	require.Equal(t, []string{"from-file"}, loaded.Peers.Keys)
}
