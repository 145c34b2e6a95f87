package fleet

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/sirupsen/logrus"

	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/core/lease"
	"github.com/gypsumgap/gypsumgap/core/objects"
	"github.com/gypsumgap/gypsumgap/core/writelease"
)

// The store holds one object a service with its highest revoked term, and one that
// names the era in which these are complete. When the store goes back to an older
// copy, it may forget revocations. Hosts that had a valid write lease then know all
// on which a promotion rests; they write them back and then raise the era. No host
// proves a lease by the store before that.

// revocationEraName is the name of the object that holds the era in which the stored
// revocations are complete.
const revocationEraName = "_era"

// revocationRecord is the stored form of the revocation of a service.
type revocationRecord struct {
	// Term is the highest revoked term.
	Term group.Term `json:"term"`
	// Era is set only in the object revocationEraName.
	Era uint64 `json:"era,omitempty"`
}

// storedRevocations are the revocations in the store.
type storedRevocations struct {
	revoked writelease.Revocations
	// era is the era of the store, and completeEra that in which the stored
	// revocations are complete; 0 if that was never stored.
	era, completeEra uint64
}

func (s storedRevocations) complete() bool { return s.completeEra == s.era }

func (c *controller) decodeRevocations(list objects.Snapshot) storedRevocations {
	out := storedRevocations{revoked: writelease.Revocations{}, era: list.Revision.Era()}
	for _, o := range list.Objects {
		var r revocationRecord
		switch {
		case !decode(o.Value, &r):
			c.log.WithFields(logrus.Fields{"event": "revocation_skipped", "service": o.Name, "revision": o.Revision}).
				Error("stored revocation could not be decoded; ignoring it until it is written again")
		case o.Name == revocationEraName:
			out.completeEra = r.Era
		default:
			out.revoked[o.Name] = r.Term
		}
	}
	return out
}

// completeRevocations writes back the revocations that the store has forgotten, if
// this host may do that.
func (c *controller) completeRevocations(stored storedRevocations) {
	if c.completingRevocations || stored.era != c.storeEra || !c.mayCompleteRevocations(stored) {
		return
	}
	c.completingRevocations = true
	c.runAsync(func(ctx context.Context) {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		restored, err := c.writeRevocationsBack(callCtx, stored)
		c.post(ctx, func() {
			c.completingRevocations = false
			entry := c.log.WithFields(logrus.Fields{"event": "revocations_restored", "count": restored, "era": stored.era})
			if err != nil {
				entry.WithError(err).Warn("revocations could not be written back; no lease is proved by the store until they are")
				return
			}
			entry.Info("stored revocations are complete in the present era of the store")
		})
	})
}

// mayCompleteRevocations reports whether this host may declare the stored revocations
// complete. In a store that never held their era, none was forgotten, and the holder
// of the promotion duty declares it.
func (c *controller) mayCompleteRevocations(stored storedRevocations) bool {
	if stored.completeEra == 0 {
		return c.lease.Holding()
	}
	return writelease.RestoredStore{
		HadLease:  c.leasedEra == stored.era,
		HoldsDuty: c.lease.Holding(), UnknownPredecessor: slices.Contains(c.lease.Predecessors(), lease.UnknownHolder),
		SinceSeen: c.now().Sub(c.eraSeenAt),
	}.MayDeclareComplete()
}

// writeRevocationsBack raises the stored revocations to those that this host knows,
// and then marks them as complete. It returns the number of those that it raised.
func (c *controller) writeRevocationsBack(ctx context.Context, stored storedRevocations) (restored int, err error) {
	for service, term := range c.writeLease.Proof().Revoked {
		if stored.revoked[service] >= term {
			continue
		}
		if err := storeRevocation(ctx, c.store, service, term); err != nil {
			return restored, err
		}
		restored++
	}
	return restored, storeRecord(ctx, c.store, revocationEraName, revocationRecord{Era: stored.era},
		func(old revocationRecord) bool { return old.Era >= stored.era })
}

// storeRevocation raises the stored revocation of a service to the term.
func storeRevocation(ctx context.Context, store objects.Store, service string, term group.Term) error {
	return storeRecord(ctx, store, service, revocationRecord{Term: term}, func(old revocationRecord) bool { return old.Term >= term })
}

// storeRecord replaces a stored record unless the present one suffices.
func storeRecord(ctx context.Context, store objects.Store, name string, record revocationRecord, suffices func(revocationRecord) bool) error {
	stored, err := store.Get(ctx, objects.Revocations, name)
	if err != nil && !isNotFound(err) {
		return err
	}
	var old revocationRecord
	if decode(stored.Value, &old) && suffices(old) {
		return nil
	}
	value, err := json.Marshal(record)
	if err != nil {
		return err
	}
	_, err = store.Put(ctx, objects.Revocations, name, value, stored.Revision)
	return err
}
