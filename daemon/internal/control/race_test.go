//go:build race

package control

import (
	"flag"
	"runtime"

	_ "github.com/gypsumgap/gypsumgap/core/testseed"
)

// raceChecks is the number of cases per property test under the race detector,
// which needs minutes for the full number. make test runs all cases without it.
const raceChecks = "40"

// The timers of a synctest bubble share one context of the race detector. Its
// runtime crashes if two threads run timers of a bubble at the same moment (Go
// 1.26). Many hosts with the same periods cause that, so the tests use one thread.
func init() {
	runtime.GOMAXPROCS(1)
	if err := flag.Set("rapid.checks", raceChecks); err != nil {
		panic(err)
	}
}
