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

// sizedConfiguration returns the part of targetConfiguration with the given
// number of databases and with verifiers of realistic length.
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

// BenchmarkHeldConfiguration measures the memory of a node's configuration and
// history after a full fetch from a peer, and the sizes of that response and of
// one service in it.
func BenchmarkHeldConfiguration(b *testing.B) {
	for _, databases := range []int{4749, 9498, 18_999} {
		b.Run(fmt.Sprintf("databases=%d", databases), func(b *testing.B) {
			start := time.Unix(0, 0)
			machine := func(name string) *confsync.Machine {
				return confsync.New(confsync.Options{Self: name, Zone: "z", Rand: rand.New(rand.NewPCG(1, 1)), Start: start})
			}
			source := machine("giver")
			source.Handle(start, confsync.StoreUpdate{Update: confstore.Update{Snapshot: sizedConfiguration(databases)}})
			full := source.Published().Respond(&peerapi.FetchConfigRequest{})
			wire, err := proto.Marshal(full)
			if err != nil {
				b.Fatal(err)
			}
			for range b.N {
				before := heapBytes()
				receiver := machine("taker")
				resp := &peerapi.FetchConfigResponse{}
				if err := proto.Unmarshal(wire, resp); err != nil {
					b.Fatal(err)
				}
				receiver.Handle(start, confsync.FetchDone{Peer: "giver", Response: resp})
				if receiver.Snapshot().Version() != 1 {
					b.Fatal("the receiver did not adopt version 1 of the configuration")
				}
				resp = nil
				b.ReportMetric(float64(heapBytes()-before)/1e6, "MB")
				runtime.KeepAlive(receiver)
			}
			b.ReportMetric(float64(len(wire))/1e6, "full-fetch-MB")
			b.ReportMetric(float64(proto.Size(full.Entries[0])), "B/service")
		})
	}
}

// BenchmarkMessagesPerChange reports the messages per node and the store calls
// of one change. The bytes follow from these and from the sizes that the other
// benchmarks report.
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
