package peer

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/gypsumgap/gypsumgap/core/peerapi"
)

const (
	// maxIdlePerHost keeps few idle connections. Each probe goes to a random host,
	// so most connections would not be reused.
	maxIdlePerHost = 1
	// idleTimeout closes idle connections early for the same reason.
	idleTimeout = 30 * time.Second
)

// Client sends control messages to other hosts. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// NewClient returns a client whose connections have the given source address, or
// one that the system chooses if local is the zero value.
func NewClient(local netip.Addr) *Client {
	dialer := net.Dialer{Timeout: time.Second}
	if local.IsValid() {
		dialer.LocalAddr = &net.TCPAddr{IP: local.AsSlice()}
	}
	return &Client{
		http: &http.Client{Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: maxIdlePerHost,
			IdleConnTimeout:     idleTimeout,
		}},
	}
}

// Peer returns a stub for the host with that peer address. Stubs are not cached,
// since thousands of hosts are replaced every day.
func (c *Client) Peer(address string) peerapi.Peer {
	return peerapi.NewPeerProtobufClient("http://"+address, c.http)
}

// Probe sends a heartbeat. It fails if the host does not respond before ctx ends.
func (c *Client) Probe(ctx context.Context, address string, r *peerapi.ProbeRequest) (*peerapi.ProbeResponse, error) {
	resp, err := c.Peer(address).Probe(ctx, r)
	if err != nil {
		return nil, fmt.Errorf("probe %s: %w", address, err)
	}
	return resp, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }
