package fleet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"

	"github.com/gypsumgap/gypsumgap/core/objects"
	"github.com/gypsumgap/gypsumgap/core/peerapi"
	"github.com/gypsumgap/gypsumgap/core/statement"
	"github.com/gypsumgap/gypsumgap/core/writelease"
	"github.com/gypsumgap/gypsumgap/daemon/internal/backend"
	"github.com/gypsumgap/gypsumgap/daemon/internal/front"
	"github.com/gypsumgap/gypsumgap/daemon/internal/metrics"
	"github.com/gypsumgap/gypsumgap/daemon/internal/peer"
	"github.com/gypsumgap/gypsumgap/daemon/internal/web"
)

// Timeouts of a shutdown.
const (
	// balancerDrainTime is how long a stopping host continues to accept callers.
	// The load balancer checks every second and stops sending callers after two
	// failed checks.
	balancerDrainTime = 2200 * time.Millisecond
	// stopMargin is the time reserved between closing the last sessions and the
	// end of the stop timeout.
	stopMargin = 700 * time.Millisecond
	// peerStopTimeout is the part of stopMargin for statements of other hosts.
	peerStopTimeout = 250 * time.Millisecond
)

// Platform is the adapter to the platform that a host runs on.
type Platform struct {
	// Backends opens connections to backend servers.
	Backends statement.Backends
	// Store is the platform's object store.
	Store objects.Store
	// Promoter is the platform's promotion service.
	Promoter objects.Promoter
	// Wrap returns the protocol side of a caller's connection.
	Wrap func(net.Conn) statement.CallerConn
	// Ready returns the handler of readiness checks. The host is ready while the
	// given function returns nil.
	Ready func(func() error) http.Handler
}

// Host is one host process.
type Host struct {
	settings *Settings
	file     string
	log      *logrus.Entry
	metrics  *metrics.Metrics
	control  *controller
	front    *front.Server
	platform Platform
	peers    *peer.Client
}

// watchTimeoutShare is the fraction of the catch-up timeout that a watch may
// wait. The rest is for the call that follows a watch without an answer.
const watchTimeoutShare = 0.75

// bootTime returns the time since the machine booted, including suspensions.
// The monotonic clock of package time excludes suspensions, and the wall clock
// may be stepped.
func bootTime() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now()
	}
	return time.Unix(ts.Unix())
}

// New creates a host from checked settings without starting it. The file is the
// settings file, which is checked again when it changes.
func New(s *Settings, file string, p Platform, log *logrus.Entry) *Host {
	h := &Host{
		settings: s, file: file, log: log, platform: p, metrics: metrics.New(s.Host, s.AvailabilityZone),
		peers: peer.NewClient(netip.MustParseAddrPort(s.PeerListen).Addr()),
	}
	recorder := newRecorder(h.metrics.Scope(), bootTime, log)
	var lease *writelease.Lease
	if !s.PlatformFencing {
		lease = writelease.New()
	}
	h.control = newController(options{
		host: s.Host, incarnation: strconv.FormatInt(time.Now().UnixNano(), 36), zone: s.AvailabilityZone, zones: s.Zones,
		peerAddress: s.PeerListen, peer: h.peers.Peer,
		store: p.Store, promoter: p.Promoter, now: bootTime, scope: h.metrics.Scope(), log: log,
		heartbeatInterval: s.HeartbeatInterval,
		watchWait:         time.Duration(watchTimeoutShare * float64(s.CatchUpTimeout)),
		groups:            backend.Options{Backends: p.Backends, Recorder: recorder, Now: bootTime, Zone: s.AvailabilityZone, RegionOf: s.Zones, WriteLease: lease},
	})
	h.front = front.NewServer(front.Options{Catalog: h.control.published, Recorder: recorder, Wrap: p.Wrap, Now: bootTime})
	return h
}

// checkReady returns nil if callers may be sent to this host, or an error that
// wraps metrics.ErrNotReady.
func (h *Host) checkReady() error {
	v := h.control.published.View()
	switch {
	case v.Draining:
		return fmt.Errorf("%w: host is stopping", metrics.ErrNotReady)
	case v.Configuration == nil || !v.ServersListed:
		return fmt.Errorf("%w: configuration is not known", metrics.ErrNotReady)
	default:
		return nil
	}
}

// isDraining reports whether this host is shutting down.
func (h *Host) isDraining() bool { return h.control.published.View().Draining }

