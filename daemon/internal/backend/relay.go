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
	relayedLife = time.Second
	// askedMemory is how long after a question for samples a host probes at
	// relayProbeInterval, so that they are young enough for the hosts that ask.
	askedMemory        = 2 * time.Second
	relayProbeInterval = 400 * time.Millisecond
	// troubleMemory is how long a failed connection keeps a host from relying on
	// the samples of another one.
	troubleMemory = time.Second
)

// Sample is the end of a primary's log, as of a statement that was sent at Sent.
type Sample struct {
	Primary  string
	Position group.Position
	SentAt   time.Time
}

// TakesSamples reports whether the host should ask another one for samples.
func (g *Group) NeedsSamples() bool {
	return g.crowded.Load() && g.usedLately(g.options.Now())
}

// askedLately reports whether another host asked for samples lately.
func (g *Group) askedLately(now time.Time) bool {
	return now.Sub(time.Unix(0, g.asked.Load())) < askedMemory
}

// Sample returns the latest sample for another host, false if there is no young
// one. The host goes on probing the primary for a while.
func (g *Group) RecentSample() (Sample, bool) {
	now := g.options.Now()
	g.used.Store(now.UnixNano())
	g.asked.Store(now.UnixNano())
	h := g.Health()
	sent, position := g.Freshness.Latest()
	if h.Primary == "" || h.Suspected || position.Term != h.Term || now.Sub(sent) > provedLately {
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
		g.relayed = later(g.relayed, s.SentAt)
	}
}

// keepsStanding reports whether the host keeps a connection to the primary for
// probes alone, as the host that passes samples on does: an overloaded primary
// answers the probes on an open connection, but does not accept new ones in
// time. Without samples replicas serve no reads, and the primary would stay
// overloaded.
func (g *Group) keepsStanding() bool {
	return g.crowded.Load() && g.askedLately(g.options.Now())
}

func (p *Pool) takeStanding() statement.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn := p.standing
	p.standing = nil
	return conn
}

// keepStanding keeps the connection for the next probe, unless there is one or
// the server was removed.
func (p *Pool) keepStanding(conn statement.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.standing != nil {
		return false
	}
	p.standing = conn
	return true
}

func (p *Pool) dropStanding() {
	if conn := p.takeStanding(); conn != nil {
		_ = conn.Close()
	}
}

// noteTrouble remembers that a connection to the server failed.
func (p *Pool) noteTrouble() { p.trouble.Store(p.group.options.Now().UnixNano()) }

// troubled reports whether a connection failed lately, and the server has not
// proved to lead since. The caller holds the group's lock.
func (g *Group) troubled(now time.Time) bool {
	at := time.Unix(0, g.primary.trouble.Load())
	return now.Sub(at) < troubleMemory && at.After(g.verified)
}
