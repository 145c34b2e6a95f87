// Command gypsumgap-standin runs stand-ins of the platform's object API and of
// database groups, with admin endpoints that switch simulated faults on and off.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/sirupsen/logrus"

	coreplatform "github.com/gypsumgap/gypsumgap/core/platform"
	"github.com/gypsumgap/gypsumgap/core/platform/platformtest"
	"github.com/gypsumgap/gypsumgap/standin/dbgroup"
	"github.com/gypsumgap/gypsumgap/standin/platform"
)

type arguments struct {
	Settings       string        `arg:"positional,required" help:"YAML file with the groups to run"`
	PlatformListen string        `arg:"--platform-listen" help:"host:port of the object API; none without it" placeholder:"ADDRESS"`
	Hosts          string        `arg:"--hosts" help:"JSON file with the platform's host list" placeholder:"FILE"`
	HostLag        time.Duration `arg:"--host-lag" default:"5s" help:"delay of changes to the host list"`
}

func main() {
	var args arguments
	arg.MustParse(&args)
	if err := run(args); err != nil {
		logrus.WithError(err).Error("start_failed")
		os.Exit(1)
	}
}

func run(args arguments) error {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	settings, err := dbgroup.ReadSettings(args.Settings)
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
	failed := make(chan error, 1)
	if args.PlatformListen != "" {
		hosts, err := readHosts(args.Hosts)
		if err != nil {
			return err
		}
		go func() { failed <- servePlatform(ctx, args, hosts) }()
	}
	logrus.WithField("admin", server.AdminAddress).Info("ready")
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	logrus.Info("stopping")
	return nil
}

func servePlatform(ctx context.Context, args arguments, hosts []coreplatform.Host) error {
	return platform.Serve(ctx, platform.Options{
		Listen: args.PlatformListen,
		Store:  platformtest.New(platformtest.Options{HostLag: args.HostLag, Hosts: hosts}),
		Ready:  func(a net.Addr) { logrus.WithField("address", a).Info("platform_started") },
	})
}

func readHosts(file string) ([]coreplatform.Host, error) {
	if file == "" {
		return nil, nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read host list: %w", err)
	}
	var hosts []coreplatform.Host
	if err := json.Unmarshal(data, &hosts); err != nil {
		return nil, fmt.Errorf("parse host list %s: %w", file, err)
	}
	return hosts, nil
}
