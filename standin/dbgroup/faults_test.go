package dbgroup_test

import (
	"context"
	"errors"
	"net"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/jackc/pgx/v5"

	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/core/group/pgcontrol"
	"github.com/gypsumgap/gypsumgap/standin/dbgroup"
)

func startQuery(c *pgx.Conn) <-chan error {
	done := make(chan error, 1)
	go func() {
		_, err := c.Exec(background, "SELECT 1")
		done <- err
	}()
	return done
}

// wantNoAnswer fails if an answer comes while many are given on another connection.
func wantNoAnswer(t *testing.T, done <-chan error, other *pgx.Conn) {
	t.Helper()
	for range silenceProbeCount {
		exec(t, other, "SELECT 1")
	}
	select {
	case err := <-done:
		t.Fatalf("an answer came from a silent peer: %v", err)
	default:
	}
}

// Guards against a limit that is not kept, or that shuts out control connections.
func TestConnectionLimit(t *testing.T) {
	g := startGroup(t, func(o *dbgroup.Options) { o.ConnectionLimit = 1 })
	s := g.Slot(0)
	first := connect(t, s)
	_, err := tryConnect(s)
	wantCode(t, err, "53300")
	client := pgcontrol.New(pgcontrol.Options{})
	defer client.Close()
	status, err := client.Status(background, g.GroupSlots()[0])
	if err != nil || status.Connections != 1 || status.ConnectionLimit != 1 {
		t.Fatalf("got %+v, %v", status, err)
	}
	exec(t, first, "SET application_name = 'e1/7'")
	connections, err := client.Connections(background, g.GroupSlots()[0])
	if err != nil || len(connections) != 1 || connections[0] != (pgcontrol.Connection{PID: first.PgConn().PID(), Application: "e1/7"}) {
		t.Fatalf("got %+v, %v", connections, err)
	}
	_ = first.Close(background)
	await(t, "the connection is counted out", func() bool { return s.Status().Connections == 0 })
	connect(t, s)
}

// Guards against a frozen slot that answers, or that forgets what it was sent.
func TestFreeze(t *testing.T) {
	g := startGroup(t, nil)
	c, other := connect(t, g.Slot(0)), connect(t, g.Slot(1))
	g.Slot(0).Freeze()
	done := startQuery(c)
	wantNoAnswer(t, done, other)
	g.Slot(0).Thaw()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// Guards against a cut that hits clients of other addresses, or does not heal.
func TestCutClients(t *testing.T) {
	s := startGroup(t, nil).Slot(0)
	config, err := pgx.ParseConfig("postgres://mechanic@" + s.Address() + "/" + testDatabase)
	if err != nil {
		t.Fatal(err)
	}
	config.DialFunc = (&net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 9)}}).DialContext
	c, err := pgx.ConnectConfig(background, config)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close(background)
	other := connect(t, s)
	s.CutClients(netip.MustParsePrefix("127.0.0.9/32"))
	done := startQuery(c)
	wantNoAnswer(t, done, other)
	s.CutClients()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// Guards against a silent connection that recovers, against new connections
// that are silent too, and against a silent one that seems to run a statement.
func TestSilentConnections(t *testing.T) {
	g := startGroup(t, nil)
	s := g.Slot(0)
	c := connect(t, s)
	pid := c.PgConn().PID()
	s.SilenceConnections()
	done := startQuery(c)
	other := connect(t, s)
	wantNoAnswer(t, done, other)
	client := pgcontrol.New(pgcontrol.Options{})
	defer client.Close()
	running, err := client.IsRunning(background, g.GroupSlots()[0], pid)
	if err != nil || running {
		t.Fatalf("running %v, %v", running, err)
	}
	_ = c.PgConn().Conn().Close()
	<-done
	await(t, "the closed connection is counted out", func() bool { return s.Status().Connections == 1 })
}

// Guards against a statement that is slow but alive and seems to have ended.
func TestActivity(t *testing.T) {
	g := startGroup(t, nil)
	c := connect(t, g.Slot(0)).PgConn()
	client := pgcontrol.New(pgcontrol.Options{})
	defer client.Close()
	done := make(chan error, 1)
	go func() {
		_, err := c.Exec(background, "SELECT pg_sleep(3600)").ReadAll()
		done <- err
	}()
	await(t, "the statement runs", func() bool {
		running, err := client.IsRunning(background, g.GroupSlots()[0], c.PID())
		if err != nil {
			t.Fatal(err)
		}
		return running
	})
	g.Slot(0).Kill()
	if err := <-done; err == nil {
		t.Fatal("a statement succeeded on a killed slot")
	}
}

// Guards against a silent client that holds the writer lock for good.
func TestIdleWriterIsTerminated(t *testing.T) {
	s := startGroup(t, func(o *dbgroup.Options) { o.WriterIdleLimit = 1 }).Slot(0)
	holder := connect(t, s)
	exec(t, holder, "BEGIN")
	exec(t, holder, insertJob, 1, "held")
	exec(t, connect(t, s), insertJob, 1, "free")
	_, err := holder.Exec(background, "COMMIT")
	wantCode(t, err, "25P03")
}

