package confsync

import (
	"cmp"
	"time"
)

// checkReady makes the node ready if it holds the current version. It reports
// whether this call made the node ready.
func (m *Machine) checkReady(now time.Time) bool {
	if m.ready {
		return false
	}
	switch {
	case m.isBehind():
	case m.store.confirmed, m.majorityReported(now):
		m.ready = true
	}
	return m.ready
}

// majorityReported reports whether a majority of the known hosts has reported a
// version. It is false during storeFallbackDelay after the start, in which a
// node that knows only few hosts learns of others.
func (m *Machine) majorityReported(now time.Time) bool {
	if !m.shouldAskPeers(now) || now.Sub(m.options.Start) < storeFallbackDelay || m.published.Version() == 0 {
		return false
	}
	reported := 0
	for _, member := range m.members {
		if p := m.peers[member.Name]; p != nil && p.version > 0 {
			reported++
		}
	}
	// The known hosts include the node itself, which has no version to report.
	known := len(m.members) + 1
	return reported >= known/2+1
}

// shouldAskPeers reports whether the node asks its peers for the current
// version because the store has failed or has not responded in time.
func (m *Machine) shouldAskPeers(now time.Time) bool {
	return !m.store.confirmed && (m.store.failed || now.Sub(m.options.Start) >= storeFallbackDelay)
}

// needsVersion reports whether the node does not know the current version yet.
func (m *Machine) needsVersion() bool { return !m.ready && !m.store.confirmed }

// probeUnknownPeers probes up to probeBatchSize peers that have not reported a
// version.
func (m *Machine) probeUnknownPeers(now time.Time) []Action {
	if !m.shouldAskPeers(now) {
		return nil
	}
	var out []Action
	for _, i := range m.rand.Perm(len(m.members)) {
		p := m.peer(m.members[i].Name)
		if p.version > 0 || !p.lastProbe.IsZero() && now.Sub(p.lastProbe) < probeRetryInterval {
			continue
		}
		p.lastProbe = now
		out = append(out, Announce{Peer: m.members[i].Name, Version: m.Version()})
		if len(out) == probeBatchSize {
			break
		}
	}
	return out
}

// shouldRead reports whether to read the current version from the store. Only a
// node that is not ready does so; later, watchers learn it from their watch.
func (m *Machine) shouldRead(now time.Time) bool {
	return m.needsVersion() && !m.store.reading && !now.Before(m.store.nextRead)
}

// handleStoreVersion handles the current version reported by the store.
func (m *Machine) handleStoreVersion(now time.Time, e StoreVersion) {
	m.store.reading = false
	if e.Err != nil {
		m.handleStoreFailure(now)
		return
	}
	m.store.confirmed = true
	m.store.failures = 0
	m.recordVersion(now, e.Version)
}

func (m *Machine) handleStoreFailure(now time.Time) {
	m.store.failed = true
	delay := min(storeRetryMin<<min(m.store.failures, 10), storeRetryMax)
	m.store.failures++
	// Half of the delay is random, so that hosts that failed at the same time do
	// not retry at the same time.
	m.store.nextRead = now.Add(delay/2 + time.Duration(m.rand.Int64N(int64(delay/2))))
}

// shouldSearch reports whether the node is behind and no peer is known to hold a
// newer version.
func (m *Machine) shouldSearch(now time.Time) bool {
	return m.isBehind() && m.pending == nil && m.selectSource(now) == ""
}

// probeRandomPeers probes searchProbeCount random peers for their version.
func (m *Machine) probeRandomPeers() []Action {
	var out []Action
	for _, i := range m.rand.Perm(len(m.members)) {
		if len(out) == searchProbeCount {
			break
		}
		out = append(out, Announce{Peer: m.members[i].Name, Version: m.Version()})
	}
	return out
}

// shouldLoad reports whether to load the configuration from the store because
// no peer has supplied it within storeLoadDelay.
func (m *Machine) shouldLoad(now time.Time) bool {
	if !m.isBehind() || m.store.loading || now.Before(m.store.nextRead) {
		return false
	}
	if len(m.members) == 0 {
		return true
	}
	return now.Sub(m.behindSince) >= storeLoadDelay
}

// sourceRank is the preference of a peer as the source of a fetch, with the most
// significant criterion first.
type sourceRank struct {
	responsive bool
	version    uint64
	sameZone   bool
}

func (r sourceRank) compare(o sourceRank) int {
	return cmp.Or(compareBools(r.responsive, o.responsive), cmp.Compare(r.version, o.version), compareBools(r.sameZone, o.sameZone))
}

func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}
