// Command gypsumgap-standin runs stand-ins of database groups, with an admin
// endpoint that switches their faults.
package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/sirupsen/logrus"

	"github.com/gypsumgap/gypsumgap/standin/dbgroup"
)

type arguments struct {
	Settings string `arg:"positional,required" help:"YAML file with the groups to run"`
}

func main() {
	var args arguments
	arg.MustParse(&args)
	if err := run(args.Settings); err != nil {
		logrus.WithError(err).Error("start_failed")
		os.Exit(1)
	}
}

func run(path string) error {
	settings, err := dbgroup.ReadSettings(path)
	if err != nil {
		return err
	}
	server, err := dbgroup.Serve(settings, logrus.StandardLogger())
	if err != nil {
		return err
	}
	defer server.Close()
	for _, group := range server.Groups {
		logrus.WithField("group", group.Name()).WithField("addresses", group.Addresses()).Info("group_started")
	}
	logrus.WithField("admin", server.AdminAddress).Info("ready")
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	<-stop
	logrus.Info("stopping")
	return nil
}
