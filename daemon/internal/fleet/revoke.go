package fleet

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/core/objects"
	"github.com/gypsumgap/gypsumgap/core/peerapi"
	"github.com/gypsumgap/gypsumgap/core/retry"
	"github.com/gypsumgap/gypsumgap/core/statement"
	"github.com/gypsumgap/gypsumgap/core/writelease"
	"github.com/gypsumgap/gypsumgap/daemon/internal/backend"
)

// Timeouts and limits of a revocation.
const (
	// revokeTimeout bounds one request to another host. It exceeds revokeDrainTime.
	revokeTimeout = 500 * time.Millisecond
	// revokeDrainTime is how long a host that is asked waits for its outstanding
	// statements on the revoked primary.
	revokeDrainTime = 300 * time.Millisecond
	// revokeRetryPause is the pause between rounds of requests.
	revokeRetryPause = 100 * time.Millisecond
	// revocationTimeout bounds a revocation. It exceeds the longest time that
	// writelease.Progress requires.
	revocationTimeout = writelease.VouchPeriod + writelease.Duration + 2*time.Second
	// maxStepDownRequests is the number of hosts that are asked at a time to make
	// the primary step down.
	maxStepDownRequests = 3
)

// errNotRevoked means that hosts may still use the primary. Nothing was ordered.
var errNotRevoked = errors.New("primary may still be in use by other hosts")

func isNotFound(err error) bool { return errors.Is(err, objects.ErrNotFound) }

// revocation makes all hosts stop using the primary of a service before its
// successor is ordered. See package writelease.
type revocation struct {
	lease   *writelease.Lease
	store   objects.Store
	peer    func(address string) peerapi.Peer
	host    string
	group   *backend.Group
	primary *backend.Pool
	// era is the era of the store in which this host holds the promotion duty.
	era uint64
	// predecessors holds the earlier holders that may still vouch.
	predecessors []string
	// registrations tells which registered hosts are live.
	registrations *hostRegistry
	now           func() time.Time
	// holdsDuty reports whether this host still holds the promotion duty.
	holdsDuty func() bool
	log       *logrus.Entry

	mu sync.Mutex
	// term is the revoked term.
	term group.Term
	// unconfirmed holds the addresses of the hosts that have not confirmed, by
	// name; confirmed holds the names of those that have.
	unconfirmed map[string]string
	confirmed   map[string]bool
	progress    writelease.Progress
	// reaching holds the addresses of hosts that reach the primary.
	reaching []string
	// steppedDownAt is the end of the primary's log when it stepped down.
	steppedDownAt group.Position
}

// finalPosition returns the end of the primary's log when it stepped down, or the
// zero position if it did not.
func (r *revocation) finalPosition() group.Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.steppedDownAt
}

// run returns nil once no host uses the primary any more. It fails with
// errNotRevoked. Hosts are not told before the revocation is stored: otherwise they
// would stop using a primary that may not be replaced.
func (r *revocation) run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, revocationTimeout)
	startedAt := r.now()
	var background sync.WaitGroup
	defer background.Wait()
	defer cancel()
	for asked := false; ; asked = true {
		if err := r.storeAndList(ctx); err != nil {
			return fmt.Errorf("%w: revocation could not be stored: %w", errNotRevoked, err)
		}
		if !asked {
			background.Go(func() { r.stepDownDirectly(ctx) })
		}
		r.askHosts(ctx)
		r.confirmLocally(ctx)
		if r.isComplete() {
			break
		}
		_ = retry.Sleep(ctx, revokeRetryPause)
		if ctx.Err() != nil || !r.holdsDuty() {
			return fmt.Errorf("%w after %s", errNotRevoked, r.now().Sub(startedAt).Round(time.Millisecond))
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.log.WithFields(logrus.Fields{"event": "primary_revoked", "revoked_term": r.term, "stepped_down": r.progress.SteppedDown,
		"unconfirmed": len(r.unconfirmed), "took_ms": r.now().Sub(startedAt).Milliseconds()}).Info("no host uses the former primary any more")
	return nil
}

func (r *revocation) revokedTerm() group.Term {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.term
}

func (r *revocation) recordLocally() {
	r.lease.Revoke(writelease.Revocations{r.group.Name(): r.revokedTerm()})
	r.group.ApplyRevocations()
}

// storeAndList writes the revocation to the store and then lists the hosts,
// unless that was done for the present term.
func (r *revocation) storeAndList(ctx context.Context) error {
	pauses := backoff{limit: maxRetryPause}
	for !r.isStored() {
		err := r.storeOnce(ctx)
		if err == nil {
			continue
		}
		pauses.wait(ctx)
		if ctx.Err() != nil || !r.holdsDuty() {
			return err
		}
	}
	return nil
}

func (r *revocation) isStored() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.progress.HostsListed
}

