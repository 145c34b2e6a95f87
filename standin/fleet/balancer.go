package fleet

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// The load balancer checks each host every checkInterval, and stops sending new
// connections to a host after maxMisses checks in a row without a 200.
const (
	checkInterval = time.Second
	checkTimeout  = 900 * time.Millisecond
	maxMisses     = 2
)

// balancer selects the hosts of new connections, as the users' platform does.
type balancer struct {
	hosts  []*Process
	client http.Client

	mu sync.Mutex
	// misses counts the failed checks in a row, by host.
	misses map[*Process]int
}

func newBalancer(hosts []*Process) *balancer {
	return &balancer{hosts: hosts, client: http.Client{Timeout: checkTimeout}, misses: map[*Process]int{}}
}

// run checks the hosts until done is closed.
func (b *balancer) run(done <-chan struct{}) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		for _, h := range b.hosts {
			go func() { b.record(h, b.isReady(h)) }()
		}
		select {
		case <-ticker.C:
		case <-done:
			return
		}
	}
}

func (b *balancer) isReady(h *Process) bool {
	response, err := b.client.Get(fmt.Sprintf("http://%s:%d/readiness", h.IP, readyPort))
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (b *balancer) record(h *Process, ready bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.misses[h]++
	if ready {
		b.misses[h] = 0
	}
}

// ready returns the hosts of a zone that are in rotation.
func (b *balancer) ready(zone string) []*Process {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []*Process
	for _, h := range b.hosts {
		if h.Zone == zone && b.misses[h] < maxMisses {
			out = append(out, h)
		}
	}
	return out
}

// pick returns a host for a new connection from an availability zone: one of the zone's
// hosts in rotation, of all its hosts if fewer than half are, and of the other zones if
// none is.
func (b *balancer) pick(zone string, rng *rand.Rand) *Process {
	b.mu.Lock()
	defer b.mu.Unlock()
	var near, nearReady, farReady []*Process
	for _, h := range b.hosts {
		ready := b.misses[h] < maxMisses
		switch {
		case h.Zone == zone && ready:
			near, nearReady = append(near, h), append(nearReady, h)
		case h.Zone == zone:
			near = append(near, h)
		case ready:
			farReady = append(farReady, h)
		}
	}
	candidates := nearReady
	switch {
	case len(nearReady) == 0 && len(farReady) > 0:
		candidates = farReady
	case 2*len(nearReady) < len(near):
		candidates = near
	}
	if len(candidates) == 0 {
		candidates = b.hosts
	}
	return candidates[rng.IntN(len(candidates))]
}
