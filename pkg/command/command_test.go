package command_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/urfave/cli/v3"

	"github.com/turmerictide/turmerictide/pkg/command"
)

// leafVerbs returns the full names of the verbs without subcommands.
func leafVerbs(prefix string, c *cli.Command) []string {
	var result []string
	for _, sub := range c.Commands {
		if sub.Name == "help" || sub.Name == "completion" {
			continue
		}
		result = append(result, leafVerbs(strings.TrimSpace(prefix+" "+sub.Name), sub)...)
	}
	if len(result) == 0 {
		return []string{prefix}
	}
	return result
}

func TestEveryVerbIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATORS.md")
	require.NoError(t, err)
	var stdout, stderr bytes.Buffer
	for _, verb := range leafVerbs("", command.NewTool(&stdout, &stderr)) {
		require.Contains(t, string(page), " "+verb, "docs/OPERATORS.md does not show %q", verb)
	}
}

// TestCases runs each folder of testdata. The file command contains the arguments, and the
// file expected contains the exit code and the output.
func TestCases(t *testing.T) {
	folders, err := filepath.Glob("testdata/*")
	require.NoError(t, err)
	require.NotEmpty(t, folders)
	for _, folder := range folders {
		t.Run(filepath.Base(folder), func(t *testing.T) {
			line, err := os.ReadFile(filepath.Join(folder, "command"))
			require.NoError(t, err)
			expected, err := os.ReadFile(filepath.Join(folder, "expected"))
			require.NoError(t, err)
			var output bytes.Buffer
			run := command.RunTool
			words := strings.Fields(string(line))
			if words[0] == "turmerictided" {
				run = command.RunDaemon
			}
			code := run(words, &output, &output)
			require.Equal(t, string(expected), "exit "+string(rune('0'+code))+"\n"+output.String())
		})
	}
}
