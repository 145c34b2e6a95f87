package fleet

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gypsumgap/gypsumgap/core/catalog"
	"github.com/gypsumgap/gypsumgap/core/objects"
)

// The announcement of a stop is final: the process that made it does not serve again.
// A store that went back to an older copy may show the entry from before it.

// Periods for which servers that disappeared are remembered.
const (
	// lapseGracePeriod is how long a backend server remains in use after its entry
	// lapsed without notice. Entries that lapsed while the store was unavailable
	// are back within 2 s of its return.
	lapseGracePeriod = 2500 * time.Millisecond
	// lostServerRetention is how long a server whose entry has lapsed, and that does not
	// reply to the holder of the duty, counts as one that may still receive commits. It
	// would have registered again by then.
	lostServerRetention = 30 * time.Second
	// departedServerRetention is how long a server that left after it had announced it
	// is refused. It exceeds the age of the copies to which a store goes back.
	departedServerRetention = 10 * time.Minute
)

// registeredServer is a backend server and the state of its entry in the store.
type registeredServer struct {
	server catalog.Server
	// missingSince is when the entry lapsed; zero while the entry exists.
	missingSince time.Time
	// writtenAt is when this host saw that the server had just written its entry; zero if
	// it has only found the entry.
	writtenAt time.Time
}

// lostServer is a backend server whose entry has lapsed and that is not used any more. Its
// log may hold commits that no other server has, and may go on receiving: a server that
// only lost contact with the store does, also one that has announced its stop.
type lostServer struct {
	server catalog.Server
	lostAt time.Time
	// isRegistered is true while the entry of a server that has announced its stop is back.
	isRegistered bool
}

// departedServer is a backend server that left after it had announced it.
type departedServer struct {
	server catalog.Server
	leftAt time.Time
}

func (c *controller) applyServers(ch storeChange) {
	now := c.now()
	seen := map[string]bool{}
	for _, o := range ch.objects {
		if o.Err != nil {
			c.log.WithFields(logrus.Fields{"event": "server_skipped", "server": o.Name}).WithError(o.Err).
				Warn("entry of a backend server could not be decoded; skipping it")
		}
		if namesNoServer(o) {
			c.recordLapse(o.Name, now)
			continue
		}
		seen[o.Name] = true
		c.registerServer(*o.Server)
		if r := c.servers[o.Name]; r != nil && !ch.full {
			r.writtenAt = now
		}
	}
	if ch.full {
		c.serversListed = true
		for id := range c.servers {
			if !seen[id] {
				c.recordLapse(id, now)
			}
		}
	}
	c.updateGroups()
}

// namesNoServer reports whether the object shows that no backend server is registered
// under its name: it was deleted, or another writer replaced it by something else.
func namesNoServer(o objects.Object) bool { return o.Deleted || o.Err != nil }

func (c *controller) registerServer(s catalog.Server) {
	old := c.servers[s.ID]
	if left, departed := c.departedServers[s.ID]; departed && isSameStart(left.server.StartedUnixMilli, s) {
		c.recordReturn(left.server)
		return
	}
	if old != nil && old.server.Draining && isSameStart(old.server.StartedUnixMilli, s) {
		s.Draining = true
	}
	if old == nil {
		c.lastRegistered[s.Service] = c.now()
	}
	if old == nil || old.server.Draining != s.Draining || old.server.Primary != s.Primary || old.server.StartedUnixMilli != s.StartedUnixMilli {
		c.log.WithFields(logrus.Fields{"event": "server", "server": s.ID, "service": s.Service, "zone": s.Zone,
			"draining": s.Draining, "claims_primary": s.Primary}).Info("backend server registered or its entry changed")
	}
	if old != nil && logOf(old.server) != logOf(s) {
		c.recordLostLog(old.server, "")
	}
	if lost, known := c.lostServers[s.ID]; known && logOf(lost.server) != logOf(s) {
		c.recordLoss(lost.server)
	}
	c.recordSuccessors(s)
	c.servers[s.ID] = &registeredServer{server: s}
	// Its session is opened at once, see isProven.
	delete(c.logRecords.polledAt, s.Service)
	delete(c.lostServers, s.ID)
	delete(c.departedServers, s.ID)
	delete(c.lostLogs, logOf(s))
}

// recordReturn records that the entry of a server that has announced its stop is back. Its
// process is not used again, but may go on receiving.
func (c *controller) recordReturn(s catalog.Server) {
	c.lostServers[s.ID] = lostServer{server: s, lostAt: c.now(), isRegistered: true}
	delete(c.lostLogs, logOf(s))
}

// isSameStart reports whether the entry is from the process that started at the given
// time, in Unix milliseconds. A process whose start is unknown counts as another one.
func isSameStart(startedUnixMilli int64, s catalog.Server) bool {
	return startedUnixMilli != 0 && startedUnixMilli == s.StartedUnixMilli
}

// recordLapse records that an entry no longer names its server. A server that announced its
// stop is not used any more. Any other server may only have lost contact with the store.
func (c *controller) recordLapse(id string, now time.Time) {
	r := c.servers[id]
	if l := c.lostServers[id]; r == nil && l.isRegistered {
		c.lostServers[id] = lostServer{server: l.server, lostAt: now}
	}
	if r == nil || !r.missingSince.IsZero() {
		return
	}
	c.log.WithFields(logrus.Fields{"event": "server_lapsed", "server": id, "draining": r.server.Draining}).
		Info("entry of a backend server lapsed, was deleted or was replaced by an invalid one")
	if r.server.Draining {
		delete(c.servers, id)
		c.departedServers[id] = departedServer{r.server, now}
		c.lostServers[id] = lostServer{server: r.server, lostAt: now}
		return
	}
	r.missingSince = now
}

// recordLoss records that a server whose entry has lapsed receives nothing any more.
func (c *controller) recordLoss(s catalog.Server) {
	delete(c.lostServers, s.ID)
	address := ""
	if s.Draining {
		address = s.Address
	}
	c.recordLostLog(s, address)
}

// recordSuccessors records that the servers which had announced their stop and whose
// address a server now uses have ended.
func (c *controller) recordSuccessors(s catalog.Server) {
	for id, l := range c.lostServers {
		if l.server.Draining && l.server.Address == s.Address && id != s.ID {
			c.recordLoss(l.server)
		}
	}
}

// removeLapsedServers removes the servers whose grace period has ended, counts the logs
// of those that did not return as lost, and forgets departed servers after their
// retention.
func (c *controller) removeLapsedServers() {
	now := c.now()
	changed := false
	for id, r := range c.servers {
		if !r.missingSince.IsZero() && now.Sub(r.missingSince) >= lapseGracePeriod {
			delete(c.servers, id)
			c.lostServers[id] = lostServer{server: r.server, lostAt: now}
			changed = true
		}
	}
	for _, l := range c.lostServers {
		if !l.isRegistered && now.Sub(l.lostAt) >= lostServerRetention {
			c.recordLoss(l.server)
		}
	}
	c.removeOldLosses(now)
	for id, left := range c.departedServers {
		if now.Sub(left.leftAt) >= departedServerRetention {
			delete(c.departedServers, id)
		}
	}
	if changed {
		c.updateGroups()
	}
}
