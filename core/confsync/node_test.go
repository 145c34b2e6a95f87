package confsync_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"github.com/gypsumgap/gypsumgap/core/config"
	"github.com/gypsumgap/gypsumgap/core/confstore"
	"github.com/gypsumgap/gypsumgap/core/confsync"
	"github.com/gypsumgap/gypsumgap/core/peerapi"
	"github.com/gypsumgap/gypsumgap/core/platform/platformtest"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// localPeers connects nodes of one process.
type localPeers struct {
	self  string
	nodes map[string]*confsync.Node
}

var errNoHost = errors.New("no such host")

func (p *localPeers) Announce(_ context.Context, peer string, version uint64) (uint64, error) {
	n := p.nodes[peer]
	if n == nil {
		return 0, errNoHost
	}
	n.Post(confsync.PeerVersion{Peer: p.self, Version: version})
	return n.View().Version, nil
}

func (p *localPeers) FetchConfig(_ context.Context, peer string, req *peerapi.FetchConfigRequest) (*peerapi.FetchConfigResponse, error) {
	n := p.nodes[peer]
	if n == nil {
		return nil, errNoHost
	}
	return n.View().Published.Answer(req), nil
}

// Guards against nodes that don't act on the machine's decisions: a version
// that does not spread, a watch that does not start or is not ended, a node
// that is not ready, and goroutines that outlive Run.
func TestNodesFollowTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hosts = 5
		ctx, cancel := context.WithCancel(t.Context())
		store := platformtest.New(platformtest.Options{})
		nodes := map[string]*confsync.Node{}
		members := []confsync.Member{{Name: "gone", Zone: "z"}}
		for i := range hosts {
			name := fmt.Sprintf("host-%d", i)
			members = append(members, confsync.Member{Name: name, Zone: "z"})
			options := confsync.Options{Self: name, Zone: "z", Rand: rand.New(rand.NewPCG(uint64(i), 1)), Start: time.Now()}
			peers := &localPeers{self: name, nodes: nodes}
			nodes[name] = confsync.NewNode(options, &confsync.Performer{Self: name, Peers: peers, Store: store}, nil)
		}
		var running sync.WaitGroup
		for _, n := range nodes {
			running.Go(func() { n.Run(ctx) })
			n.SetMembers(members)
		}
		for version := uint64(1); version <= 3; version++ {
			applyNext(t, store, version)
			time.Sleep(time.Second)
			synctest.Wait()
			for name, n := range nodes {
				if v := n.View(); !v.Ready || v.Version != version {
					t.Errorf("%s is ready %v with version %d a second after version %d", name, v.Ready, v.Version, version)
				}
			}
		}
		if got := store.Counts().Watches; got > 20 {
			t.Errorf("made %d watch calls for 3 versions, more than 2 hosts seem to watch", got)
		}
		cancel()
		running.Wait()
		for _, n := range nodes {
			n.Post(confsync.PeerVersion{Peer: "gone", Version: 1})
		}
	})
}

func applyNext(t *testing.T, store *platformtest.Store, version uint64) {
	t.Helper()
	base, err := confstore.Load(t.Context(), store, nil)
	if err != nil {
		t.Fatal(err)
	}
	service := testService("service")
	service.CommitTimeout = config.Duration(version)
	next := config.NewSnapshot(0, []config.Service{service})
	if _, err := confstore.Apply(t.Context(), store, base, next); err != nil {
		t.Fatal(err)
	}
}
