package fleet

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/core/objects"
	"github.com/gypsumgap/gypsumgap/core/peerapi"
	"github.com/gypsumgap/gypsumgap/core/writelease"
)

// Timeouts and limits of the renewal of the write lease.
const (
	// proofTimeout bounds one request for a proof.
	proofTimeout = 400 * time.Millisecond
	// urgentRenewInterval replaces writelease.RenewInterval while the proof is old.
	urgentRenewInterval = 300 * time.Millisecond
	// oldRelayProof is the age of its proof above which a relay, and oldProof that
	// above which any other host, asks further sources. While the store is down, a
	// relay has its proofs from the holder, and the others theirs from the relay.
	oldRelayProof = 900 * time.Millisecond
	oldProof      = 1700 * time.Millisecond
	// randomSources is the number of randomly chosen hosts that are asked for a
	// proof while the own one is old.
	randomSources = 2
)

// leaseRenewal is the state of the renewal of the write lease.
type leaseRenewal struct {
	// pending counts the requests for proofs that have not ended.
	pending   int
	startedAt time.Time
	// registered is true if the host was registered when the last renewal started.
	registered bool
	// valid is true if the lease was valid at the last check.
	valid bool
}

// vouching is the time until which this host, as the holder of the promotion duty,
// may prove the leases of other hosts, and the era in which it holds the duty. It is
// safe for concurrent use.
type vouching struct{ current atomic.Pointer[vouch] }

type vouch struct {
	until time.Time
	era   uint64
}

func (v *vouching) set(until time.Time, era uint64) { v.current.Store(&vouch{until, era}) }
func (v *vouching) clear()                          { v.current.Store(nil) }

// allowed returns the era for which the host vouches now, if it does.
func (v *vouching) allowed(now time.Time) (era uint64, ok bool) {
	current := v.current.Load()
	if current == nil || !now.Before(current.until) {
		return 0, false
	}
	return current.era, true
}

// stepWriteLease renews the write lease of this host, and updates whether it may
// vouch for others.
func (c *controller) stepWriteLease() {
	if c.writeLease == nil {
		return
	}
	now := c.now()
	c.updateVouching(now)
	c.recordWriteLease(now)
	isRelay := c.chooseRelay(now) == ""
	age := c.writeLease.Age(now)
	isOld := age >= oldProof || isRelay && age >= oldRelayProof
	if c.leaseRenewal.pending > 0 || !c.isRenewalDue(now, isOld) {
		return
	}
	c.leaseRenewal.startedAt, c.leaseRenewal.registered = now, c.writeLease.IsRegistered(now)
	for _, source := range c.proofSources(now, isRelay, isOld) {
		c.leaseRenewal.pending++
		c.runAsync(func(ctx context.Context) {
			callCtx, cancel := context.WithTimeout(ctx, proofTimeout)
			defer cancel()
			source(callCtx, now)
			c.post(ctx, func() {
				c.leaseRenewal.pending--
				c.applyRevocations()
			})
		})
	}
}

// isRenewalDue reports whether the lease is to be renewed now. Samples renew it as
// well, but a new holder has to read the store, and a host that has just registered
// needs a proof that is younger than its registration.
func (c *controller) isRenewalDue(now time.Time, isOld bool) bool {
	age := now.Sub(c.leaseRenewal.startedAt)
	switch {
	case !c.leaseRenewal.registered && c.writeLease.IsRegistered(now):
		return true
	case isOld || c.mustReadRevocations():
		return age >= urgentRenewInterval
	default:
		return age >= writelease.RenewInterval && c.writeLease.Age(now) >= writelease.RenewInterval
	}
}

// mustReadRevocations reports whether this host holds the promotion duty and has
// not read what earlier holders revoked. It does not vouch before that.
func (c *controller) mustReadRevocations() bool {
	return c.lease.Holding() && (!c.revocationsReadAt.After(c.lease.ClaimedAt()) || c.revocationsReadEra != c.lease.Era())
}

// updateVouching lets this host vouch while it holds the promotion duty. It must
// first have read the revocations that earlier holders stored.
func (c *controller) updateVouching(now time.Time) {
	if !c.lease.Holding() || c.draining || c.mustReadRevocations() || !writelease.CanVouch(now, c.lease.RenewedAt()) {
		c.vouching.clear()
		return
	}
	c.vouching.set(c.lease.RenewedAt().Add(writelease.VouchPeriod), c.lease.Era())
	c.writeLease.Renew(writelease.Proof{RequestedAt: now, Era: c.lease.Era()})
}

// recordWriteLease updates the metrics of the lease, and logs when it is lost or
// regained.
func (c *controller) recordWriteLease(now time.Time) {
	valid := c.writeLease.Valid(now)
	c.scope.Gauge("write_lease_proof_age_seconds").Update(c.writeLease.Age(now).Seconds())
	c.scope.Gauge("write_lease_valid").Update(map[bool]float64{true: 1}[valid])
	if valid == c.leaseRenewal.valid {
		return
	}
	c.leaseRenewal.valid = valid
	entry := c.log.WithFields(logrus.Fields{"event": "write_lease", "valid": valid, "proof_age_ms": c.writeLease.Age(now).Milliseconds(), "holder": c.lease.Holder()})
	if valid {
		entry.Info("write lease is valid; primaries may be used")
		return
	}
	entry.Warn("write lease expired; statements that need a primary are refused")
}

