package fleet

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/core/peerapi"
	"github.com/gypsumgap/gypsumgap/core/statement"
	"github.com/gypsumgap/gypsumgap/daemon/internal/backend"
)

// hostsByZone returns hosts named by zone and number.
func hostsByZone(zones, perZone int) map[string][]string {
	out := map[string][]string{}
	for z := range zones {
		for i := range perZone {
			zone := fmt.Sprint("z", z)
			out[zone] = append(out[zone], fmt.Sprintf("%s-h%d", zone, i))
		}
	}
	return out
}

// Guards against owners that are all in a few availability zones, so that the other
// zones send their statements far away, and against more owners than the
// connections allow.
func TestOwnersAreSpreadOverZones(t *testing.T) {
	for _, count := range []int{1, 4, 8, 24} {
		owners := selectOwners("service", count, hostsByZone(6, 23))
		total := 0
		for zone, hosts := range owners {
			total += len(hosts)
			if n := len(hosts); n < count/6 || n > count/6+1 {
				t.Errorf("zone %s has %d of %d owners", zone, n, count)
			}
		}
		if total != count {
			t.Errorf("got %d owners, want %d", total, count)
		}
	}
}

// Guards against the loss of one host that moves the connections of others.
func TestOwnersMoveOnlyWithTheirHost(t *testing.T) {
	hosts := hostsByZone(3, 20)
	before := selectOwners("service", 6, hosts)
	lost := before["z1"][0]
	hosts["z1"] = slices.DeleteFunc(slices.Clone(hosts["z1"]), func(h string) bool { return h == lost })
	after := selectOwners("service", 6, hosts)
	for zone, owners := range before {
		for _, o := range owners {
			if o != lost && !slices.Contains(after[zone], o) {
				t.Errorf("%s no longer owns connections although only %s was lost", o, lost)
			}
		}
	}
}

// fixedPeer answers Execute with a fixed response.
type fixedPeer struct {
	peerServer
	response *peerapi.ExecuteResponse
}

func (p fixedPeer) Execute(context.Context, *peerapi.ExecuteRequest) (*peerapi.ExecuteResponse, error) {
	return p.response, nil
}

// Guards against a malformed message of another host that ends the process or is
// taken for an answer.
func TestMalformedAnswersOfOwners(t *testing.T) {
	batch := backend.Batch{Statements: []statement.Statement{{Kind: statement.Read, Text: "READ a"}}, Timeout: time.Second}
	for name, response := range map[string]*peerapi.ExecuteResponse{
		"unknown code":     {Answers: []*peerapi.StatementAnswer{{Code: 99}}},
		"unknown state":    {Answers: []*peerapi.StatementAnswer{{State: 9}}},
		"no answer":        {},
		"too many answers": {Answers: []*peerapi.StatementAnswer{{}, {}}},
	} {
		_, err := peerOwner{name: "h", client: fixedPeer{response: response}}.Execute(context.Background(), "service", "s1", batch)
		if !errors.Is(err, errMalformedMessage) || errors.Is(err, backend.ErrNotSent) {
			t.Errorf("%s: got error %v, want one that does not say that nothing ran", name, err)
		}
	}
}

// Guards against statements that are reported as in doubt although a stopping owner has
// taken none of them: its refusal was read as a malformed answer, and no other owner was
// asked.
func TestStoppingOwnerTakesNoStatements(t *testing.T) {
	batch := backend.Batch{Statements: []statement.Statement{{Kind: statement.Write, Text: "WRITE a 1"}}, Timeout: time.Second}
	group := backend.NewGroup("service", backend.Options{Now: time.Now})
	defer group.Close()
	var published PublishedView
	for name, view := range map[string]View{
		"stopping":        {Draining: true, Groups: map[string]*backend.Group{"service": group}},
		"unknown service": {},
	} {
		published.view.Store(&view)
		owner := peerOwner{name: "h", client: peerServer{published: &published}}
		result, err := owner.Execute(context.Background(), "service", "s1", batch)
		if err != nil || !result.Unavailable || result.MayRun {
			t.Errorf("%s: got result %+v and error %v, want the owner to be unavailable and nothing to have run", name, result, err)
		}
	}
}

// Guards against commands that change the role of a server and come from a
// statement of another host, and against one that runs in the place of a prepare.
func TestForwardedStatementKinds(t *testing.T) {
	for kind := statement.Malformed - 1; kind <= statement.Demote+1; kind++ {
		message := statementToMessage(statement.Statement{Kind: kind})
		_, err := statementFromMessage(message)
		if allowed := kind >= statement.Begin && kind <= statement.Deallocate; allowed != (err == nil) {
			t.Errorf("statement kind %d: got error %v", kind, err)
		}
		if _, err := prepareFromMessage(message); (kind == statement.Prepare) != (err == nil) {
			t.Errorf("prepare of kind %d: got error %v", kind, err)
		}
	}
}

// Guards against statements and answers that change on their way between hosts.
func TestForwardedMessagesAreEqual(t *testing.T) {
	st := statement.Statement{ID: "1", Kind: statement.Execute, Text: "EXECUTE a b", Name: "a", Value: "v", Writes: true, Arguments: "b", MinPosition: group.Position{Term: 3, Offset: 4}}
	if got, err := statementFromMessage(statementToMessage(st)); err != nil || got != st {
		t.Errorf("got statement %+v and error %v, want %+v", got, err, st)
	}
	a := statement.Answer{Code: statement.Lagging, Detail: "d", Signature: "s", Rows: []string{"r"}, State: statement.Aborting, Position: group.Position{Term: 5, Offset: 6}}
	got, err := answerFromMessage(answerToMessage(a))
	if err != nil || got.Code != a.Code || got.Detail != a.Detail || got.Signature != a.Signature || !slices.Equal(got.Rows, a.Rows) || got.State != a.State || got.Position != a.Position {
		t.Errorf("got answer %+v and error %v, want %+v", got, err, a)
	}
}