// Run serves until ctx ends and then shuts down gracefully. It fails if it
// cannot listen on one of the configured addresses, or if serving fails.
func (h *Host) Run(ctx context.Context) error {
	callers, err := listen(h.settings.Listen)
	if err != nil {
		return err
	}
	ready, err := listen(h.settings.ReadyListen)
	if err != nil {
		return err
	}
	admin, err := listen(h.settings.MetricsListen)
	if err != nil {
		return err
	}
	peers, err := listen(h.settings.PeerListen)
	if err != nil {
		return err
	}
	controlCtx, stopControl := context.WithCancel(context.WithoutCancel(ctx))
	defer stopControl()
	var running errgroup.Group
	running.Go(func() error { h.control.run(controlCtx); return nil })
	running.Go(func() error { return h.front.Serve(callers) })
	readyServer := web.Serve(&running, ready, h.platform.Ready(h.checkReady))
	adminServer := web.Serve(&running, admin, h.metrics.Handler(h.checkReady))
	peerServer := web.Serve(&running, peers, web.CloseWhile(h.isDraining, peerapi.NewPeerServer(h.control.peerServer())))
	go h.watchSettings(controlCtx)
	h.log.WithFields(logrus.Fields{"event": "started", "listen": h.settings.Listen, "zone": h.settings.AvailabilityZone}).
		Info("host accepts callers")
	<-ctx.Done()
	h.drain()
	_ = callers.Close()
	stopControl()
	err = errors.Join(readyServer.Close(), adminServer.Close(), stopPeerServer(peerServer), running.Wait(), h.metrics.Close())
	h.log.WithField("event", "stopped").Info("host stopped")
	return err
}

// forwardedPollInterval is the time between checks of the statements and transactions
// of other hosts during a drain.
const forwardedPollInterval = 20 * time.Millisecond

// drainForwarded waits for the statements and transactions that this host runs for
// others, until ctx ends at most. Transactions that are idle after rollbackAfter are
// rolled back. New transactions are refused since the host began to leave.
func (h *Host) drainForwarded(ctx context.Context, rollbackAfter time.Time) {
	for ctx.Err() == nil {
		rollBack, count := time.Now().After(rollbackAfter), 0
		for _, g := range h.control.published.View().Groups {
			count += g.DrainForwarded(rollBack)
		}
		if count == 0 {
			return
		}
		time.Sleep(forwardedPollInterval)
	}
}

// stopPeerServer stops serving other hosts. Statements that run for them end first,
// within peerStopTimeout.
func stopPeerServer(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), peerStopTimeout)
	defer cancel()
	if server.Shutdown(ctx) == nil {
		return nil
	}
	return server.Close()
}

// drain ends the sessions of callers and the work for other hosts, within the stop
// timeout. It serves as before until a load balancer has had time to notice that the
// host is not ready, and refuses new sessions afterwards.
func (h *Host) drain() {
	startedAt := time.Now()
	grace := h.settings.StopTimeout
	h.log.WithFields(logrus.Fields{"event": "drain_started", "sessions": h.front.Sessions(), "timeout": grace}).Info("host is stopping; draining sessions")
	ctx, cancel := context.WithDeadline(context.Background(), startedAt.Add(grace-stopMargin))
	defer cancel()
	leaving := make(chan (<-chan struct{}), 1)
	h.control.post(ctx, func() { leaving <- h.control.leave(ctx) })
	select {
	case <-time.After(min(balancerDrainTime, grace/3)):
	case <-ctx.Done():
	}
	rollbackAfter := startedAt.Add(grace / 2)
	cut := h.front.Drain(ctx, rollbackAfter)
	h.drainForwarded(ctx, rollbackAfter)
	select {
	case done := <-leaving:
		<-done
	case <-ctx.Done():
	}
	deregisterCtx, cancelDeregister := context.WithTimeout(context.Background(), stopMargin/2)
	defer cancelDeregister()
	h.control.deregister(deregisterCtx)
	h.log.WithFields(logrus.Fields{"event": "drained", "cut": cut, "took_ms": time.Since(startedAt).Milliseconds()}).Info("drain finished")
}

// settingsPollInterval is the time between checks of the modification time of
// the settings file, which may change without a signal.
const settingsPollInterval = 2 * time.Second

// watchSettings checks the settings file on SIGHUP and when the file has
// changed. New settings take effect at the next start.
func (h *Host) watchSettings(ctx context.Context) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	modified := h.settingsModTime()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		case <-ticker.C:
			if h.settingsModTime().Equal(modified) {
				continue
			}
		}
		modified = h.settingsModTime()
		h.checkSettings()
	}
}

func (h *Host) settingsModTime() time.Time {
	info, err := os.Stat(h.file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

func (h *Host) checkSettings() {
	entry := h.log.WithField("event", "reload")
	if _, err := LoadSettings(h.file); err != nil {
		entry.WithError(err).Warn("settings file is invalid or could not be read; keeping the settings in force")
		return
	}
	entry.Info("settings file was checked; changes take effect at the next start")
}

// callerKeepAlive detects callers that disappeared without closing their
// connection.
var callerKeepAlive = net.KeepAliveConfig{Enable: true, Idle: 10 * time.Second, Interval: 5 * time.Second, Count: 3}

func listen(address string) (net.Listener, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, fmt.Errorf("listen at %q: %w", address, err)
	}
	config := net.ListenConfig{KeepAliveConfig: callerKeepAlive}
	ln, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen at %s: %w", address, err)
	}
	return ln, nil
}
