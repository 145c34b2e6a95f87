package peer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/gypsumgap/gypsumgap/core/membership"
	"github.com/gypsumgap/gypsumgap/core/peerapi"
	"github.com/gypsumgap/gypsumgap/core/platform"
)

// countingListener counts its connections and their bytes in both directions.
type countingListener struct {
	net.Listener
	in, out, conns atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.conns.Add(1)
	return &countingConn{nc, l}, nil
}

type countingConn struct {
	net.Conn
	l *countingListener
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.l.in.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.l.out.Add(int64(n))
	return n, err
}

// tableServer responds to probes from a membership table, as a host's control
// goroutine does.
type tableServer struct {
	peerapi.Peer
	mu    sync.Mutex
	table *membership.Table
	now   time.Time
}

func (s *tableServer) Probe(_ context.Context, r *peerapi.ProbeRequest) (*peerapi.ProbeResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.table.HandleProbe(s.now, membership.Message{
		From: r.GetFrom(), Updates: FromMembers(r.GetUpdates()), Digest: r.GetMembersDigest(), RequestAll: r.GetAllMembers(),
	})
	return &peerapi.ProbeResponse{Updates: ToMembers(m.Updates), MembersDigest: m.Digest, ConfigVersion: 29_000}, nil
}

func benchMember(i int) membership.Member {
	return membership.Member{
		Name:           fmt.Sprintf("entry-%05d", i),
		PeerAddress:    fmt.Sprintf("10.%d.%d.1:8432", i>>8, i&255),
		ForwardAddress: fmt.Sprintf("10.%d.%d.1:7432", i>>8, i&255),
		Zone:           fmt.Sprintf("gelderland-%d", i%12),
		Region:         fmt.Sprintf("randstad-%d", i%4),
		State:          membership.Alive,
		Incarnation:    1_764_000_000_000_000 + uint64(i),
	}
}

// benchTable returns a membership table. If changed is set, all hosts have
// changed recently, so that messages carry the maximum number of updates. Else
// the hosts are known only from the platform's list.
func benchTable(self, hosts int, changed bool, now time.Time) *membership.Table {
	t := membership.NewTable(benchMember(self), membership.DefaultOptions(), rand.New(rand.NewPCG(1, uint64(self))), now)
	if !changed {
		var list []platform.Host
		for i := range hosts {
			m := benchMember(i)
			list = append(list, platform.Host{Name: m.Name, Address: m.PeerAddress, Zone: m.Zone, Region: m.Region, State: platform.HostLive})
		}
		t.MergeHostList(now, list)
		return t
	}
	for i := range hosts {
		t.ProbeAnswered(now, "", membership.Message{Updates: []membership.Member{benchMember(i)}})
	}
	return t
}

func processTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// probeBench holds two hosts that communicate over loopback.
type probeBench struct {
	ln     *countingListener
	client *Client
	server *tableServer
	table  *membership.Table
	now    time.Time
}

func newProbeBench(b *testing.B, hosts int, changed bool) *probeBench {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	p := &probeBench{ln: &countingListener{Listener: ln}, client: NewClient(netip.Addr{}), now: time.Unix(1_764_000_000, 0)}
	p.table = benchTable(0, hosts, changed, p.now)
	p.server = &tableServer{table: benchTable(1, hosts, changed, p.now), now: p.now}
	server := &http.Server{Handler: peerapi.NewPeerServer(p.server)}
	go func() { _ = server.Serve(p.ln) }()
	b.Cleanup(func() {
		p.client.Close()
		_ = server.Close()
	})
	return p
}

// probe sends one probe as the control goroutine does. It uses a new connection,
// since in a fleet of the target size the next probe to the same host comes long
// after the connection has closed.
func (p *probeBench) probe(b *testing.B, all bool) {
	p.now = p.now.Add(time.Second)
	cmds := p.table.Tick(p.now)
	if len(cmds) != 1 {
		b.Fatalf("got %d commands from a tick, want 1 probe", len(cmds))
	}
	m := cmds[0].Message
	resp, err := p.client.Probe(context.Background(), p.ln.Addr().String(), &peerapi.ProbeRequest{
		From: m.From, Updates: ToMembers(m.Updates), ConfigVersion: 29_000, MembersDigest: m.Digest, AllMembers: all,
	})
	if err != nil {
		b.Fatal(err)
	}
	p.table.ProbeAnswered(p.now, "entry-00001", membership.Message{Updates: FromMembers(resp.GetUpdates()), Digest: resp.GetMembersDigest()})
	p.client.http.CloseIdleConnections()
}

func (p *probeBench) report(b *testing.B, cpu time.Duration) {
	n := float64(b.N)
	b.ReportMetric(float64(p.ln.in.Load())/n, "request-B/probe")
	b.ReportMetric(float64(p.ln.out.Load())/n, "answer-B/probe")
	b.ReportMetric(float64(cpu.Microseconds())/n, "cpu-us/probe")
	b.ReportMetric(float64(p.ln.conns.Load())/n, "conns/probe")
}

// BenchmarkProbe measures one probe with its response. This is the work of one
// host per probe interval, since a host sends one probe and responds to one on
// average. Only TCP payload bytes are counted, without headers.
func BenchmarkProbe(b *testing.B) {
	for _, hosts := range []int{250, 1000, 3000} {
		for name, changed := range map[string]bool{"quiet": false, "full": true} {
			b.Run(fmt.Sprintf("hosts=%d/%s", hosts, name), func(b *testing.B) {
				p := newProbeBench(b, hosts, changed)
				start := processTime()
				b.ResetTimer()
				for range b.N {
					p.probe(b, false)
				}
				p.report(b, processTime()-start)
			})
		}
	}
}

// BenchmarkProbeAll measures the probe of a starting host, whose response holds
// the whole table.
func BenchmarkProbeAll(b *testing.B) {
	for _, hosts := range []int{250, 1000, 3000} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			p := newProbeBench(b, hosts, true)
			start := processTime()
			b.ResetTimer()
			for range b.N {
				p.probe(b, true)
			}
			p.report(b, processTime()-start)
		})
	}
}