// Guards against errors of a wrong kind: a driver of a promotion must know
// whether an order may have been executed. Guards, too, against a local address
// that is not used, as the cut would then have no effect.
func TestControlErrors(t *testing.T) {
	g := startGroup(t, nil)
	slot := g.GroupSlots()[1]
	client := pgcontrol.New(pgcontrol.Options{LocalIP: netip.MustParseAddr("127.0.0.7")})
	defer client.Close()
	if _, err := client.Fence(background, slot, 1); !errors.Is(err, group.ErrRefused) {
		t.Fatalf("got %v, want refused", err)
	}
	wantCode(t, func() error { _, err := client.Fence(background, slot, 1); return err }(), "55000")

	g.Slot(1).CutClients(netip.MustParsePrefix("127.0.0.7/32"))
	if err := fenceUntilCancelled(t, g, client, slot); !errors.Is(err, group.ErrNoAnswer) {
		t.Fatalf("on a kept connection that is cut got %v, want no answer", err)
	}
	g.Slot(1).CutClients()
	g.Slot(1).Freeze()
	if err := fenceUntilCancelled(t, g, client, slot); !errors.Is(err, group.ErrUnreachable) {
		t.Fatalf("without a connection to a frozen slot got %v, want unreachable", err)
	}
	g.Slot(1).Thaw()

	status, err := client.Fence(background, slot, 5)
	if err != nil || status.AcceptedTerm != 5 || status.Role != group.Fenced {
		t.Fatalf("got %+v, %v", status, err)
	}
	g.Slot(1).Kill()
	if _, err := client.Status(background, slot); !errors.Is(err, group.ErrUnreachable) {
		t.Fatalf("got %v, want unreachable", err)
	}
	if err := g.Slot(1).Restart(); err != nil {
		t.Fatal(err)
	}
	if status, err := client.Promote(background, slot, 5); err != nil || status.Role != group.Primary {
		t.Fatalf("got %+v, %v", status, err)
	}
	if _, err := client.Follow(background, g.GroupSlots()[2], 5, slot.Address); err != nil {
		t.Fatal(err)
	}
}

// fenceUntilCancelled gives an order and cancels it once it cannot be about to be answered.
func fenceUntilCancelled(t *testing.T, g *dbgroup.Group, client *pgcontrol.Client, slot group.Slot) error {
	t.Helper()
	ctx, cancel := context.WithCancel(background)
	done := make(chan error, 1)
	go func() {
		_, err := client.Fence(ctx, slot, 4)
		done <- err
	}()
	wantNoAnswer(t, done, connect(t, g.Slot(0)))
	cancel()
	return <-done
}

// Guards against an order on a connection that the slot has closed, which
// would count as possibly executed.
func TestControlReconnects(t *testing.T) {
	g := startGroup(t, nil)
	slot := g.GroupSlots()[1]
	client := pgcontrol.New(pgcontrol.Options{})
	defer client.Close()
	for term := group.Term(2); term < 6; term++ {
		if _, err := client.Fence(background, slot, term); err != nil {
			t.Fatal(err)
		}
		g.Slot(1).Kill()
		if err := g.Slot(1).Restart(); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against faults that another process cannot switch, or a malformed
// change that is applied in part.
func TestAdmin(t *testing.T) {
	g := startGroup(t, nil)
	server := httptest.NewServer(dbgroup.Admin(g))
	defer server.Close()
	client := dbgroup.AdminClient{URL: server.URL, HTTP: server.Client()}
	yes, limit, cut := true, 7, []int{0, 2}
	clients, bad := []string{"127.0.9.1", "127.0.8.0/24"}, []string{"somewhere"}
	state, err := client.SetFaults(background, testDatabase, 1, dbgroup.Faults{
		Leaving: &yes, ConnectionLimit: &limit, CutSlots: &cut, CutClients: &clients, Frozen: &yes,
	})
	if err != nil || !state.Status.Leaving || state.Status.ConnectionLimit != limit || !state.Frozen || len(state.CutClients) != 2 {
		t.Fatalf("got %+v, %v", state, err)
	}
	if _, err := client.SetFaults(background, testDatabase, 1, dbgroup.Faults{Killed: &yes, CutClients: &bad}); err == nil || !g.Slot(1).Running() {
		t.Fatalf("a malformed change was applied: %v", err)
	}
	if _, err := client.SetFaults(background, testDatabase, 1, dbgroup.Faults{Killed: &yes}); err != nil || g.Slot(1).Running() {
		t.Fatalf("the slot still runs: %v", err)
	}
	groups, err := client.Groups(background)
	if err != nil || len(groups) != 1 || groups[0].Slots[1].Running {
		t.Fatalf("got %+v, %v", groups, err)
	}
}
