// Command gypsumgap-soak runs gypsumgap processes against stand-ins of the users'
// platform, injects random faults, and checks the results that callers and backend
// servers observe. A seed determines the faults and the load.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/gypsumgap/gypsumgap/standin/fleet"
)

type arguments struct {
	Binary   string        `arg:"--binary" default:"bin/gypsumgap" help:"program of the hosts"`
	Other    string        `arg:"--other-binary" help:"program of every second host, for example of another version" placeholder:"FILE"`
	Seed     uint64        `arg:"--seed" default:"1" help:"first seed"`
	Seeds    uint64        `arg:"--seeds" default:"1" help:"number of seeds to run, one after the other"`
	Duration time.Duration `arg:"--duration" default:"20s" help:"time for which faults are injected with each seed"`
	Hosts    int           `arg:"--hosts" default:"5" help:"number of gypsumgap processes"`
	Callers  int           `arg:"--callers" default:"18" help:"number of sessions"`
	Calm     bool          `arg:"--calm" help:"inject no faults"`
	Planned  bool          `arg:"--planned" help:"instead of faults, stop the hosts of a zone over and over, beside reloads and changes"`
	Sync     int           `arg:"--sync-replicas" default:"0" help:"replicas that must receive a commit before it is acknowledged; with faults of their promotions" placeholder:"N"`
	Keep     bool          `arg:"--keep" help:"keep the settings and logs of the hosts"`
	Network  int           `arg:"--network" default:"77" help:"second number of the loopback addresses used"`
}

// maxPrinted is the largest number of problems printed for each seed.
const maxPrinted = 100

// Description is shown by --help.
func (arguments) Description() string {
	return "gypsumgap-soak checks gypsumgap's guarantees with real processes while it injects faults.\n"
}

func main() {
	var args arguments
	arg.MustParse(&args)
	failed := false
	for seed := args.Seed; seed < args.Seed+args.Seeds; seed++ {
		ok, err := runSeed(args, seed)
		if err != nil {
			fmt.Fprintf(os.Stderr, "seed %d: %v\n", seed, err)
			os.Exit(2)
		}
		failed = failed || !ok
	}
	if failed {
		os.Exit(1)
	}
}

// runSeed runs a soak with one seed and reports whether it found no problems. If it
// found some, the settings and logs are kept.
func runSeed(args arguments, seed uint64) (bool, error) {
	folder, err := fleet.MakeFolder()
	if err != nil {
		return false, err
	}
	result, err := fleet.Run(fleet.Options{
		Binary: args.Binary, OtherBinary: args.Other, Seed: seed, Duration: args.Duration, Hosts: args.Hosts, Callers: args.Callers, NoFaults: args.Calm, Planned: args.Planned, SyncReplicas: args.Sync, Folder: folder,
	}, args.Network)
	if err != nil {
		return false, err
	}
	fmt.Printf("seed=%d problems=%d writes=%v broken=%d reads=%d promotions=%d faults=%v\n",
		seed, len(result.Problems), result.Writes, result.Broken, result.Reads, result.Promotions, result.Faults)
	if len(result.Problems) == 0 && !args.Keep {
		return true, os.RemoveAll(folder)
	}
	for _, p := range result.Problems[:min(len(result.Problems), maxPrinted)] {
		fmt.Printf("seed=%d problem: %s\n", seed, p)
	}
	fmt.Printf("seed=%d settings and logs are in %s\n", seed, folder)
	return len(result.Problems) == 0, nil
}
