//go:build race

package fleet

// raceEnabled is true if the race detector is on. It makes simulations slower by
// an order of magnitude, so that long tests run only some of their seeds. The
// Makefile's test target also runs them in full without it.
const raceEnabled = true
