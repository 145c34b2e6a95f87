package fleet

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/core/membership"
	"github.com/gypsumgap/gypsumgap/core/peerapi"
	"github.com/gypsumgap/gypsumgap/daemon/internal/backend"
)

// Timeouts of sample requests.
const (
	// sampleRequestInterval is the minimum time between requests to the relay.
	sampleRequestInterval = 400 * time.Millisecond
	// sampleRequestTimeout bounds one request.
	sampleRequestTimeout = 300 * time.Millisecond
	// relayRetryPause is how long a host that did not answer is not asked again.
	relayRetryPause = 5 * time.Second
)

// relayHashPurpose separates the hash for the selection of a relay from other
// uses of the same hash.
const relayHashPurpose = "sample relay"

// relayState is the state of the requests to the relay, the host that passes on
// samples of primaries in this availability zone.
type relayState struct {
	requestRunning bool
	requestedAt    time.Time
	// host is the last selected relay; empty if this host probes by itself.
	host string
	// failedAt is when each host last failed to answer.
	failedAt map[string]time.Time
}

// stepRelay requests samples from the relay of the availability zone for the
// services in use that have fewer connections than hosts.
func (c *controller) stepRelay() {
	now := c.now()
	if c.relay.requestRunning || c.draining || now.Sub(c.relay.requestedAt) < sampleRequestInterval {
		return
	}
	c.relay.requestedAt = now
	groups := map[string]*backend.Group{}
	request := &peerapi.SamplesRequest{}
	for name, g := range c.groups {
		if g.NeedsSamples() {
			groups[name] = g
			request.Databases = append(request.Databases, name)
		}
	}
	if len(groups) == 0 {
		return
	}
	host := c.chooseRelay(now)
	if host != c.relay.host {
		c.log.WithFields(logrus.Fields{"event": "relay", "from": host, "before": c.relay.host}).Info("relay of primary samples changed")
		c.relay.host = host
	}
	if host == "" {
		return
	}
	client := c.peer(c.peers[host].address)
	c.relay.requestRunning = true
	c.runAsync(func(ctx context.Context) {
		callCtx, cancel := context.WithTimeout(ctx, sampleRequestTimeout)
		defer cancel()
		response, err := client.Samples(callCtx, request)
		if err == nil {
			addSamples(groups, response, now)
			c.renewWriteLease(now, response.GetWriteLease())
		}
		c.post(ctx, func() {
			if err == nil && response.GetWriteLease() != nil {
				c.applyRevocations()
			}
			c.endSampleRequest(host, err)
		})
	})
}

func (c *controller) endSampleRequest(host string, err error) {
	c.relay.requestRunning = false
	if err != nil {
		c.recordRelayFailure(host, err)
	}
}

// recordRelayFailure makes this host ask another relay for relayRetryPause.
func (c *controller) recordRelayFailure(host string, err error) {
	if now := c.now(); now.Sub(c.relay.failedAt[host]) >= relayRetryPause {
		c.log.WithFields(logrus.Fields{"event": "relay_lost", "from": host}).WithError(err).Warn("host did not answer; not selecting it as the relay for a while")
	}
	if c.relay.failedAt == nil {
		c.relay.failedAt = map[string]time.Time{}
	}
	c.relay.failedAt[host] = c.now()
}

// chooseRelay returns the name of the host to ask, or an empty string if this
// host is the relay of its availability zone.
func (c *controller) chooseRelay(now time.Time) string {
	hosts := []string{c.host}
	for name, p := range c.peers {
		if p.zone == c.zone && now.Sub(c.relay.failedAt[name]) >= relayRetryPause {
			hosts = append(hosts, name)
		}
	}
	if host := membership.SelectHost(relayHashPurpose, hosts); host != c.host {
		return host
	}
	return ""
}

// addSamples passes the samples of a response to their groups. It subtracts the
// ages from the time at which the request was sent, because the time of the
// response on this host's clock is not known.
func addSamples(groups map[string]*backend.Group, r *peerapi.SamplesResponse, requestedAt time.Time) {
	for _, s := range r.GetSamples() {
		g := groups[s.GetDatabase()]
		if g == nil {
			continue
		}
		g.AddSample(backend.Sample{
			Primary:  s.GetPrimarySlot(),
			Position: group.Position{Term: group.Term(s.GetTerm()), Offset: s.GetOffset()},
			SentAt:   requestedAt.Add(-time.Duration(s.GetAgeUs()) * time.Microsecond),

			PrimaryTerm: group.Term(s.GetPrimaryTerm()),
		})
	}
}

// Samples returns the samples of the requested services whose primary was
// verified recently, and the proof that WriteLease returns.
func (s peerServer) Samples(ctx context.Context, r *peerapi.SamplesRequest) (*peerapi.SamplesResponse, error) {
	groups := s.published.View().Groups
	response := &peerapi.SamplesResponse{}
	if s.writeLease != nil {
		response.WriteLease, _ = s.WriteLease(ctx, nil)
	}
	for _, name := range r.GetDatabases() {
		g := groups[name]
		if g == nil {
			continue
		}
		sample, ok := g.RecentSample()
		if !ok {
			continue
		}
		age := s.now().Sub(sample.SentAt)
		response.Samples = append(response.Samples, &peerapi.Sample{
			Database: name, PrimarySlot: sample.Primary,
			Term: uint64(sample.Position.Term), Offset: sample.Position.Offset,
			AgeUs: uint64(max(age, 0)/time.Microsecond) + 1, PrimaryTerm: uint64(sample.PrimaryTerm),
		})
	}
	return response, nil
}
