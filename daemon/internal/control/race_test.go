//go:build race

package control

import (
	"flag"
	"runtime"

	_ "github.com/gypsumgap/gypsumgap/core/testseed"
)

// raceChecks is the number of cases of property tests under the race detector,
// which needs minutes for all of them; make test plays all without it.
const raceChecks = "40"

// The timers of a synctest bubble share one context of the race detector. Two
// threads that run timers of a bubble at the same moment crash its runtime (Go
// 1.26), which many hosts with the same periods do, so the tests get one thread.
func init() {
	runtime.GOMAXPROCS(1)
	if err := flag.Set("rapid.checks", raceChecks); err != nil {
		panic(err)
	}
}
