package main

import (
	"context"
	"net/netip"
	"os"
	"runtime/debug"

	"github.com/sirupsen/logrus"

	"github.com/gypsumgap/gypsumgap/daemon/internal/fleet"
	"github.com/gypsumgap/gypsumgap/platform"
)

const (
	// gcPercent trades processor time for memory: a host allocates little.
	gcPercent = 50
	// softLimitShare of the memory limit is where the collector works harder.
	softLimitShare = 0.6
)

// runStatements runs a host that serves single statements on the users'
// platform.
func runStatements(ctx context.Context, s *fleet.Settings, file string, logger *logrus.Logger) int {
	debug.SetGCPercent(gcPercent)
	if s.MemoryLimitMB > 0 {
		debug.SetMemoryLimit(int64(softLimitShare * float64(s.MemoryLimitMB) * (1 << 20)))
	}
	lines := fleet.NewAsyncWriter(os.Stdout)
	defer lines.Close()
	logger.SetOutput(lines)
	logger.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "15:04:05.000"})
	log := logger.WithField("host", s.Host)
	if err := fleet.New(s, file, platformOf(s), log).Run(ctx); err != nil {
		log.WithField("event", "stopped").WithError(err).Error("host stopped after a failure")
		return exitFailed
	}
	return 0
}

// platformOf connects the host to the adapter. The settings have been checked.
func platformOf(s *fleet.Settings) fleet.Platform {
	local := netip.MustParseAddrPort(s.Listen).Addr().AsSlice()
	client := platform.NewHTTPClient(local)
	return fleet.Platform{
		Backends: platform.Backends{Host: s.Host, LocalIP: local},
		Store:    platform.NewStore(client, s.Store),
		Promoter: platform.NewPromoter(client, s.Promotions),
		Wrap:     platform.NewCaller,
		Ready:    platform.ReadyHandler,
	}
}
