package poison

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Part identifies one part of a prompt, whatever the rest of the prompt contains.
type Part uint64

// NewPart returns the Part with a name.
func NewPart(name string) Part {
	return Part(xxhash.Sum64String(name))
}

// String returns the part in hexadecimal, as in logs.
func (p Part) String() string {
	return strconv.FormatUint(uint64(p), 16)
}

// maxLoggedParts limits the parts in one log line.
const maxLoggedParts = 8

// FormatParts returns the first and last parts of a prompt for a log line.
func FormatParts(parts []Part) string {
	var names []string
	for i, p := range parts {
		if i < maxLoggedParts/2 || i >= len(parts)-maxLoggedParts/2 {
			names = append(names, p.String())
		} else if i == maxLoggedParts/2 {
			names = append(names, "...")
		}
	}
	return strings.Join(names, ",")
}
