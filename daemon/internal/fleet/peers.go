package fleet

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/gypsumgap/gypsumgap/core/peerapi"
	"github.com/gypsumgap/gypsumgap/core/writelease"
	"github.com/gypsumgap/gypsumgap/daemon/internal/backend"
)

// Timeouts and limits of polls.
const (
	// pollTimeout bounds one poll.
	pollTimeout = 500 * time.Millisecond
	// pollInterval is the time between polls about the same primary.
	pollInterval = 250 * time.Millisecond
	// pollMaxAge is how long the answers of a poll are valid.
	pollMaxAge = time.Second
	// maxPolledHosts is the maximum number of hosts in one poll.
	maxPolledHosts = 30
)

// peerHost is the registration of another host.
type peerHost struct{ address, zone string }

// peerPoll is the result of asking other hosts about the primary of a service.
type peerPoll struct {
	running bool
	// sentAt is when the poll was started.
	sentAt  time.Time
	primary string
	// answered counts the hosts that know whether they reach the primary, and
	// unreachable those among them that do not.
	answered, unreachable int
}

// startPoll asks other hosts about a primary that failed a probe of this host.
// The poll does not depend on the store, which may be unreachable for some
// hosts.
func (c *controller) startPoll(service string, g *backend.Group) {
	h := g.Health()
	poll := c.polls[service]
	if poll == nil {
		poll = &peerPoll{}
		c.polls[service] = poll
	}
	now := c.now()
	if !h.ProbeFailed || h.Primary == "" || poll.running || now.Sub(poll.sentAt) < pollInterval {
		return
	}
	next := peerPoll{sentAt: now, primary: h.Primary}
	poll.running, poll.sentAt = true, now
	var addresses []string
	for _, p := range c.peers {
		if len(addresses) < maxPolledHosts {
			addresses = append(addresses, p.address)
		}
	}
	c.runAsync(func(ctx context.Context) {
		c.pollHosts(ctx, service, addresses, &next)
		c.post(ctx, func() { c.polls[service] = &next })
	})
}

// pollHosts asks the hosts at the addresses and counts their answers.
func (c *controller) pollHosts(ctx context.Context, service string, addresses []string, poll *peerPoll) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	answers := make(chan *peerapi.ObserveResponse, len(addresses))
	for _, address := range addresses {
		go func() {
			r, err := c.peer(address).Observe(ctx, &peerapi.ObserveRequest{Database: service})
			if err != nil {
				r = nil
			}
			answers <- r
		}()
	}
	for range addresses {
		r := <-answers
		if r == nil || !r.GetWatching() || r.GetPrimarySlot() != poll.primary {
			continue
		}
		poll.answered++
		if !r.GetPrimaryReachable() {
			poll.unreachable++
		}
	}
}

// pollResult returns the counts of the last poll about the primary, or zeros if
// the poll is too old.
func (c *controller) pollResult(service, primary string) (answered, unreachable int) {
	poll := c.polls[service]
	if poll == nil || poll.primary != primary || c.now().Sub(poll.sentAt) >= pollMaxAge {
		return 0, 0
	}
	return poll.answered, poll.unreachable
}

// peerServer implements the API for other hosts.
type peerServer struct {
	published *PublishedView
	now       func() time.Time
	// writeLease is the write lease of the host; nil if it needs none.
	writeLease *writelease.Lease
	vouching   *vouching
	feed       *feed
}

var _ peerapi.Peer = peerServer{}

func (c *controller) peerServer() peerServer {
	return peerServer{published: c.published, now: c.now, writeLease: c.writeLease, vouching: c.vouching, feed: c.feed}
}

// Observe returns the state of the primary of a service as seen by this host.
// It probes the primary if this host has not verified it recently.
func (s peerServer) Observe(_ context.Context, r *peerapi.ObserveRequest) (*peerapi.ObserveResponse, error) {
	g := s.published.View().Groups[r.GetDatabase()]
	if g == nil {
		return &peerapi.ObserveResponse{}, nil
	}
	h, known := g.ObservePrimary()
	age := s.now().Sub(h.VerifiedAt)
	return &peerapi.ObserveResponse{
		Watching:         known,
		PrimaryReachable: !h.Suspected,
		Term:             uint64(h.Term),
		PrimarySlot:      h.Primary,
		LastAnswerMs:     uint64(max(age, 0).Milliseconds()),
	}, nil
}

var errNotServed = twirp.NewError(twirp.Unimplemented, "hosts that serve single statements do not answer this")

// Probe is not served. Probe, IndirectProbe and FetchConfig belong to hosts
// that discover each other and their configuration without the store.
func (peerServer) Probe(context.Context, *peerapi.ProbeRequest) (*peerapi.ProbeResponse, error) {
	return nil, errNotServed
}

// IndirectProbe is not served.
func (peerServer) IndirectProbe(context.Context, *peerapi.IndirectProbeRequest) (*peerapi.IndirectProbeResponse, error) {
	return nil, errNotServed
}

// FetchConfig is not served.
func (peerServer) FetchConfig(context.Context, *peerapi.FetchConfigRequest) (*peerapi.FetchConfigResponse, error) {
	return nil, errNotServed
}