// proofSource requests a proof and renews the lease by it. requestedAt is the
// time of the request.
type proofSource func(ctx context.Context, requestedAt time.Time)

// proofSources returns the sources to ask now. The relay of each availability zone
// reads the store, and the other hosts ask their relay. A host whose proof is old
// also asks the holder of the promotion duty and some other hosts.
func (c *controller) proofSources(now time.Time, isRelay, isOld bool) []proofSource {
	var sources []proofSource
	if relay := c.chooseRelay(now); isRelay {
		sources = append(sources, c.proveByStore)
	} else {
		sources = append(sources, c.proveByPeer(relay))
	}
	if !isRelay && c.mustReadRevocations() {
		sources = append(sources, c.proveByStore)
	}
	if !isOld {
		return sources
	}
	if holder := c.lease.Holder(); holder != c.host && c.peers[holder].address != "" {
		sources = append(sources, c.proveByPeer(holder))
	}
	names := make([]string, 0, len(c.peers))
	for name := range c.peers {
		names = append(names, name)
	}
	for range min(randomSources, len(names)) {
		sources = append(sources, c.proveByPeer(names[rand.N(len(names))]))
	}
	if !isRelay && c.writeLease.Age(now) >= writelease.Duration {
		sources = append(sources, c.proveByStore)
	}
	return sources
}

// proveByStore reads the stored revocations. They prove nothing while the store may
// have forgotten some of them.
func (c *controller) proveByStore(ctx context.Context, requestedAt time.Time) {
	snapshot, err := c.store.List(ctx, objects.Revocations, false)
	if err != nil {
		return
	}
	stored := c.decodeRevocations(snapshot)
	if !stored.complete() {
		c.writeLease.Revoke(stored.revoked)
		c.post(ctx, func() {
			c.observeEra(snapshot.Revision)
			c.completeRevocations(stored)
		})
		return
	}
	c.writeLease.Renew(writelease.Proof{RequestedAt: requestedAt, Era: stored.era, Revoked: stored.revoked})
	c.post(ctx, func() {
		c.observeEra(snapshot.Revision)
		c.revocationsReadAt, c.revocationsReadEra = requestedAt, stored.era
	})
}

// proveByPeer returns a source that asks another host.
func (c *controller) proveByPeer(host string) proofSource {
	client := c.peer(c.peers[host].address)
	return func(ctx context.Context, requestedAt time.Time) {
		r, err := client.WriteLease(ctx, &peerapi.WriteLeaseRequest{})
		if err != nil {
			c.post(ctx, func() { c.recordRelayFailure(host, err) })
			return
		}
		c.renewWriteLease(requestedAt, r)
	}
}

// renewWriteLease renews the lease by the answer of another host.
func (c *controller) renewWriteLease(requestedAt time.Time, r *peerapi.WriteLeaseResponse) {
	if c.writeLease == nil || r == nil {
		return
	}
	revoked := revocationsFromMessage(r.GetRevoked())
	if !r.GetProven() {
		c.writeLease.Revoke(revoked)
		return
	}
	c.writeLease.Renew(writelease.Proof{
		RequestedAt: requestedAt.Add(-time.Duration(r.GetAgeUs()) * time.Microsecond), Era: r.GetEra(), Revoked: revoked,
	})
}

// applyRevocations makes the groups forget primaries that have been revoked.
func (c *controller) applyRevocations() {
	for _, g := range c.groups {
		g.ApplyRevocations()
	}
}

// WriteLease returns the latest proof of this host. The holder of the promotion
// duty proves by its word.
func (s peerServer) WriteLease(context.Context, *peerapi.WriteLeaseRequest) (*peerapi.WriteLeaseResponse, error) {
	if s.writeLease == nil {
		return nil, errNotServed
	}
	// The order matters: a revocation that is recorded between the two is passed on.
	now := s.now()
	era, vouches := s.vouching.allowed(now)
	proof := s.writeLease.Proof()
	if vouches && era >= proof.Era {
		proof.RequestedAt, proof.Era = now, era
	}
	response := &peerapi.WriteLeaseResponse{Revoked: revocationsToMessage(proof.Revoked), Era: proof.Era}
	if age := s.now().Sub(proof.RequestedAt); age < writelease.Duration {
		response.Proven, response.AgeUs = true, uint64(max(age, 0)/time.Microsecond)+1
	}
	return response, nil
}

func revocationsToMessage(r writelease.Revocations) []*peerapi.RevokedTerm {
	var out []*peerapi.RevokedTerm
	for service, term := range r {
		out = append(out, &peerapi.RevokedTerm{Service: service, Term: uint64(term)})
	}
	return out
}

func revocationsFromMessage(revoked []*peerapi.RevokedTerm) writelease.Revocations {
	out := writelease.Revocations{}
	for _, r := range revoked {
		out.Merge(writelease.Revocations{r.GetService(): group.Term(r.GetTerm())})
	}
	return out
}
