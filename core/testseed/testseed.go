// Package testseed sets a fixed seed for property tests, so that their result is
// the same on every run. Test packages import it for this side effect.
//
// If the environment variable GYPSUMGAP_EXPLORE is set, seeds stay random, and a
// failing test prints the seed that reproduces it.
package testseed

import (
	"flag"
	"os"

	// Defines the flags that this package sets.
	_ "pgregory.net/rapid"
)

const (
	exploreVariable = "GYPSUMGAP_EXPLORE"
	fixedSeed       = "20261204"
)

func init() {
	if os.Getenv(exploreVariable) != "" {
		return
	}
	setFlag("rapid.seed", fixedSeed)
	setFlag("rapid.nofailfile", "true")
}

func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
