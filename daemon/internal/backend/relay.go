package backend

import (
	"time"

	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/core/statement"
)

// If a service has fewer connections than hosts, only a few hosts probe its
// primary, and the others obtain samples from them. Probes from every host
// would use most of the connections that the primary allows.

// Timeouts of samples that hosts pass on.
const (
	// relayedSampleMaxAge is the age of a sample from another host up to which
	// this host does not probe by itself.
	relayedSampleMaxAge = time.Second
	// sampleRequestWindow is how long after a request for samples a host probes at
	// relayProbeInterval.
	sampleRequestWindow = 2 * time.Second
	// relayProbeInterval is the probe interval of a host that passes samples on.
	// It keeps the samples recent enough for the hosts that request them.
	relayProbeInterval = 400 * time.Millisecond
	// directProbePeriod is how long after a failed connection a host probes by
	// itself instead of relying on samples from other hosts.
	directProbePeriod = time.Second
)

// Sample is the end of the log of a primary, as returned by a statement that
// was sent at SentAt.
type Sample struct {
	// Primary is the ID of the primary.
	Primary  string
	Position group.Position
	SentAt   time.Time
	// PrimaryTerm is the term that the primary leads; 0 if it is unknown.
	PrimaryTerm group.Term
}

// NeedsSamples reports whether this host should request samples from another
// one.
func (g *Group) NeedsSamples() bool {
	return g.fewerConnectionsThanHosts.Load() && g.isRecentlyUsed(g.options.Now())
}

// servesSamples reports whether another host requested samples within
// sampleRequestWindow.
func (g *Group) servesSamples(now time.Time) bool {
	return now.Sub(time.Unix(0, g.lastSampleRequest.Load())) < sampleRequestWindow
}

// RecentSample returns the latest sample for another host, or false if there is
// no recent one. The call counts as a use of the service, so that the host
// continues to probe the primary.
func (g *Group) RecentSample() (Sample, bool) {
	now := g.options.Now()
	g.lastUsed.Store(now.UnixNano())
	g.lastSampleRequest.Store(now.UnixNano())
	h := g.Health()
	sent, position := g.Freshness.Latest()
	if h.Primary == "" || h.Suspected || position.Term != h.Term || now.Sub(sent) > maxProofAge {
		return Sample{}, false
	}
	return Sample{Primary: h.Primary, Position: position, SentAt: sent, PrimaryTerm: h.PrimaryTerm}, true
}

// AddSample records a sample from another host. On this host's clock, s.SentAt
// must not be later than the time the statement was sent. The sample does not
// prove that this host reaches the primary.
func (g *Group) AddSample(s Sample) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.pools[s.Primary]
	if p == nil || s.Position.Term < g.term {
		return
	}
	g.Freshness.Add(s.SentAt, s.Position)
	p.raiseTerm(max(s.PrimaryTerm, s.Position.Term))
	if s.Position.Term > g.term || g.primary == nil && !g.isRevoked(p.primaryTerm()) {
		g.term = s.Position.Term
		g.setPrimary(p)
	}
	if g.primary == p {
		g.relayedSampleAt = laterTime(g.relayedSampleAt, s.SentAt)
	}
}

// keepsProbeConn reports whether the host keeps a connection to the primary
// that is used only for probes, as a host that passes samples on does. An
// overloaded primary answers probes on an open connection but does not accept
// new connections in time. Without samples, replicas would serve no reads and
// the primary would stay overloaded.
func (g *Group) keepsProbeConn() bool {
	return g.fewerConnectionsThanHosts.Load() && g.servesSamples(g.options.Now())
}

func (p *Pool) takeProbeConn() statement.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn := p.probeConn
	p.probeConn = nil
	return conn
}

// storeProbeConn keeps the connection for the next probe, and reports whether
// it did. It does not if there already is one or the server was removed.
func (p *Pool) storeProbeConn(conn statement.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.probeConn != nil {
		return false
	}
	p.probeConn = conn
	return true
}

func (p *Pool) closeProbeConn() {
	if conn := p.takeProbeConn(); conn != nil {
		_ = conn.Close()
	}
}

// recordFailure records that a connection to the server failed just now.
func (p *Pool) recordFailure() { p.lastFailure.Store(p.group.options.Now().UnixNano()) }

// hasRecentFailure reports whether a connection to the primary failed within
// directProbePeriod and the primary has not proved its role since. The caller
// must hold g.mu.
func (g *Group) hasRecentFailure(now time.Time) bool {
	at := time.Unix(0, g.primary.lastFailure.Load())
	return now.Sub(at) < directProbePeriod && at.After(g.verifiedAt)
}
