// Command gypsumctl is the command-line tool for operators of gypsumgap.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/gypsumgap/gypsumgap/ctl/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := cli.Run(ctx, os.Args[1:], cli.System())
	stop()
	os.Exit(int(status))
}
