package fleet

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/gypsumgap/gypsumgap/core/peerapi"
	"github.com/gypsumgap/gypsumgap/daemon/internal/backend"
)

// The timing of questions to other hosts.
const (
	askTimeout = 500 * time.Millisecond
	// askInterval separates questions about the same primary, and opinionLife is
	// how long the answers count.
	askInterval = 250 * time.Millisecond
	opinionLife = time.Second
	// maxAsked bounds the hosts that are asked at once.
	maxAsked = 30
)

// peerHost is another host as it registered itself.
type peerHost struct{ address, zone string }

// opinion is what other hosts answered about the primary of a service.
type opinion struct {
	asking bool
	// at is when the question was sent.
	at      time.Time
	primary string
	// answered counts the hosts that know whether they reach the primary, missing
	// those that do not.
	answered, missing int
}

// askPeers asks other hosts about a primary that does not answer this host.
// The answers do not depend on the store, which may turn hosts away.
func (c *controller) askPeers(service string, g *backend.Group) {
	h := g.Health()
	o := c.opinions[service]
	if o == nil {
		o = &opinion{}
		c.opinions[service] = o
	}
	now := c.now()
	if !h.ProbeFailed || h.Primary == "" || o.asking || now.Sub(o.at) < askInterval {
		return
	}
	next := opinion{at: now, primary: h.Primary}
	o.asking, o.at = true, now
	var addresses []string
	for _, p := range c.peers {
		if len(addresses) < maxAsked {
			addresses = append(addresses, p.address)
		}
	}
	c.background(func(ctx context.Context) {
		c.poll(ctx, service, addresses, &next)
		c.post(ctx, func() { c.opinions[service] = &next })
	})
}

// poll asks the hosts at the addresses and counts their answers.
func (c *controller) poll(ctx context.Context, service string, addresses []string, o *opinion) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
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
		if r == nil || !r.GetWatching() || r.GetPrimarySlot() != o.primary {
			continue
		}
		o.answered++
		if !r.GetPrimaryReachable() {
			o.missing++
		}
	}
}

// opinionOf returns the answers about the primary that still count.
func (c *controller) opinionOf(service, primary string) (answered, missing int) {
	o := c.opinions[service]
	if o == nil || o.primary != primary || c.now().Sub(o.at) >= opinionLife {
		return 0, 0
	}
	return o.answered, o.missing
}

// peerServer answers other hosts.
type peerServer struct {
	board *PublishedView
	now   func() time.Time
}

var _ peerapi.Peer = peerServer{}

// Observe tells how this host sees the primary of a service, which it probes if
// it has not heard it lately.
func (s peerServer) Observe(_ context.Context, r *peerapi.ObserveRequest) (*peerapi.ObserveResponse, error) {
	g := s.board.View().Groups[r.GetDatabase()]
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

// Probe, IndirectProbe and FetchConfig belong to the hosts that find each other
// and their configuration without the store.
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
