package backend

import (
	"time"

	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/core/statement"
)

// Where there are more hosts than connections, a few hosts probe the primaries
// and the others take the samples from them: probes of every host would use most
// of the connections that a primary may have.

// The timing of samples that hosts pass on.
const (
	// relayedLife is the age of a sample of another host up to which a host does
	// not probe for itself.
	relayedSampleMaxAge = time.Second
	// askedMemory is how long after a question for samples a host probes at
	// relayProbeInterval, so that they are young enough for the hosts that ask.
	sampleRequestWindow = 2 * time.Second
	relayProbeInterval  = 400 * time.Millisecond
	// troubleMemory is how long a failed connection keeps a host from relying on
	// the samples of another one.
	failureDistrust = time.Second
)

// Sample is the end of a primary's log, as of a statement that was sent at Sent.
type Sample struct {
	Primary  string
	Position group.Position
	SentAt   time.Time
}

// TakesSamples reports whether the host should ask another one for samples.
func (g *Group) NeedsSamples() bool {
	return g.fewerConnectionsThanHosts.Load() && g.isRecentlyUsed(g.options.Now())
}

// askedLately reports whether another host asked for samples lately.
func (g *Group) servesSamples(now time.Time) bool {
	return now.Sub(time.Unix(0, g.lastSampleRequest.Load())) < sampleRequestWindow
}

// Sample returns the latest sample for another host, false if there is no young
// one. The host goes on probing the primary for a while.
func (g *Group) RecentSample() (Sample, bool) {
	now := g.options.Now()
	g.lastUsed.Store(now.UnixNano())
	g.lastSampleRequest.Store(now.UnixNano())
	h := g.Health()
	sent, position := g.Freshness.Latest()
	if h.Primary == "" || h.Suspected || position.Term != h.Term || now.Sub(sent) > maxProofAge {
		return Sample{}, false
	}
	return Sample{Primary: h.Primary, Position: position, SentAt: sent}, true
}

// TakeSample takes a sample of another host. Its time must not be later, on this
// host's clock, than the statement was sent. It is no proof that this host
// reaches the primary.
func (g *Group) AddSample(s Sample) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.pools[s.Primary]
	if p == nil || s.Position.Term < g.term {
		return
	}
	g.Freshness.Add(s.SentAt, s.Position)
	if s.Position.Term > g.term {
		g.term = s.Position.Term
		g.setPrimary(p)
	}
	if g.primary == p {
		g.relayedSampleAt = laterTime(g.relayedSampleAt, s.SentAt)
	}
}

// keepsStanding reports whether the host keeps a connection to the primary for
// probes alone, as the host that passes samples on does: an overloaded primary
// answers the probes on an open connection, but does not accept new ones in
// time. Without samples replicas serve no reads, and the primary would stay
// overloaded.
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

// keepStanding keeps the connection for the next probe, unless there is one or
// the server was removed.
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

// noteTrouble remembers that a connection to the server failed.
func (p *Pool) recordFailure() { p.lastFailure.Store(p.group.options.Now().UnixNano()) }

// troubled reports whether a connection failed lately, and the server has not
// proved to lead since. The caller holds the group's lock.
func (g *Group) hasRecentFailure(now time.Time) bool {
	at := time.Unix(0, g.primary.lastFailure.Load())
	return now.Sub(at) < failureDistrust && at.After(g.verifiedAt)
}
