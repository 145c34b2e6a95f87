// Command gypsumgap-demo runs the whole system on one machine, injects the faults of a
// scenario, and checks that the consistency guarantees held.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/alexflint/go-arg"

	"github.com/gypsumgap/gypsumgap/standin/demo"
)

type arguments struct {
	Bin  string `arg:"--bin" help:"folder of the built programs; the folder of this one by default"`
	Logs string `arg:"--logs" help:"file for the output of all processes" default:"/dev/null"`
	Seed uint64 `arg:"--seed" default:"1" help:"seed of the callers' choices"`

	Profiles string `arg:"--profiles" help:"folder for the hosts' goroutines if writes get stuck"`

	Scenario demo.Scenario `arg:"--scenario" default:"kill" help:"faults to inject"`
}

func main() {
	var args arguments
	arg.MustParse(&args)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := run(ctx, args)
	stop()
	os.Exit(status)
}

func run(ctx context.Context, args arguments) int {
	if args.Bin == "" {
		self, err := os.Executable()
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		args.Bin = filepath.Dir(self)
	}
	logs, err := os.Create(args.Logs)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer logs.Close()
	summary, err := demo.Run(ctx, demo.Options{Bin: args.Bin, Logs: logs, Seed: args.Seed, Scenario: args.Scenario, Profiles: args.Profiles})
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		return 1
	}
	for _, example := range summary.Examples {
		fmt.Println(example)
	}
	for _, gap := range summary.Gaps {
		fmt.Println(gap)
	}
	fmt.Println(summary.Failures())
	fmt.Println(summary)
	if !summary.OK() {
		return 1
	}
	return 0
}