func (r *revocation) storeOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	term := r.revokedTerm()
	if err := storeRevocation(ctx, r.store, r.group.Name(), term); err != nil {
		return err
	}
	// From here on, neither the store nor this host proves leases without knowledge
	// of the revocation.
	r.recordLocally()
	recordedAt := r.now()
	snapshot, err := r.store.List(ctx, objects.Hosts, false)
	if err != nil {
		return err
	}
	if era := snapshot.Revision.Era(); era != r.era {
		// The list may lack hosts that have leases.
		return fmt.Errorf("%w: the duty is held in era %d of the store, which is in era %d", objects.ErrCompacted, r.era, era)
	}
	r.recordHosts(snapshot, term, recordedAt)
	return nil
}

// recordHosts records that the revocation of the term was stored, and the hosts
// that must confirm it, which were listed later.
func (r *revocation) recordHosts(list objects.Snapshot, term group.Term, recordedAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if term != r.term {
		return
	}
	r.unconfirmed, r.confirmed = map[string]string{}, map[string]bool{}
	for name, registered := range r.registrations.observe(list, r.now()) {
		if name != r.host {
			r.unconfirmed[name] = registered.PeerAddress
		}
	}
	r.progress.RecordedAt, r.progress.HostsListed = recordedAt, true
}

// isComplete evaluates the progress.
func (r *revocation) isComplete() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.progress.Unconfirmed = len(r.unconfirmed)
	r.progress.SilentPredecessor = false
	for _, name := range r.predecessors {
		if !r.confirmed[name] {
			r.progress.SilentPredecessor = true
		}
	}
	return r.progress.Complete(r.now())
}

// confirmLocally waits for the statements of this host. Until they have ended,
// this host counts as one that has not confirmed.
func (r *revocation) confirmLocally(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, revokeDrainTime)
	defer cancel()
	drained := r.group.DrainRevoked(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	if drained {
		delete(r.unconfirmed, r.host)
		return
	}
	r.unconfirmed[r.host] = ""
}

// askHosts sends the revocation to the hosts that have not confirmed it, and asks
// some hosts that reach the primary to make it step down.
func (r *revocation) askHosts(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, revokeTimeout)
	defer cancel()
	requests := r.nextRequests()
	var running sync.WaitGroup
	for name, request := range requests {
		running.Go(func() {
			response, err := r.peer(request.address).Revoke(ctx, request.message)
			if err == nil {
				r.recordResponse(name, request.address, response)
			}
		})
	}
	running.Wait()
}

// revokeRequest is a request to a host at an address.
type revokeRequest struct {
	address string
	message *peerapi.RevokeRequest
}

// nextRequests returns the requests of the next round by host.
func (r *revocation) nextRequests() map[string]revokeRequest {
	revoked := &peerapi.RevokedTerm{Service: r.group.Name(), Term: uint64(r.revokedTerm())}
	r.mu.Lock()
	defer r.mu.Unlock()
	requests := map[string]revokeRequest{}
	add := func(name, address string, stepDown bool) {
		message := &peerapi.RevokeRequest{Revoked: revoked, StepDown: stepDown}
		if r.primary != nil {
			message.Primary = r.primary.Server().ID
		}
		requests[name] = revokeRequest{address, message}
	}
	for name, address := range r.unconfirmed {
		if address != "" {
			add(name, address, false)
		}
	}
	for _, address := range r.reaching[:min(maxStepDownRequests, len(r.reaching))] {
		add("step down "+address, address, true)
	}
	r.reaching = r.reaching[min(maxStepDownRequests, len(r.reaching)):]
	return requests
}

