// Command gypsumgap is the database proxy process that runs on every entry host.
package main

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/sirupsen/logrus"

	"github.com/gypsumgap/gypsumgap/daemon/internal/fleet"
	"github.com/gypsumgap/gypsumgap/daemon/internal/host"
	"github.com/gypsumgap/gypsumgap/daemon/internal/settings"
	"github.com/gypsumgap/gypsumgap/platform"
)

type arguments struct {
	Settings         string `arg:"--settings" help:"settings file in YAML; on the users' platform, the one that it names" placeholder:"FILE"`
	Check            bool   `arg:"--check" help:"check the settings and exit"`
	Host             string `arg:"--host" help:"override the setting host"`
	AvailabilityZone string `arg:"--availability-zone" help:"override the setting availability_zone"`
	Platform         string `arg:"--platform" help:"override the setting platform"`
	LogLevel         string `arg:"--log-level" default:"info" help:"debug, info, warning or error"`
}

// Description is shown by --help.
func (arguments) Description() string {
	return "gypsumgap is a database proxy with session consistency.\n"
}

// Epilogue is shown by --help.
func (arguments) Epilogue() string {
	return "Example: gypsumgap --settings /etc/gypsumgap/settings.yaml\n\n" +
		"Environment variables GYPSUMGAP_<KEY> override the settings file, flags override both.\n" +
		"TERM and INT start a graceful shutdown."
}

func (a arguments) overrides() map[string]string {
	out := map[string]string{}
	for key, value := range map[string]string{"host": a.Host, "availability_zone": a.AvailabilityZone, "platform": a.Platform} {
		if value != "" {
			out[key] = value
		}
	}
	return out
}

// Exit statuses.
const (
	exitFindings = 1
	exitFailed   = 3
)

func main() {
	// SIGHUP would end the process until a host that reloads its settings handles it.
	signal.Ignore(syscall.SIGHUP)
	var args arguments
	arg.MustParse(&args)
	os.Exit(run(args))
}

func run(args arguments) int {
	if args.Settings == "" {
		args.Settings, _ = platform.SettingsFile(os.LookupEnv)
	}
	if args.Settings == "" {
		fmt.Fprintln(os.Stderr, "no settings: give --settings FILE")
		return exitFindings
	}
	data, err := os.ReadFile(args.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, fmt.Errorf("read settings: %w", err))
		return exitFindings
	}
	if fleet.IsStatements(data) {
		s, err := fleet.ParseSettings(args.Settings, data)
		return args.start(err, func(ctx context.Context, logger *logrus.Logger) int {
			return runStatements(ctx, s, args.Settings, logger)
		})
	}
	s, err := settings.Parse(args.Settings, data, os.LookupEnv, args.overrides())
	return args.start(err, func(ctx context.Context, logger *logrus.Logger) int { return runHost(ctx, s, logger) })
}

// start runs serve with a context that ends at TERM or INT, and returns the exit
// status. It does not serve if settingsErr is set or the settings are only to be
// checked.
func (a arguments) start(settingsErr error, serve func(context.Context, *logrus.Logger) int) int {
	level, err := logrus.ParseLevel(a.LogLevel)
	if err := cmp.Or(settingsErr, err); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFindings
	}
	if a.Check {
		fmt.Println("settings are good")
		return 0
	}
	logger := logrus.New()
	logger.SetLevel(level)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return serve(ctx, logger)
}

// runHost runs a host that serves PostgreSQL callers.
func runHost(ctx context.Context, s *settings.Settings, logger *logrus.Logger) int {
	logger.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true})
	h, err := host.New(s, logger.WithField("host", s.Host))
	if err == nil {
		err = h.Run(ctx)
	}
	if err != nil {
		logger.WithField("event", "stopped").WithError(err).Error("host stopped after an error")
		return exitFailed
	}
	logger.WithField("event", "stopped").Info("host stopped")
	return 0
}
