package fleet

import (
	"fmt"
	"maps"
	"time"
)

type routeSpec struct {
	Name            string `json:"name"`
	Host            string `json:"host"`
	Kind            string `json:"kind"`
	TimeoutMs       int    `json:"timeoutMs"`
	TargetLatencyMs int    `json:"targetLatencyMs"`
	Priority        int    `json:"priority"`
	Service         string `json:"service"`
	MaxStalenessMs  int64  `json:"maxStalenessMs"`
}

type serviceSpec struct {
	Name            string `json:"name"`
	ConnectionLimit int    `json:"connectionLimit"`
	SyncReplicas    int    `json:"syncReplicas"`
}

type configSpec struct {
	Version  int            `json:"version"`
	Routes   []routeSpec    `json:"routes"`
	Services []serviceSpec  `json:"services"`
	Limits   map[string]int `json:"limits"`
}

func databaseName(service, kind int) string {
	return fmt.Sprintf("db-%d-%s", service, routeKinds[kind])
}

// configure writes the next version of the configuration to the store.
func (s *Soak) configure() error {
	s.version++
	spec := configSpec{Version: s.version, Limits: map[string]int{"headerTimeoutMs": 3000, "transactionIdleMs": 3000}}
	for i, service := range s.services {
		spec.Services = append(spec.Services, serviceSpec{Name: service.Name, ConnectionLimit: s.connectionLimit(), SyncReplicas: s.options.SyncReplicas})
		for k, kind := range routeKinds {
			spec.Routes = append(spec.Routes, routeSpec{
				Name: fmt.Sprintf("route-%d-%d", i, k), Host: databaseName(i, k), Kind: kind, TimeoutMs: int(routeTimeout.Milliseconds()), TargetLatencyMs: 1000,
				Priority: k, Service: service.Name, MaxStalenessMs: staleness.Milliseconds(),
			})
		}
	}
	return s.store.Write(configurationKind, "main", spec)
}

type serverSpec struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Slots    int    `json:"slots"`
	State    string `json:"state"`
	Role     string `json:"databaseRole"`
	Sequence int    `json:"sequence"`
	Born     int64  `json:"born"`
}

// registerServers keeps the registrations of the running backend servers in the
// store up to date, which real backend servers do themselves, and removes expired
// ones.
func (s *Soak) registerServers() {
	last := map[string]time.Time{}
	for {
		s.drainingMu.Lock()
		draining, silent := s.draining, maps.Clone(s.silent)
		s.drainingMu.Unlock()
		for i, service := range s.services {
			for _, server := range service.Catalog() {
				if silent[server.ID] {
					continue
				}
				state := "ready"
				if server.ID == draining[i] {
					state = "draining"
				}
				role := "replica"
				if server.Primary {
					role = "primary"
				}
				_ = s.store.Write("servers", server.ID, serverSpec{
					Service: server.Service, Address: s.addresses[server.ID], Zone: "zone-a", Slots: 3, State: state, Role: role, Born: server.StartedUnixMilli,
				})
				last[server.ID] = time.Now()
			}
		}
		for id, at := range last {
			if time.Since(at) > registrationExpiry {
				s.store.Remove("servers", id)
			}
		}
		select {
		case <-time.After(registrationInterval / 3):
		case <-s.done:
			return
		}
	}
}
