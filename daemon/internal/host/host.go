// Package host assembles one gypsumgap process from its settings: the
// listeners for callers, other hosts and operators, the routers and the
// controllers.
package host

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/gypsumgap/gypsumgap/core/group/pgcontrol"
	"github.com/gypsumgap/gypsumgap/core/membership"
	"github.com/gypsumgap/gypsumgap/core/peerapi"
	"github.com/gypsumgap/gypsumgap/core/platform/httpstore"
	"github.com/gypsumgap/gypsumgap/daemon/internal/control"
	"github.com/gypsumgap/gypsumgap/daemon/internal/metrics"
	"github.com/gypsumgap/gypsumgap/daemon/internal/route"
	"github.com/gypsumgap/gypsumgap/daemon/internal/session"
	"github.com/gypsumgap/gypsumgap/daemon/internal/settings"
	"github.com/gypsumgap/gypsumgap/daemon/internal/upstream"
	"github.com/gypsumgap/gypsumgap/daemon/internal/web"
)

const (
	// leaveDelay gives the other hosts time to learn that this one leaves before
	// it stops accepting statements from them.
	leaveDelay = 2 * time.Second
	// httpShutdownTimeout bounds the shutdown of the HTTP servers.
	httpShutdownTimeout = time.Second
)

// keepAlive detects callers and hosts that disappear without closing their
// connection. Their sessions end after 25 s, so that they hold no transaction open.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 10 * time.Second, Interval: 5 * time.Second, Count: 3}

// Host is one gypsumgap process.
type Host struct {
	settings      *settings.Settings
	log           *logrus.Entry
	metrics       *metrics.Metrics
	control       *control.Controller
	entryRouter   *route.EntryRouter
	callerServer  *session.Server
	forwardServer *session.Server
	drain         chan time.Duration
	store         *httpstore.Client
	// statementCheckClient asks backend servers about slow statements. It has its
	// own connections, so that probes of the primary never wait behind it.
	statementCheckClient *pgcontrol.Client
}

// New assembles a host without starting it. It fails if the platform URL or the
// TLS certificate is invalid.
func New(s *settings.Settings, log *logrus.Entry) (*Host, error) {
	store, err := httpstore.New(httpstore.Options{URL: s.Platform, LocalIP: s.Listen.Addr()})
	if err != nil {
		return nil, err
	}
	certificates, err := loadTLS(s)
	if err != nil {
		return nil, err
	}
	h := &Host{
		settings: s,
		log:      log,
		metrics:  metrics.New(s.Host, s.AvailabilityZone),
		drain:    make(chan time.Duration, 1),
		store:    store,
	}
	incarnation := uint64(time.Now().UnixMicro())
	h.statementCheckClient = pgcontrol.New(pgcontrol.Options{LocalIP: s.Listen.Addr(), ApplicationName: "gypsumgap/" + s.Host})
	h.control = control.New(control.Options{
		Self: membership.Member{
			Name:           s.Host,
			PeerAddress:    s.PeerListen.String(),
			ForwardAddress: s.ForwardListen.String(),
			Zone:           s.AvailabilityZone,
			Region:         s.Region,
			Incarnation:    incarnation,
		},
		Peers:          s.Peers,
		LocalIP:        s.Listen.Addr(),
		Store:          store,
		DialSlot:       h.dialer(strconv.FormatUint(incarnation, 10)),
		StatementCheck: h.statementCheckClient.IsRunning,
		Recorder:       h.metrics,
		Members:        membership.DefaultOptions(),
		Drain:          h.requestDrain,
		Log:            log,
	})
	directory := control.Directory{Board: h.control.Board()}
	h.entryRouter = route.NewEntryRouter(route.EntryConfig{
		Owners:   directory,
		Local:    directory.Local,
		Policy:   directory.Policy,
		Dial:     h.dialer(strconv.FormatUint(incarnation, 10)),
		Recorder: h.metrics.Entry(),
	})
	options := session.Options{
		Router:       h.entryRouter,
		Verifiers:    directory,
		TLS:          certificates,
		ClassTimeout: directory.Deadline,
		Log:          log,
	}
	h.callerServer = session.NewServer(options)
	options.Verifiers, options.TLS, options.AcceptForwards = nil, nil, true
	h.forwardServer = session.NewServer(options)
	return h, nil
}

func loadTLS(s *settings.Settings) (*tls.Config, error) {
	if s.TLSCertificate == "" {
		return nil, nil
	}
	if _, err := tls.LoadX509KeyPair(s.TLSCertificate, s.TLSKey); err != nil {
		return nil, fmt.Errorf("load TLS certificate: %w", err)
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		// The files are read for each handshake, so that a renewed certificate
		// takes effect without a restart.
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert, err := tls.LoadX509KeyPair(s.TLSCertificate, s.TLSKey)
			if err != nil {
				return nil, fmt.Errorf("load TLS certificate: %w", err)
			}
			return &cert, nil
		},
	}, nil
}

// dialer returns a function that opens connections to backend servers and owner
// hosts. They authenticate this host by its address, since nothing else runs
// there.
func (h *Host) dialer(incarnation string) route.DialFunc {
	local := net.IP(h.settings.Listen.Addr().AsSlice())
	return func(ctx context.Context, t route.Target) (route.Conn, error) {
		conn, err := upstream.Dial(ctx, upstream.Options{
			Address:     t.Address,
			LocalIP:     local,
			User:        t.User,
			Database:    t.Database,
			Parameters:  upstream.DefaultParameters(),
			Host:        h.settings.Host,
			Incarnation: incarnation,
		})
		if err != nil {
			return nil, err
		}
		return conn, nil
	}
}

