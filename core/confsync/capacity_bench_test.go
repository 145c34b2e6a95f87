package confsync_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/gypsumgap/gypsumgap/core/config"
	"github.com/gypsumgap/gypsumgap/core/confstore"
	"github.com/gypsumgap/gypsumgap/core/confsync"
	"github.com/gypsumgap/gypsumgap/core/peerapi"
)

// sizedConfiguration is the part of the target's configuration with the given
// number of databases, with verifiers of the real length.
func sizedConfiguration(databases int) *config.Snapshot {
	target := targetConfiguration()
	var services []config.Service
	for _, name := range target.Names()[:databases/3] {
		s := *target.Service(name)
		s.Databases = append([]config.Database(nil), s.Databases...)
		s.Callers = []config.Caller{{User: "crew", Verifier: "SCRAM-SHA-256$4096:" + strings.Repeat("v", 114)}}
		services = append(services, s)
	}
	return config.NewSnapshot(1, services)
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkHeldConfiguration measures the memory of a node's configuration, with
// what it answers peers from, after a fetch of everything from a peer, and the
// bytes of that fetch and of a fetch of one changed service.
func BenchmarkHeldConfiguration(b *testing.B) {
	for _, databases := range []int{4749, 9498, 18_999} {
		b.Run(fmt.Sprintf("databases=%d", databases), func(b *testing.B) {
			start := time.Unix(0, 0)
			machine := func(name string) *confsync.Machine {
				return confsync.New(confsync.Options{Self: name, Zone: "z", Rand: rand.New(rand.NewPCG(1, 1)), Start: start})
			}
			giver := machine("giver")
			giver.Handle(start, confsync.StoreUpdate{Update: confstore.Update{Snapshot: sizedConfiguration(databases)}})
			full := giver.Published().Respond(&peerapi.FetchConfigRequest{})
			wire, err := proto.Marshal(full)
			if err != nil {
				b.Fatal(err)
			}
			for range b.N {
				before := heapBytes()
				taker := machine("taker")
				resp := &peerapi.FetchConfigResponse{}
				if err := proto.Unmarshal(wire, resp); err != nil {
					b.Fatal(err)
				}
				taker.Handle(start, confsync.FetchDone{Peer: "giver", Response: resp})
				if taker.Snapshot().Version() != 1 {
					b.Fatal("the configuration was not taken")
				}
				resp = nil
				b.ReportMetric(float64(heapBytes()-before)/1e6, "MB")
				runtime.KeepAlive(taker)
			}
			b.ReportMetric(float64(len(wire))/1e6, "full-fetch-MB")
			b.ReportMetric(float64(proto.Size(full.Entries[0])), "B/service")
		})
	}
}

// BenchmarkMessagesPerChange reports the messages and store calls of a change
// per node. Bytes follow from these and from the sizes of the other benchmarks.
func BenchmarkMessagesPerChange(b *testing.B) {
	for _, f := range []fleet{{nodes: 120, zones: 12}, {nodes: 360, zones: 12}, {nodes: 1080, zones: 12}} {
		b.Run(fmt.Sprintf("nodes=%d", f.nodes), func(b *testing.B) {
			var got propagationCost
			for range b.N {
				got = propagate(b, f, nil)
			}
			b.ReportMetric(float64(got.announces)/float64(f.nodes), "announcements/node")
			b.ReportMetric(float64(got.fetches)/float64(f.nodes), "fetches/node")
			b.ReportMetric(float64(got.calls), "store-calls")
			b.ReportMetric(float64(got.time.Milliseconds()), "virtual-ms")
		})
	}
}
