// Package loads_test checks the product against the bounds in the load files of this directory.
package loads_test

import (
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmerictide/turmerictide/pkg/emulator"
	"github.com/turmerictide/turmerictide/pkg/experiment"
)

func TestLoadsMeetTheirBounds(t *testing.T) {
	paths, err := filepath.Glob("*.ini")
	require.NoError(t, err)
	require.NotEmpty(t, paths)
	for _, path := range paths {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			e, err := experiment.ReadFile(path)
			require.NoError(t, err)
			e.Contenders = emulator.Contenders[:1]
			verdicts := e.CheckBounds(e.Run())
			require.NotEmpty(t, verdicts, "a load file must contain at least one bound")
			for _, v := range verdicts {
				t.Logf("%s %.4f, bound %.4f", v.Figure, v.Worst, v.Bound)
				require.True(t, v.Holds, "%s is %.4f, bound %.4f", v.Figure, v.Worst, v.Bound)
			}
		})
	}
}
