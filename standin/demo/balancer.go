package demo

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	// checkInterval and checkMisses are typical health check settings of a load balancer:
	// a host is unhealthy after checkMisses consecutive failed checks.
	checkInterval = 500 * time.Millisecond
	readyzTimeout = 400 * time.Millisecond
	checkMisses   = 2
)

// balancer simulates the health checks of the platform's load balancer: hosts that
// fail them receive no new connections.
type balancer struct {
	hosts []hostLayout

	mu     sync.Mutex
	misses map[string]int
}

func newBalancer(l *layout) *balancer { return &balancer{hosts: l.hosts, misses: map[string]int{}} }

func (b *balancer) run(ctx context.Context) {
	client := &http.Client{Timeout: readyzTimeout}
	var checks sync.WaitGroup
	for sleep(ctx, checkInterval) == nil {
		for _, h := range b.hosts {
			checks.Go(func() { b.check(ctx, client, h) })
		}
		checks.Wait()
	}
}

func (b *balancer) check(ctx context.Context, client *http.Client, h hostLayout) {
	ok := false
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.admin+"/readyz", nil)
	if err == nil {
		var resp *http.Response
		if resp, err = client.Do(req); err == nil {
			resp.Body.Close()
			ok = resp.StatusCode == http.StatusOK
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if ok {
		b.misses[h.listen] = 0
	} else {
		b.misses[h.listen]++
	}
}

func (b *balancer) healthy(address string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.misses[address] < checkMisses
}