func (h *Host) requestDrain(timeout time.Duration) {
	if timeout <= 0 {
		timeout = h.settings.DrainTimeout
	}
	select {
	case h.drain <- timeout:
	default:
	}
}

// Ready returns nil if the host can accept callers, else an error that wraps
// metrics.ErrNotReady.
func (h *Host) Ready() error {
	v := h.control.Board().View()
	switch {
	case v.Draining:
		return fmt.Errorf("%w: host is draining", metrics.ErrNotReady)
	case !v.ConfigReady:
		return fmt.Errorf("%w: configuration is not confirmed", metrics.ErrNotReady)
	default:
		return nil
	}
}

// Run serves until ctx ends or an operator requests a drain, then shuts down
// gracefully.
func (h *Host) Run(ctx context.Context) error {
	listeners, err := h.listen()
	if err != nil {
		return err
	}
	// The controllers keep running during the drain, since running transactions
	// need them.
	controlCtx, stopControl := context.WithCancel(context.WithoutCancel(ctx))
	defer stopControl()
	var running errgroup.Group
	running.Go(func() error { h.control.Run(controlCtx); return nil })
	running.Go(func() error { h.maintain(controlCtx); return nil })
	running.Go(func() error { return ignoreServerClosed(h.callerServer.Serve(listeners.callers)) })
	running.Go(func() error { return ignoreServerClosed(h.forwardServer.Serve(listeners.forwards)) })
	peers := web.Serve(&running, listeners.peers, h.peerHandler())
	admin := web.Serve(&running, listeners.admin, h.metrics.Handler(h.Ready))
	h.log.WithField("event", "started").
		WithField("listen", h.settings.Listen).
		WithField("availability_zone", h.settings.AvailabilityZone).
		Info("host serves callers")

	timeout := h.settings.DrainTimeout
	select {
	case <-ctx.Done():
	case timeout = <-h.drain:
	}
	h.shutdown(timeout)
	h.entryRouter.Close()
	stopControl()
	shutdownHTTP(peers, admin)
	err = running.Wait()
	h.store.Close()
	h.statementCheckClient.Close()
	return errors.Join(err, h.metrics.Close())
}

// shutdown closes each session once it has no running transaction, or when the
// timeout ends.
func (h *Host) shutdown(timeout time.Duration) {
	h.log.WithField("event", "drain_started").WithField("timeout", timeout).Info("host is draining")
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	h.control.Leave()
	var sessions errgroup.Group
	sessions.Go(func() error { return h.callerServer.Shutdown(ctx) })
	sessions.Go(func() error {
		select {
		case <-time.After(min(leaveDelay, timeout/2)):
		case <-ctx.Done():
		}
		return h.forwardServer.Shutdown(ctx)
	})
	if err := sessions.Wait(); err != nil {
		h.log.WithField("event", "drain_incomplete").WithError(err).Warn("drain timed out; running transactions were aborted")
		return
	}
	h.log.WithField("event", "drained").Info("drain complete; no transaction was aborted")
}

func (h *Host) maintain(ctx context.Context) {
	ticker := time.NewTicker(route.MaintainInterval)
	defer ticker.Stop()
	seconds := time.NewTicker(time.Second)
	defer seconds.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			h.entryRouter.Maintain()
		case <-seconds.C:
			h.recordDatabaseSeconds()
		}
	}
}

// recordDatabaseSeconds adds one second to the metric of each database of which
// this host is the first owner. It must be called once a second.
func (h *Host) recordDatabaseSeconds() {
	for name, g := range h.control.Board().View().Groups {
		if g.Rank == 0 {
			_, _, writable := g.Tracker.Primary()
			h.metrics.AddDatabaseSeconds(g.Ref.Service.Name, name, writable, 1)
		}
	}
}

type listeners struct {
	callers, forwards, peers, admin net.Listener
}

func (h *Host) listen() (*listeners, error) {
	l := &listeners{}
	config := net.ListenConfig{KeepAliveConfig: keepAlive}
	for _, at := range []struct {
		to      *net.Listener
		address netip.AddrPort
		name    string
	}{
		{&l.callers, h.settings.Listen, "callers"},
		{&l.forwards, h.settings.ForwardListen, "statements from other hosts"},
		{&l.peers, h.settings.PeerListen, "control messages"},
		{&l.admin, h.settings.AdminListen, "metrics"},
	} {
		ln, err := config.Listen(context.Background(), "tcp", at.address.String())
		if err != nil {
			return nil, fmt.Errorf("listen for %s: %w", at.name, err)
		}
		*at.to = ln
	}
	return l, nil
}

func (h *Host) peerHandler() http.Handler {
	mux := http.NewServeMux()
	server := h.control.Server()
	peerServer := peerapi.NewPeerServer(server)
	operatorServer := peerapi.NewOperatorServer(server)
	mux.Handle(peerServer.PathPrefix(), peerServer)
	mux.Handle(operatorServer.PathPrefix(), operatorServer)
	return mux
}

func shutdownHTTP(servers ...*http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), httpShutdownTimeout)
	defer cancel()
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			_ = s.Close()
		}
	}
}

// ignoreServerClosed returns nil for the error of a server that was shut down.
func ignoreServerClosed(err error) error {
	if errors.Is(err, session.ErrServerClosed) {
		return nil
	}
	return err
}
