//go:build race

package virtual

// HasRaceDetector is true if the race detector runs. It makes simulations of hundreds of hosts several
// times slower; those run without it in "make test".
const HasRaceDetector = true
