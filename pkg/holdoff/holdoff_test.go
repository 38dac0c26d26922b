package holdoff_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmerictide/turmerictide/pkg/holdoff"
)

var (
	epoch = time.Unix(1_800_000_000, 0)
	born  = epoch.Add(-time.Hour)
)

func TestShorterHoldOffDoesNotReplaceLonger(t *testing.T) {
	r := holdoff.NewRegister()
	r.Record(epoch, "desk-1", born, 3*time.Second)
	require.Equal(t, epoch.Add(3*time.Second), r.Record(epoch.Add(time.Second), "desk-1", born, 100*time.Millisecond), "a later, shorter hold-off leaves the end unchanged")
	until, ok := r.Until(epoch.Add(2*time.Second), "desk-1", born)
	require.True(t, ok)
	require.Equal(t, epoch.Add(3*time.Second), until)
	_, ok = r.Until(epoch.Add(3*time.Second), "desk-1", born)
	require.False(t, ok)
}

func TestHoldOffAppliesToOneIncarnation(t *testing.T) {
	r := holdoff.NewRegister()
	r.Record(epoch, "desk-1", born, 3*time.Second)
	_, ok := r.Until(epoch, "desk-1", born.Add(time.Minute))
	require.False(t, ok)
	_, ok = r.Until(epoch, "desk-2", born)
	require.False(t, ok)
}

func TestHoldOffIsBounded(t *testing.T) {
	r := holdoff.NewRegister()
	require.Equal(t, epoch.Add(10*time.Minute), r.Record(epoch, "desk-1", born, 1000*time.Hour))
	require.False(t, r.IsEmpty())
	r.Sweep(epoch.Add(10 * time.Minute))
	require.True(t, r.IsEmpty())
}