// recordResponse records the response of a host.
func (r *revocation) recordResponse(name, address string, response *peerapi.RevokeResponse) {
	position := group.Position{Term: group.Term(response.GetPositionTerm()), Offset: response.GetPositionOffset()}
	r.mu.Lock()
	defer r.mu.Unlock()
	if response.GetSteppedDown() {
		r.recordStepDown(position)
	}
	if response.GetReachesPrimary() && !r.progress.SteppedDown {
		r.reaching = append(r.reaching, address)
	}
	if term := group.Term(response.GetTerm()); term > r.term {
		// The service is in a higher term than this host knew, so the revocation has to
		// be repeated.
		r.raiseTerm(term)
		return
	}
	if _, asked := r.unconfirmed[name]; !asked || !response.GetConfirmed() {
		return
	}
	delete(r.unconfirmed, name)
	r.confirmed[name] = true
	for _, predecessor := range r.predecessors {
		if predecessor == name {
			r.progress.PredecessorsConfirmedAt = r.now()
		}
	}
}

// raiseTerm starts the revocation again with a higher term. The caller holds r.mu.
func (r *revocation) raiseTerm(term group.Term) {
	r.term = term
	r.progress.RecordedAt, r.progress.HostsListed = time.Time{}, false
	r.progress.PredecessorsConfirmedAt = time.Time{}
	clear(r.confirmed)
}

// recordStepDown records that the primary stepped down. The caller holds r.mu.
func (r *revocation) recordStepDown(position group.Position) {
	r.progress.SteppedDown = true
	if position.Compare(r.steppedDownAt) > 0 {
		r.steppedDownAt = position
	}
}

// stepDownDirectly asks the primary to step down, if this host reaches it.
func (r *revocation) stepDownDirectly(ctx context.Context) {
	if r.primary == nil {
		return
	}
	if status, ok := requestStepDown(ctx, r.primary, r.revokedTerm()); ok {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.recordStepDown(status.Received)
	}
}

// requestStepDown asks a server to step down as the primary of the term, and
// reports whether it confirmed.
func requestStepDown(ctx context.Context, p *backend.Pool, term group.Term) (statement.ServerStatus, bool) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	status, err := p.SendCommand(ctx, statement.Statement{Kind: statement.Demote, Term: term + 1})
	return status, err == nil && !status.Primary
}

// Revoke records a revocation, makes the primary step down if asked to, and waits
// for the statements of this host on primaries of revoked terms.
func (s peerServer) Revoke(ctx context.Context, r *peerapi.RevokeRequest) (*peerapi.RevokeResponse, error) {
	if s.writeLease == nil {
		return nil, errNotServed
	}
	service, term := r.GetRevoked().GetService(), group.Term(r.GetRevoked().GetTerm())
	s.writeLease.Revoke(writelease.Revocations{service: term})
	g := s.published.View().Groups[service]
	if g == nil {
		// This host does not know the service, so it uses none of its servers.
		return &peerapi.RevokeResponse{Confirmed: true}, nil
	}
	h := g.Health()
	response := &peerapi.RevokeResponse{
		Term:           uint64(g.HighestTerm()),
		ReachesPrimary: h.Primary != "" && h.Primary == r.GetPrimary() && !h.Suspected && s.now().Sub(h.VerifiedAt) < reachProofAge,
	}
	g.ApplyRevocations()
	if r.GetStepDown() {
		stepDown(ctx, g, r.GetPrimary(), term, response)
	}
	drainCtx, cancel := context.WithTimeout(ctx, revokeDrainTime)
	defer cancel()
	response.Confirmed = g.DrainRevoked(drainCtx)
	return response, nil
}

// reachProofAge is the age of the last proof of the primary up to which a host
// reports that it reaches it.
const reachProofAge = 2 * time.Second

// stepDown asks a server to step down as the primary of the term.
func stepDown(ctx context.Context, g *backend.Group, server string, term group.Term, response *peerapi.RevokeResponse) {
	for _, p := range g.Pools() {
		if p.Server().ID != server {
			continue
		}
		if status, ok := requestStepDown(ctx, p, term); ok {
			response.SteppedDown = true
			response.PositionTerm, response.PositionOffset = uint64(status.Received.Term), status.Received.Offset
		}
	}
}
