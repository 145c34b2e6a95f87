package fleet

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/core/membership"
	"github.com/gypsumgap/gypsumgap/core/peerapi"
	"github.com/gypsumgap/gypsumgap/core/statement"
	"github.com/gypsumgap/gypsumgap/daemon/internal/backend"
)

// defaultTransactionIdleTimeout is the idle timeout of transactions that run on an
// owner if the configuration sets none.
const defaultTransactionIdleTimeout = 30 * time.Second

// The purposes of the hashes by which owners are selected and ordered.
const (
	ownerPurpose = "owner of connections to "
	entryPurpose = "owner preferred by "
)

// updateOwners tells each group which hosts run its statements.
func (c *controller) updateOwners() {
	idleTimeout := c.configuration.TransactionIdleTimeout
	if idleTimeout <= 0 {
		idleTimeout = defaultTransactionIdleTimeout
	}
	for name, g := range c.groups {
		g.SetTransactionIdleTimeout(idleTimeout)
		names := c.chooseOwners(name, backend.OwnerCount(c.configuration.Services[name].ConnectionLimit, c.hostCount))
		var owners []backend.Owner
		for _, host := range names {
			owners = append(owners, peerOwner{name: host, client: c.peer(c.peers[host].address)})
		}
		g.SetOwners(owners)
	}
}

// chooseOwners returns the hosts that run the statements of this host for a
// service, in the order of preference, or none if this host is an owner itself.
func (c *controller) chooseOwners(service string, count int) []string {
	if count == 0 {
		return nil
	}
	byZone := map[string][]string{c.zone: {c.host}}
	for name, p := range c.peers {
		byZone[p.zone] = append(byZone[p.zone], name)
	}
	owners := selectOwners(service, count, byZone)
	if slices.Contains(owners[c.zone], c.host) {
		return nil
	}
	var near, sameRegion, far []string
	for zone, hosts := range owners {
		switch {
		case zone == c.zone:
			near = append(near, hosts...)
		case c.isSameRegion(zone):
			sameRegion = append(sameRegion, hosts...)
		default:
			far = append(far, hosts...)
		}
	}
	purpose := entryPurpose + c.host
	return slices.Concat(membership.RankHosts(purpose, near), membership.RankHosts(purpose, sameRegion), membership.RankHosts(purpose, far))
}

// selectOwners distributes the owners of a service over the availability zones, and
// selects them in each zone by rendezvous hashing, so that hosts with the same list
// select the same owners.
func selectOwners(service string, count int, byZone map[string][]string) map[string][]string {
	purpose := ownerPurpose + service
	zones := membership.RankHosts(purpose, slices.Collect(maps.Keys(byZone)))
	owners := map[string][]string{}
	for i, zone := range zones {
		quota := count / len(zones)
		if i < count%len(zones) {
			quota++
		}
		hosts := membership.RankHosts(purpose, byZone[zone])
		owners[zone] = hosts[:min(quota, len(hosts))]
	}
	return owners
}

// peerOwner is an owner that is reached over the hosts' own protocol.
type peerOwner struct {
	name   string
	client peerapi.Peer
}

// Name returns the name of the host.
func (o peerOwner) Name() string { return o.name }

// Execute implements backend.Owner.
func (o peerOwner) Execute(ctx context.Context, service, server string, b backend.Batch) (backend.BatchResult, error) {
	request := &peerapi.ExecuteRequest{
		Service: service, Server: server, Handle: b.Handle, Release: b.Release, Values: b.Session.Values, AsPrimary: b.AsPrimary, Priority: uint32(b.Priority),
		TimeoutMs: uint64(b.Timeout.Milliseconds()), IdleTimeoutMs: uint64(b.IdleTimeout.Milliseconds()),
	}
	for _, s := range b.Statements {
		request.Statements = append(request.Statements, statementToMessage(s))
	}
	if b.Session.Prepare != nil {
		request.Prepare = statementToMessage(*b.Session.Prepare)
	}
	r, err := o.client.Execute(ctx, request)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" || errors.Is(err, errNotServed) {
			return backend.BatchResult{}, fmt.Errorf("%w: %w", backend.ErrNotSent, err)
		}
		return backend.BatchResult{}, err
	}
	result := backend.BatchResult{Failure: r.GetFailure(), MayRun: r.GetMayRun(), Unavailable: r.GetUnavailable(), Overloaded: r.GetOverloaded(), Handle: r.GetHandle()}
	for _, m := range r.GetAnswers() {
		a, err := answerFromMessage(m)
		if err != nil {
			return backend.BatchResult{}, err
		}
		result.Answers = append(result.Answers, a)
	}
	if result.Failure == "" && !result.Unavailable && len(result.Answers) != len(b.Statements) {
		return backend.BatchResult{}, fmt.Errorf("%w: %d answers to %d statements", errMalformedMessage, len(result.Answers), len(b.Statements))
	}
	return result, nil
}

