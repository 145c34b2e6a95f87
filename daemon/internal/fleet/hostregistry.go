package fleet

import (
	"sync"
	"time"

	"github.com/gypsumgap/gypsumgap/core/objects"
)

const (
	// registrationMaxAge is the time since the last renewal of its registration
	// after which a host does not count as live.
	registrationMaxAge = 100 * time.Second
	// registrationSettleTime is how long after the store went back to an older copy
	// hosts remain live whose registrations it forgot. It exceeds the time in which a
	// host notices that, and registers again.
	registrationSettleTime = 15 * time.Second
)

// hostRegistry tells which registered hosts are live. It is safe for concurrent use.
type hostRegistry struct {
	mu    sync.Mutex
	hosts map[string]*registeredHost
	// era is the era of the last list, and restoredAt when it was first seen; zero if
	// no earlier era was seen.
	era        uint64
	restoredAt time.Time
}

// registeredHost is the registration of a host as last seen.
type registeredHost struct {
	registration registration
	revision     objects.Revision
	// renewedAt is when the last renewal was first seen.
	renewedAt time.Time
	// missingSince is the revision of the list that lacked the registration; 0 while
	// it exists.
	missingSince objects.Revision
}

// observe processes a list of the registrations, and returns those of the live hosts
// by name. A host is live even if its registration cannot be decoded.
func (h *hostRegistry) observe(list objects.Snapshot, now time.Time) map[string]registration {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.observeEra(list.Revision.Era(), now)
	listed := map[string]bool{}
	for _, o := range list.Objects {
		listed[o.Name] = true
		h.record(o, now)
	}
	live := map[string]registration{}
	for name, r := range h.hosts {
		if !listed[name] {
			h.recordMissing(name, list.Revision, now)
		}
		if r.missingSince == 0 && now.Sub(r.renewedAt) < registrationMaxAge {
			live[name] = r.registration
		}
	}
	return live
}

func (h *hostRegistry) observeEra(era uint64, now time.Time) {
	if era <= h.era {
		return
	}
	if h.era != 0 {
		h.restoredAt = now
	}
	h.era = era
}

// record processes one listed registration. A restored store may list an earlier
// renewal, or that of a host that has left; neither is a sign of life.
func (h *hostRegistry) record(o objects.Object, now time.Time) {
	var r registration
	decoded := decode(o.Value, &r)
	old := h.hosts[o.Name]
	switch {
	case old == nil, decoded && r.renews(old.registration), !decoded && o.Revision.Number() != old.revision.Number():
		if h.hosts == nil {
			h.hosts = map[string]*registeredHost{}
		}
		h.hosts[o.Name] = &registeredHost{registration: r, revision: o.Revision, renewedAt: now}
	case old.missingSince.Era() == o.Revision.Era():
		// The list that lacked it was a stale one.
		old.missingSince = 0
	}
}

// recordMissing processes that a registration is not listed any more.
func (h *hostRegistry) recordMissing(name string, listed objects.Revision, now time.Time) {
	r := h.hosts[name]
	if now.Sub(r.renewedAt) >= registrationMaxAge {
		delete(h.hosts, name)
		return
	}
	forgotten := !h.restoredAt.IsZero() && now.Sub(h.restoredAt) < registrationSettleTime
	if r.missingSince == 0 && !forgotten {
		r.missingSince = listed
	}
}
