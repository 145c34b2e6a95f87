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
	// gcPercent saves memory at the cost of CPU time. The cost is small because a
	// host allocates little.
	gcPercent = 50
	// softMemoryLimitRatio is the fraction of the memory limit above which the
	// garbage collector runs more often.
	softMemoryLimitRatio = 0.6
)

// runStatements runs a host that serves single statements on the users'
// platform.
func runStatements(ctx context.Context, s *fleet.Settings, file string, logger *logrus.Logger) int {
	debug.SetGCPercent(gcPercent)
	if s.MemoryLimitMB > 0 {
		debug.SetMemoryLimit(int64(softMemoryLimitRatio * float64(s.MemoryLimitMB) * (1 << 20)))
	}
	stdout := fleet.NewAsyncWriter(os.Stdout)
	defer stdout.Close()
	logger.SetOutput(stdout)
	logger.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "15:04:05.000"})
	log := logger.WithField("host", s.Host)
	if err := fleet.New(s, file, newPlatform(s), log).Run(ctx); err != nil {
		log.WithField("event", "stopped").WithError(err).Error("host stopped after an error")
		return exitFailed
	}
	return 0
}

// newPlatform returns the platform adapter for the host. It panics if s.Listen is
// invalid, which ParseSettings rules out.
func newPlatform(s *fleet.Settings) fleet.Platform {
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
