package cli_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/gypsumgap/gypsumgap/core/peerapi"
	"github.com/gypsumgap/gypsumgap/core/platform"
	"github.com/gypsumgap/gypsumgap/core/platform/platformtest"
	"github.com/gypsumgap/gypsumgap/ctl/internal/cli"
)

// fakeHost implements the operator API of a host that owns one fixed database.
type fakeHost struct {
	name string
	rank uint32
	term uint64
	// dropResponse makes a switchover take effect and drops its response.
	dropResponse bool
	// failSwitchover makes a switchover have no effect and drops its response.
	failSwitchover bool
	requests       []string
}

func (h *fakeHost) Status(_ context.Context, req *peerapi.StatusRequest) (*peerapi.StatusResponse, error) {
	resp := &peerapi.StatusResponse{Host: h.name, Zone: "randstad-a", State: "ready", ConfigVersion: 7}
	if req.Service != "" && req.Service != "werkplaats-db" {
		return resp, nil
	}
	resp.Databases = []*peerapi.DatabaseStatus{{
		Database:         "werkplaats-1-a",
		Service:          "werkplaats-db",
		Term:             h.term,
		PrimarySlot:      "werkplaats-1-a/0",
		ConnectionsUsed:  12,
		ConnectionsLimit: 45,
		LastAction:       "promoted werkplaats-1-a/0",
		LastReason:       "3 probes missed",
		LastActionUnixMs: uint64(time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC).UnixMilli()),
		OwnerRank:        h.rank,
		Slots: []*peerapi.SlotStatus{
			{Slot: "werkplaats-1-a/0", Role: "primary", Zone: "randstad-a", ReceivedTerm: 3, ReceivedOffset: 100, AppliedTerm: 3, AppliedOffset: 100, Reachable: true, Connections: 9},
			{Slot: "werkplaats-1-a/1", Role: "replica", Zone: "gelderland-a", ReceivedTerm: 3, ReceivedOffset: 90, AppliedTerm: 3, AppliedOffset: 80, Reachable: true, Leaving: true, AgeMs: 1500, Connections: 3},
			{Slot: "werkplaats-1-a/2", Zone: "brabant-a"},
		},
	}}
	return resp, nil
}

func (h *fakeHost) Switchover(_ context.Context, req *peerapi.SwitchoverRequest) (*peerapi.SwitchoverResponse, error) {
	h.requests = append(h.requests, "switchover "+req.Database+" "+req.ToSlot)
	if req.ToSlot == "werkplaats-1-a/2" {
		return nil, twirp.NewError(twirp.FailedPrecondition, "slot werkplaats-1-a/2 is unreachable")
	}
	if h.failSwitchover {
		panic(http.ErrAbortHandler)
	}
	h.term++
	if h.dropResponse {
		panic(http.ErrAbortHandler)
	}
	return &peerapi.SwitchoverResponse{Term: h.term, PrimarySlot: "werkplaats-1-a/0", PausedMs: 130}, nil
}

func (h *fakeHost) Drain(_ context.Context, req *peerapi.DrainRequest) (*peerapi.DrainResponse, error) {
	return &peerapi.DrainResponse{Running: req.TimeoutSeconds}, nil
}

// serveHost starts a server for a fake host and returns its address.
func serveHost(t *testing.T, h *fakeHost) string {
	t.Helper()
	server := httptest.NewUnstartedServer(peerapi.NewOperatorServer(h))
	server.Config.ErrorLog = nil
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// closedAddress returns an address on which no server listens.
func closedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// startHosts starts two hosts that own the database, with the ranks 0 and 1. The host
// list also has a third host, which cannot be reached.
func startHosts(t *testing.T) (*recorder, *fakeHost, *fakeHost) {
	t.Helper()
	first := &fakeHost{name: "e1", rank: 0, term: 3}
	second := &fakeHost{name: "e2", rank: 1, term: 3}
	store := platformtest.New(platformtest.Options{Hosts: []platform.Host{
		{Name: "e2", Address: serveHost(t, second)},
		{Name: "e1", Address: serveHost(t, first)},
		{Name: "e3", Address: closedAddress(t)},
	}})
	return &recorder{store: store}, first, second
}

// Guards against a status that omits an unreachable host, shows a database as
// reported by an owner of a higher rank, or fails because one host is unreachable.
func TestStatus(t *testing.T) {
	s, _, _ := startHosts(t)
	const at = "--platform=http://platform"
	wantStatus(t, s.run("status", at, "--slots"), cli.Done)
	wantStatus(t, s.run("status", at, "--service=another"), cli.Done)
	wantStatus(t, s.run("status"), cli.Usage)
	s.assert(t, "status")

	wantStatus(t, s.run("status", "--host="+closedAddress(t)), cli.Unreachable)
	s.store = platformtest.New(platformtest.Options{})
	wantStatus(t, s.run("status", at), cli.Unreachable)
}

// Guards against a switchover that is requested from another host than the owner with
// the lowest rank, and against refusals, lost responses and outages that get the same
// exit status.
func TestSwitchover(t *testing.T) {
	s, first, second := startHosts(t)
	const at = "--platform=http://platform"
	wantStatus(t, s.run("switchover", "werkplaats-1-a", at), cli.Done)
	wantStatus(t, s.run("switchover", "werkplaats-1-a", "--to=werkplaats-1-a/2", at), cli.Refused)
	wantStatus(t, s.run("switchover", "unknown", at), cli.Refused)
	first.dropResponse = true
	wantStatus(t, s.run("switchover", "werkplaats-1-a", at, "--output=json"), cli.Done)
	if len(first.requests) != 3 || len(second.requests) != 0 {
		t.Errorf("got requests %v to the first owner and %v to the second, want 3 and 0", first.requests, second.requests)
	}
	s.assert(t, "switchover")

	first.failSwitchover = true
	wantStatus(t, s.run("switchover", "werkplaats-1-a", at, "--timeout=1s"), cli.Unknown)
	wantStatus(t, s.run("switchover", "werkplaats-1-a", "--host="+closedAddress(t)), cli.Unreachable)
}

// Guards against a drain of a host other than the named one, given by its name or its
// address, and against a fraction of a second in --wait, which cannot be sent.
func TestDrain(t *testing.T) {
	s, first, _ := startHosts(t)
	const at = "--platform=http://platform"
	wantStatus(t, s.run("drain", "e1", "--wait=60s", at), cli.Done)
	wantStatus(t, s.run("drain", "e9", at), cli.Refused)
	wantStatus(t, s.run("drain", "e1", "--wait=1500ms", at), cli.Usage)
	s.assert(t, "drain")

	address := serveHost(t, first)
	wantStatus(t, s.run("drain", address), cli.Done)
	wantStatus(t, s.run("drain", "e3", at), cli.Unreachable)
	if !strings.Contains(s.out.String(), "host "+address+" is draining") {
		t.Errorf("host given by its address was not drained:\n%s", s.out.String())
	}
}
