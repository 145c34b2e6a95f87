// Package cli implements the commands of gypsumctl.
//
// A command returns a report, which is printed as text or JSON, and an error that
// determines the exit status.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/gypsumgap/gypsumgap/core/platform"
	"github.com/gypsumgap/gypsumgap/core/platform/httpstore"
)

// Environment holds what the commands use of the process and of the platform.
type Environment struct {
	Stdout io.Writer
	Stderr io.Writer
	// OpenStore returns a client of the platform's store at an address.
	OpenStore func(address string) (platform.Store, error)
	// Now returns the current time.
	Now func() time.Time
}

// System returns the environment of the running process.
func System() Environment {
	return Environment{Stdout: os.Stdout, Stderr: os.Stderr, OpenStore: openStore, Now: time.Now}
}

func openStore(address string) (platform.Store, error) {
	return httpstore.New(httpstore.Options{URL: address})
}

// arguments defines the command line.
type arguments struct {
	Check      *checkCommand      `arg:"subcommand:check" help:"check a configuration folder without contacting the platform"`
	Diff       *diffCommand       `arg:"subcommand:diff" help:"show what applying a folder would change"`
	Apply      *applyCommand      `arg:"subcommand:apply" help:"apply a folder as the current configuration"`
	Status     *statusCommand     `arg:"subcommand:status" help:"show hosts, databases and slots"`
	Switchover *switchoverCommand `arg:"subcommand:switchover" help:"move the primary of a database in a planned switchover"`
	Drain      *drainCommand      `arg:"subcommand:drain" help:"take a host out of service without interrupting requests"`
	Report     *reportCommand     `arg:"subcommand:report" help:"write reports"`

	Output   outputFormat  `arg:"--output" default:"text" placeholder:"FORMAT" help:"text or json"`
	Platform string        `arg:"--platform,env:GYPSUMGAP_PLATFORM" placeholder:"URL" help:"address of the platform, http://host:port"`
	Timeout  time.Duration `arg:"--timeout" default:"30s" help:"time limit of the whole command"`
}

// Description returns the first line of the help.
func (arguments) Description() string {
	return "gypsumctl manages the configuration and the hosts of gypsumgap."
}

// command is one subcommand.
type command interface {
	// run executes the command. It may return a report together with an error.
	run(ctx context.Context, c *invocation) (report, error)
	// example returns a command line that the help shows.
	example() string
}

// invocation holds the environment and the arguments of one run of a command.
type invocation struct {
	env  Environment
	args *arguments
}

// report is the result of a command. It is printed with writeText, or encoded as
// JSON with encoding/json.
type report interface {
	writeText(w io.Writer)
}

// Run parses the command line (without the program's name), runs the command
// and returns the exit status.
func Run(ctx context.Context, argv []string, env Environment) Status {
	args := &arguments{}
	parser, err := arg.NewParser(arg.Config{Program: "gypsumctl", Out: env.Stderr}, args)
	if err != nil {
		fmt.Fprintln(env.Stderr, "gypsumctl:", err)
		return Usage
	}
	err = parser.Parse(argv)
	cmd, _ := parser.Subcommand().(command)
	switch {
	case errors.Is(err, arg.ErrHelp):
		writeHelp(env.Stdout, parser, cmd)
		return Done
	case err != nil:
		return usageError(env, parser, err.Error())
	case cmd == nil:
		return usageError(env, parser, "missing command")
	}
	ctx, cancel := context.WithTimeout(ctx, args.Timeout)
	defer cancel()
	rep, err := cmd.run(ctx, &invocation{env: env, args: args})
	status := exitStatus(err)
	writeResult(env, args.Output, rep, status, err)
	return status
}

// usageError prints the usage of the selected command and a message.
func usageError(env Environment, parser *arg.Parser, message string) Status {
	_ = parser.WriteUsageForSubcommand(env.Stderr, parser.SubcommandNames()...)
	fmt.Fprintln(env.Stderr, "gypsumctl:", message)
	return Usage
}

// writeHelp prints the help of the program, or of a command if cmd is not nil.
func writeHelp(w io.Writer, parser *arg.Parser, cmd command) {
	_ = parser.WriteHelpForSubcommand(w, parser.SubcommandNames()...)
	if cmd != nil {
		fmt.Fprintf(w, "\nExample:\n  %s\n", strings.ReplaceAll(cmd.example(), "\n", "\n  "))
	}
	fmt.Fprintf(w, "\n%s\n", statusHelp)
}

// store returns a client of the store at the platform's address. Its errors are
// command-line errors.
func (c *invocation) store() (platform.Store, error) {
	if c.args.Platform == "" {
		return nil, &commandLineError{"--platform is missing"}
	}
	store, err := c.env.OpenStore(c.args.Platform)
	if err != nil {
		return nil, &commandLineError{err.Error()}
	}
	return store, nil
}
