package confsync

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gypsumgap/gypsumgap/core/config"
	"github.com/gypsumgap/gypsumgap/core/peerapi"
)

const (
	// TickInterval is the interval at which the machine expects Tick.
	TickInterval = 100 * time.Millisecond

	// fetchTimeout is the time after which a pending fetch is abandoned and
	// another peer is tried.
	fetchTimeout = time.Second
	// sourceBackoff is the time after a failed fetch during which the peer is
	// used only if no other peer has the version.
	sourceBackoff = 2 * time.Second
	// storeRetryMin is the shortest delay between reads of the store by a node
	// that is not ready.
	storeRetryMin = time.Second
	// storeRetryMax is the longest such delay.
	storeRetryMax = 30 * time.Second
	// storeFallbackDelay is the time for which a starting node waits for the
	// store before it also asks its peers.
	storeFallbackDelay = 2 * time.Second
	// storeLoadDelay is the time for which a node that is behind tries to fetch
	// from peers before it loads the configuration from the store.
	storeLoadDelay = 3 * time.Second
	// probeBatchSize is the number of peers probed in one tick, so that a restart
	// of many hosts during a store outage does not cause a burst of probes.
	probeBatchSize = 20
	// probeRetryInterval is the time after which a peer that did not respond is
	// probed again.
	probeRetryInterval = 2 * time.Second
	// searchProbeCount is the number of peers probed in one tick for a version
	// that no peer is known to hold.
	searchProbeCount = 3
)

// Options configures a Machine.
type Options struct {
	// Self is the node's host name.
	Self string
	// Zone is the node's availability zone.
	Zone string
	// Rand is the source of the machine's random choices.
	Rand *rand.Rand
	// Start is the time at which the node started.
	Start time.Time
}

// Machine is the state machine that keeps a node's configuration current. It
// is not safe for concurrent use.
type Machine struct {
	options Options
	rand    *rand.Rand

	published *Published
	ready     bool

	// members are the live hosts except the node itself, ordered by name.
	members []Member
	zoneOf  map[string]string
	zone    *zone

	// peers holds the last known state of each host, by name.
	peers map[string]*peer
	// latestKnown is the greatest version that the node knows to exist.
	latestKnown uint64
	// behindSince is the time since which the node has held a version older than
	// latestKnown.
	behindSince time.Time
	pending     *pendingFetch

	store storeState
	// trees caches the push trees of version treesVersion.
	trees []tree
	// treesVersion is the configuration version for which trees was computed.
	treesVersion uint64
}

// peer is what the node knows about another host.
type peer struct {
	version uint64
	// backoffUntil is the end of the backoff after a failed fetch.
	backoffUntil time.Time
	// lastProbe is the time of the last probe sent by probeUnknownPeers.
	lastProbe time.Time
}

// pendingFetch is a fetch that has no outcome yet.
type pendingFetch struct {
	peer     string
	deadline time.Time
}

// storeState tracks the node's reads of the store.
type storeState struct {
	// confirmed is true once the store has reported its current version.
	confirmed bool
	failed    bool
	reading   bool
	loading   bool
	nextRead  time.Time
	failures  int
}

// New returns the machine of a node that holds no configuration.
func New(o Options) *Machine {
	m := &Machine{
		options:   o,
		rand:      o.Rand,
		published: emptyPublished(),
		peers:     map[string]*peer{},
	}
	m.store.nextRead = o.Start
	m.SetMembers(nil)
	return m
}

// Published returns the configuration that the node holds, with its history.
func (m *Machine) Published() *Published { return m.published }

// Snapshot returns the configuration that the node holds.
func (m *Machine) Snapshot() *config.Snapshot { return m.published.snapshot }

// Ready reports whether the node may serve callers. A ready node stays ready.
func (m *Machine) Ready() bool { return m.ready }

// Version returns the version that the node's probes carry: the one it holds
// if it is ready, else 0.
func (m *Machine) Version() uint64 {
	if !m.ready {
		return 0
	}
	return m.published.Version()
}

// Watching reports whether the node is one of its zone's store watchers.
func (m *Machine) Watching() bool {
	return slices.Contains(m.zone.watchers(), m.options.Self)
}