// errMalformedMessage means that another host sent a message that is not valid.
var errMalformedMessage = errors.New("malformed message of another host")

// Execute runs statements of another host on connections of this one. A host that
// is stopping takes no new transactions.
func (s peerServer) Execute(ctx context.Context, r *peerapi.ExecuteRequest) (*peerapi.ExecuteResponse, error) {
	view := s.published.View()
	g := view.Groups[r.GetService()]
	if g == nil || view.Draining && r.GetHandle() == "" {
		return &peerapi.ExecuteResponse{Unavailable: true}, nil
	}
	b := backend.Batch{
		Handle: r.GetHandle(), Release: r.GetRelease(), Session: backend.Session{Values: r.GetValues()}, AsPrimary: r.GetAsPrimary(), Priority: int(r.GetPriority()),
		Timeout: time.Duration(r.GetTimeoutMs()) * time.Millisecond, IdleTimeout: time.Duration(r.GetIdleTimeoutMs()) * time.Millisecond,
	}
	for _, m := range r.GetStatements() {
		st, err := statementFromMessage(m)
		if err != nil {
			return nil, twirp.InvalidArgumentError("statements", err.Error())
		}
		b.Statements = append(b.Statements, st)
	}
	if m := r.GetPrepare(); m != nil {
		st, err := prepareFromMessage(m)
		if err != nil {
			return nil, twirp.InvalidArgumentError("prepare", err.Error())
		}
		b.Session.Prepare = &st
	}
	if len(b.Statements) == 0 && !b.Release {
		return &peerapi.ExecuteResponse{Failure: "request has no statements"}, nil
	}
	result := g.Execute(ctx, r.GetServer(), b)
	response := &peerapi.ExecuteResponse{Failure: result.Failure, MayRun: result.MayRun, Handle: result.Handle, Overloaded: result.Overloaded}
	for _, a := range result.Answers {
		response.Answers = append(response.Answers, answerToMessage(a))
	}
	return response, nil
}

func statementToMessage(s statement.Statement) *peerapi.SentStatement {
	return &peerapi.SentStatement{
		Id: s.ID, Kind: uint32(s.Kind), Text: s.Text, Name: s.Name, Value: s.Value, Writes: s.Writes, Arguments: s.Arguments,
		MinTerm: uint64(s.MinPosition.Term), MinOffset: s.MinPosition.Offset,
	}
}

// statementFromMessage fails with errMalformedMessage. Commands that change the role
// of a backend server are not accepted.
func statementFromMessage(m *peerapi.SentStatement) (statement.Statement, error) {
	kind := statement.Kind(m.GetKind())
	if kind < statement.Begin || kind > statement.Deallocate {
		return statement.Statement{}, fmt.Errorf("%w: statement kind %d", errMalformedMessage, m.GetKind())
	}
	return statement.Statement{
		ID: m.GetId(), Kind: kind, Text: m.GetText(), Name: m.GetName(), Value: m.GetValue(), Writes: m.GetWrites(), Arguments: m.GetArguments(),
		MinPosition: group.Position{Term: group.Term(m.GetMinTerm()), Offset: m.GetMinOffset()},
	}, nil
}

// prepareFromMessage fails with errMalformedMessage unless the statement prepares
// another one.
func prepareFromMessage(m *peerapi.SentStatement) (statement.Statement, error) {
	st, err := statementFromMessage(m)
	if err == nil && st.Kind != statement.Prepare {
		err = fmt.Errorf("%w: statement kind %d instead of a prepare", errMalformedMessage, st.Kind)
	}
	return st, err
}

func answerToMessage(a statement.Answer) *peerapi.StatementAnswer {
	return &peerapi.StatementAnswer{
		Code: uint32(a.Code), Detail: a.Detail, Signature: a.Signature, Rows: a.Rows, State: uint32(a.State),
		Term: uint64(a.Position.Term), Offset: a.Position.Offset,
	}
}

// answerFromMessage fails with errMalformedMessage.
func answerFromMessage(m *peerapi.StatementAnswer) (statement.Answer, error) {
	code, state := statement.Code(m.GetCode()), statement.State(m.GetState())
	if !code.IsValid() || state < statement.Idle || state > statement.Aborting {
		return statement.Answer{}, fmt.Errorf("%w: code %d, state %d", errMalformedMessage, m.GetCode(), m.GetState())
	}
	return statement.Answer{
		Code: code, Detail: m.GetDetail(), Signature: m.GetSignature(), Rows: m.GetRows(), State: state,
		Position: group.Position{Term: group.Term(m.GetTerm()), Offset: m.GetOffset()},
	}, nil
}
