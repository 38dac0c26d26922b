//go:build !race

package virtual

// HasRaceDetector is true if the race detector runs.
const HasRaceDetector = false
