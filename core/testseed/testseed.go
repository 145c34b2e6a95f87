// Package testseed fixes the seed of property tests, so that their verdict is
// the same on every run. Test packages import it for its effect.
//
// With GYPSUMGAP_EXPLORE set in the environment the seeds stay random, and a
// failing test prints the seed that replays it.
package testseed

import (
	"flag"
	"os"

	// The flags that this package sets are defined by rapid.
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