// SetMembers replaces the list of live hosts, which may include the node itself.
func (m *Machine) SetMembers(members []Member) {
	m.members = m.members[:0:0]
	m.zoneOf = map[string]string{}
	for _, member := range members {
		if member.Name != m.options.Self {
			m.members = append(m.members, member)
			m.zoneOf[member.Name] = member.Zone
		}
	}
	slices.SortFunc(m.members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	all := append(slices.Clone(m.members), Member{Name: m.options.Self, Zone: m.options.Zone})
	m.zone = newZone(m.options.Zone, all)
	m.trees = nil
	for name := range m.peers {
		if _, live := m.zoneOf[name]; !live {
			delete(m.peers, name)
		}
	}
}

// Handle processes an event and returns the calls to make.
func (m *Machine) Handle(now time.Time, e Event) []Action {
	var out []Action
	switch e := e.(type) {
	case PeerVersion:
		m.recordPeerVersion(now, e.Peer, e.Version)
	case AnnounceDone:
		out = m.handleAnnounceDone(now, e)
	case FetchDone:
		out = m.handleFetchDone(now, e)
	case StoreVersion:
		m.handleStoreVersion(now, e)
	case StoreUpdate:
		out = m.handleStoreUpdate(now, e)
	}
	return append(out, m.nextActions(now)...)
}

// Tick processes the passage of time and returns the calls to make. It is to be
// called every TickInterval.
func (m *Machine) Tick(now time.Time) []Action {
	if m.pending != nil && !now.Before(m.pending.deadline) {
		m.handleFetchFailure(now)
	}
	out := m.nextActions(now)
	if m.needsVersion() {
		out = append(out, m.probeUnknownPeers(now)...)
	}
	if m.shouldSearch(now) {
		out = append(out, m.probeRandomPeers()...)
	}
	return out
}

// nextActions returns the calls that the node's state requires.
func (m *Machine) nextActions(now time.Time) []Action {
	var out []Action
	if m.checkReady(now) {
		out = append(out, m.push()...)
	}
	if m.shouldRead(now) {
		m.store.reading = true
		out = append(out, ReadVersion{})
	}
	if a := m.startFetch(now); a != nil {
		out = append(out, a)
	}
	if m.shouldLoad(now) {
		m.store.loading = true
		out = append(out, Load{})
	}
	return out
}

// recordPeerVersion records a version that a peer reported.
func (m *Machine) recordPeerVersion(now time.Time, name string, version uint64) {
	if name == m.options.Self {
		return
	}
	p := m.peer(name)
	p.version = max(p.version, version)
	m.recordVersion(now, version)
}

func (m *Machine) peer(name string) *peer {
	p := m.peers[name]
	if p == nil {
		p = &peer{}
		m.peers[name] = p
	}
	return p
}

// recordVersion records that a version exists.
func (m *Machine) recordVersion(now time.Time, version uint64) {
	if version <= m.latestKnown {
		return
	}
	if m.latestKnown <= m.published.Version() {
		m.behindSince = now
	}
	m.latestKnown = version
}

func (m *Machine) isBehind() bool { return m.latestKnown > m.published.Version() }

// handleAnnounceDone handles the outcome of an Announce. If the peer could not
// be reached, the node announces to the peer's children in its place.
func (m *Machine) handleAnnounceDone(now time.Time, e AnnounceDone) []Action {
	if e.Err == nil {
		m.recordPeerVersion(now, e.Peer, e.Version)
		return nil
	}
	return m.announceChildren(e.Peer)
}

// push announces the node's version to its children in the push trees.
func (m *Machine) push() []Action {
	if m.Version() == 0 {
		return nil
	}
	return m.announceChildren(m.options.Self)
}

// announceChildren announces the node's version to those children of a host
// that are not known to hold it.
func (m *Machine) announceChildren(of string) []Action {
	if m.Version() == 0 {
		return nil
	}
	var out []Action
	seen := map[string]bool{m.options.Self: true}
	for _, t := range m.currentTrees() {
		for _, child := range t.children(of) {
			if !seen[child] {
				seen[child] = true
				out = append(out, m.announceIfBehind(child)...)
			}
		}
	}
	return out
}

func (m *Machine) announceIfBehind(name string) []Action {
	if m.peer(name).version >= m.Version() {
		return nil
	}
	return []Action{Announce{Peer: name, Version: m.Version()}}
}

func (m *Machine) currentTrees() []tree {
	if m.trees == nil || m.treesVersion != m.Version() {
		m.treesVersion = m.Version()
		m.trees = m.zone.trees(m.treesVersion)
	}
	return m.trees
}

// startFetch returns a Fetch if the node is behind, has no pending fetch and
// knows a peer with a newer version; otherwise it returns nil.
func (m *Machine) startFetch(now time.Time) Action {
	if !m.isBehind() || m.pending != nil {
		return nil
	}
	source := m.selectSource(now)
	if source == "" {
		return nil
	}
	m.pending = &pendingFetch{peer: source, deadline: now.Add(fetchTimeout)}
	return Fetch{Peer: source, Since: m.published.Version()}
}

// selectSource chooses the peer to fetch from, or "" if none has a newer version.
// Peers that are not in backoff come first, then those with the greatest
// version, then those of the node's zone; ties are broken at random.
func (m *Machine) selectSource(now time.Time) string {
	best, bestRank, ties := "", sourceRank{}, 0
	for _, member := range m.members {
		p := m.peers[member.Name]
		if p == nil || p.version <= m.published.Version() {
			continue
		}
		rank := sourceRank{
			responsive: !now.Before(p.backoffUntil),
			version:    p.version,
			sameZone:   member.Zone == m.options.Zone,
		}
		switch order := rank.compare(bestRank); {
		case best == "" || order > 0:
			best, bestRank, ties = member.Name, rank, 1
		case order == 0:
			ties++
			if m.rand.IntN(ties) == 0 {
				best = member.Name
			}
		}
	}
	return best
}

// handleFetchDone handles the outcome of a Fetch. A response that arrives after
// fetchTimeout is used as well.
func (m *Machine) handleFetchDone(now time.Time, e FetchDone) []Action {
	current := m.pending != nil && m.pending.peer == e.Peer
	if e.Err != nil || e.Response == nil {
		if current {
			m.handleFetchFailure(now)
		}
		return nil
	}
	if current {
		m.pending = nil
	}
	if e.Response.Version <= m.published.Version() {
		m.resetPeerVersion(e.Peer, e.Response)
		return nil
	}
	next, err := m.published.fromPeer(e.Since, e.Response)
	if err != nil {
		m.peer(e.Peer).backoffUntil = now.Add(sourceBackoff)
		return nil
	}
	m.recordPeerVersion(now, e.Peer, e.Response.Version)
	return m.adopt(now, next, e.Peer)
}

// resetPeerVersion replaces the recorded version of a peer by the one in its
// response, which is lower if the peer has restarted.
func (m *Machine) resetPeerVersion(name string, resp *peerapi.FetchConfigResponse) {
	if p := m.peers[name]; p != nil {
		p.version = resp.Version
	}
}

func (m *Machine) handleFetchFailure(now time.Time) {
	p := m.peer(m.pending.peer)
	p.backoffUntil = now.Add(sourceBackoff)
	m.pending = nil
}

// handleStoreUpdate handles an update read from the store.
func (m *Machine) handleStoreUpdate(now time.Time, e StoreUpdate) []Action {
	m.store.loading = false
	if e.Err != nil {
		m.handleStoreFailure(now)
		return nil
	}
	version := e.Update.Snapshot.Version()
	m.store.confirmed = true
	m.recordVersion(now, version)
	if version <= m.published.Version() {
		return nil
	}
	next, err := m.published.fromStore(e.Update)
	if err != nil {
		m.handleStoreFailure(now)
		return nil
	}
	return m.adopt(now, next, "")
}

// adopt replaces the configuration by a newer one and announces it. from is the
// peer that sent it, empty for the store. A version from another zone is also
// announced to the watchers of the node's own zone.
func (m *Machine) adopt(now time.Time, next *Published, from string) []Action {
	m.published = next
	m.recordVersion(now, next.Version())
	wasReady := m.ready
	m.checkReady(now)
	if !m.ready {
		return nil
	}
	out := m.push()
	if from != "" && wasReady && m.zoneOf[from] != m.options.Zone {
		for _, w := range m.zone.watchers() {
			if w != m.options.Self {
				out = append(out, m.announceIfBehind(w)...)
			}
		}
	}
	return out
}
