package site_test

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmerictide/turmerictide/internal/site"
)

// TestFreeAddressesAreUnique guards against one address for two listeners of a site. The
// addresses of a site are chosen before its processes listen on them.
func TestFreeAddressesAreUnique(t *testing.T) {
	returned := map[netip.AddrPort]bool{}
	for range 5000 {
		address, err := site.FreeAddress()
		require.NoError(t, err)
		require.False(t, returned[address], "%s is returned twice", address)
		require.Less(t, address.Port(), uint16(32768), "port is in the ephemeral range")
		returned[address] = true
	}
}
