package fleet

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gypsumgap/gypsumgap/core/peerapi"
	"github.com/gypsumgap/gypsumgap/core/succession"
	"github.com/gypsumgap/gypsumgap/daemon/internal/backend"
)

// A promotion takes effect some hundred milliseconds after its order. A primary that is
// alive meanwhile acknowledges commits once any replica has received them, also one that
// has just started and is not paused. Where commits wait for replicas, the holder
// therefore makes all hosts stop using the primary before it chooses the successor. If no
// promotion is ordered, they use it again.

// Timeouts of a suspension.
const (
	// suspendTimeout bounds the request to another host. It exceeds suspendDrainTime.
	suspendTimeout = 500 * time.Millisecond
	// suspendDrainTime is how long a host that is asked waits for its outstanding
	// statements on the primary.
	suspendDrainTime = 300 * time.Millisecond
	// suspensionPeriod is how long hosts do not use the primary. It exceeds the longest
	// time of the calls for a promotion and of the promotion itself.
	suspensionPeriod = 8 * time.Second
)

// suspension keeps the statements of all hosts away from a primary.
type suspension struct {
	group *backend.Group
	// server is the ID of the primary, and hosts the addresses of the other hosts.
	server string
	hosts  []string
	peer   func(address string) peerapi.Peer
	log    *logrus.Entry
}

// begin makes all hosts that answer stop using the primary, and waits for the statements
// that they have sent to it.
func (s *suspension) begin(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, suspendTimeout)
	defer cancel()
	startedAt := time.Now()
	undrained := s.request(ctx, suspensionPeriod)
	s.log.WithFields(logrus.Fields{"event": "primary_suspended", "undrained": undrained, "took_ms": time.Since(startedAt).Milliseconds()}).
		Info("hosts stopped using the primary while its successor is ordered")
}

// end lets all hosts use the primary again.
func (s *suspension) end(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, suspendTimeout)
	defer cancel()
	s.request(ctx, 0)
}

// request sets the suspension on this host and on all others, and returns the number of
// hosts that did not answer or still have statements outstanding.
func (s *suspension) request(ctx context.Context, period time.Duration) int {
	message := &peerapi.SuspendRequest{Service: s.group.Name(), Server: s.server, DurationMs: uint32(period.Milliseconds())}
	var undrained atomic.Int32
	var running sync.WaitGroup
	for _, address := range s.hosts {
		running.Go(func() {
			response, err := s.peer(address).Suspend(ctx, message)
			if err != nil || !response.GetDrained() {
				undrained.Add(1)
			}
		})
	}
	if !suspend(ctx, s.group, s.server, period) {
		undrained.Add(1)
	}
	running.Wait()
	return int(undrained.Load())
}

// suspend sets or ends the suspension of a server on this host, and reports whether no
// statement is outstanding on it any more.
func suspend(ctx context.Context, g *backend.Group, server string, period time.Duration) bool {
	g.SuspendPrimary(server, period)
	if period == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, suspendDrainTime)
	defer cancel()
	return g.DrainPrimary(ctx, server)
}

// Suspend sets or ends the suspension of a primary on this host.
func (s peerServer) Suspend(ctx context.Context, r *peerapi.SuspendRequest) (*peerapi.SuspendResponse, error) {
	g := s.published.View().Groups[r.GetService()]
	if g == nil {
		// This host does not know the service, so it uses none of its servers.
		return &peerapi.SuspendResponse{Drained: true}, nil
	}
	period := min(time.Duration(r.GetDurationMs())*time.Millisecond, suspensionPeriod)
	return &peerapi.SuspendResponse{Drained: suspend(ctx, g, r.GetServer(), period)}, nil
}

// newSuspension returns the suspension of the primary that a job replaces, which may come
// back before the successor leads, or nil if there is none to suspend: a draining primary
// steps down first, and write leases keep the hosts away where there are some.
func (c *controller) newSuspension(g *backend.Group, job *promotion) *suspension {
	if job.syncReplicas == 0 || job.reason == succession.PrimaryDraining || job.replaced == "" || c.writeLease != nil {
		return nil
	}
	return c.suspensionOf(g, job.replaced, job.log)
}

// suspensionOf returns the suspension of a server on all hosts.
func (c *controller) suspensionOf(g *backend.Group, server string, log *logrus.Entry) *suspension {
	s := &suspension{group: g, server: server, peer: c.peer, log: log}
	for _, p := range c.peers {
		s.hosts = append(s.hosts, p.address)
	}
	return s
}
