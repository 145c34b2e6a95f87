package writelease

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/core/lease"
	"github.com/gypsumgap/gypsumgap/core/objects"
)

// The model plays the whole decision with the real Lease and Progress: hosts that
// renew their leases by the store or by each other, holders of the promotion duty
// that succeed each other, and servers that go on as the primary when they are
// replaced. Messages are delayed, reordered, lost and duplicated; hosts stand still
// and restart; the store goes back to older copies. No commit may be executed by a
// server after its successor was ordered.

const (
	modelHosts   = 4
	modelService = "s"
	// modelMaxMessageTime is the longest time that a message takes.
	modelMaxMessageTime = 4 * time.Second
)

type model struct {
	now   time.Time
	hosts [modelHosts]*modelHost
	store modelStore
	// backup is the copy to which the store goes back.
	backup modelStore
	// messages are delivered when they are due, unless they are lost.
	messages []modelMessage
	// orderedTerm is the highest term for which a promotion was ordered.
	orderedTerm group.Term
}

type modelMessage struct {
	due     time.Time
	deliver func()
}

// modelStore is the platform's store. Its operations are atomic.
type modelStore struct {
	revoked group.Term
	// registered holds the registered hosts.
	registered [modelHosts]bool
	// duty is the record of the promotion lease, and dutyNumber the number of its
	// revision.
	duty       lease.Record
	dutyNumber uint64
	// era is the era of the store, and completeEra that in which the revocations were
	// declared complete.
	era, completeEra uint64
}

func (s modelStore) dutyRevision() objects.Revision { return objects.NewRevision(s.era, s.dutyNumber) }

type modelHost struct {
	m           *model
	index       int
	incarnation int
	lease       *Lease
	// pausedUntil is when the host runs again.
	pausedUntil time.Time
	// inFlight counts the commits sent that have not been executed.
	inFlight int
	// knownTerm is the term of the primary that the host uses.
	knownTerm group.Term
	duty      *lease.Machine
	// era is the highest era of the store that the host has seen, since eraSeenAt, and
	// leasedEra is that era if the host had a valid lease then.
	era, leasedEra     uint64
	eraSeenAt          time.Time
	revocationsReadAt  time.Time
	revocationsReadEra uint64
	revocation         *modelRevocation
}

// modelRevocation is a revocation by a holder.
type modelRevocation struct {
	term group.Term
	// era is the era in which the holder holds the duty. A list of another era lacks
	// hosts that the store has forgotten.
	era         uint64
	progress    Progress
	unconfirmed map[int]bool
	confirmed   map[int]bool
}

func newModel() *model {
	m := &model{now: start, orderedTerm: 1, store: modelStore{era: 1, completeEra: 1}}
	m.backup = m.store
	for i := range m.hosts {
		m.hosts[i] = &modelHost{m: m, index: i}
		m.hosts[i].restart()
	}
	return m
}

// restart replaces the host's process.
func (h *modelHost) restart() {
	incarnation := h.incarnation + 1
	*h = modelHost{m: h.m, index: h.index, incarnation: incarnation, lease: New(), knownTerm: h.m.orderedTerm}
	h.duty = lease.New(fmt.Sprint(h.index), fmt.Sprint(incarnation), 0)
}

// send delivers a message after the delay to the host if it still runs, unless it
// is lost.
func (m *model) send(t *rapid.T, to *modelHost, deliver func()) {
	copies := rapid.SampledFrom([]int{1, 1, 1, 1, 0, 2}).Draw(t, "copies")
	incarnation := 0
	if to != nil {
		incarnation = to.incarnation
	}
	for range copies {
		delay := time.Duration(rapid.IntRange(1, 100).Draw(t, "delay ms")) * time.Millisecond
		if rapid.IntRange(0, 9).Draw(t, "slow") == 0 {
			delay = time.Duration(rapid.IntRange(0, int(modelMaxMessageTime/time.Millisecond)).Draw(t, "long delay ms")) * time.Millisecond
		}
		m.schedule(m.now.Add(delay), to, incarnation, deliver)
	}
}

// schedule delivers a message at the due time, or when the host runs again.
func (m *model) schedule(due time.Time, to *modelHost, incarnation int, deliver func()) {
	m.messages = append(m.messages, modelMessage{due, func() {
		switch {
		case to == nil:
			deliver()
		case to.incarnation != incarnation:
		case m.now.Before(to.pausedUntil):
			m.schedule(to.pausedUntil, to, incarnation, deliver)
		default:
			deliver()
		}
	}})
}

// request sends a request to the store or another host, whose answer is computed
// when the request arrives, and passes the answer to the sender.
func request[A any](t *rapid.T, from, to *modelHost, handle func() A, receive func(A)) {
	m := from.m
	m.send(t, to, func() {
		answer := handle()
		m.send(t, from, func() { receive(answer) })
	})
}

// step advances the time and delivers the messages that are due. Messages to a host
// that stands still are delivered when it runs again.
func (m *model) step(d time.Duration) {
	for end := m.now.Add(d); ; {
		next := slices.IndexFunc(m.messages, func(x modelMessage) bool { return !x.due.After(end) })
		if next < 0 {
			m.now = end
			return
		}
		for i, x := range m.messages {
			if x.due.Before(m.messages[next].due) {
				next = i
			}
		}
		x := m.messages[next]
		m.messages = slices.Delete(m.messages, next, next+1)
		if x.due.After(m.now) {
			m.now = x.due
		}
		x.deliver()
	}
}

// vouches reports whether the holder may prove leases by its word.
func (h *modelHost) vouches() bool {
	return h.duty.Holding() && h.revocationsReadAt.After(h.duty.ClaimedAt()) && h.revocationsReadEra == h.duty.Era() &&
		CanVouch(h.m.now, h.duty.RenewedAt())
}

// observeEra records the era of an answer of the store.
func (h *modelHost) observeEra(era uint64) {
	if era <= h.era {
		return
	}
	if h.era != 0 && h.lease.Valid(h.m.now) {
		h.leasedEra = era
	}
	h.era, h.eraSeenAt = era, h.m.now
}

func (h *modelHost) register(t *rapid.T) {
	sentAt := h.m.now
	request(t, h, nil, func() uint64 { h.m.store.registered[h.index] = true; return h.m.store.era }, func(era uint64) {
		h.lease.SetRegistered(sentAt, h.m.now, era)
		h.observeEra(era)
	})
}

func (h *modelHost) proveByStore(t *rapid.T) {
	sentAt := h.m.now
	request(t, h, nil, func() modelStore { return h.m.store }, func(s modelStore) {
		stored := Revocations{modelService: s.revoked}
		if s.completeEra != s.era {
			h.lease.Revoke(stored)
			h.observeEra(s.era)
			h.writeRevocationsBack(t, s)
			return
		}
		h.lease.Renew(Proof{RequestedAt: sentAt, Era: s.era, Revoked: stored})
		h.observeEra(s.era)
		h.revocationsReadAt, h.revocationsReadEra = sentAt, s.era
	})
}

// writeRevocationsBack writes back what a restored store has forgotten, and then
// declares it complete, in two calls.
func (h *modelHost) writeRevocationsBack(t *rapid.T, stored modelStore) {
	knowledge := RestoredStore{
		HadLease: h.leasedEra == stored.era, HoldsDuty: h.duty.Holding(),
		UnknownPredecessor: slices.Contains(h.duty.Predecessors(), lease.UnknownHolder), SinceSeen: h.m.now.Sub(h.eraSeenAt),
	}
	if stored.era != h.era || !knowledge.MayDeclareComplete() {
		return
	}
	term := h.lease.Proof().Revoked[modelService]
	request(t, h, nil, func() bool { h.m.store.revoked = max(h.m.store.revoked, term); return true }, func(bool) {
		h.m.send(t, nil, func() { h.m.store.completeEra = max(h.m.store.completeEra, stored.era) })
	})
}

type modelProof struct {
	age     time.Duration
	era     uint64
	revoked Revocations
}

func (h *modelHost) proveByPeer(t *rapid.T, peer *modelHost) {
	sentAt := h.m.now
	request(t, h, peer, func() modelProof {
		proof := peer.lease.Proof()
		if peer.vouches() && peer.duty.Era() >= proof.Era {
			proof.RequestedAt, proof.Era = h.m.now, peer.duty.Era()
		}
		return modelProof{h.m.now.Sub(proof.RequestedAt), proof.Era, proof.Revoked}
	}, func(p modelProof) {
		if p.age < Duration {
			h.lease.Renew(Proof{RequestedAt: sentAt.Add(-p.age), Era: p.era, Revoked: p.revoked})
		}
	})
}

// readDuty reads the record of the promotion lease.
func (h *modelHost) readDuty(t *rapid.T) {
	request(t, h, nil, func() modelStore { return h.m.store }, h.observeDuty)
}

func (h *modelHost) observeDuty(s modelStore) {
	h.observeEra(s.era)
	h.duty.Observe(h.m.now, s.duty, s.dutyRevision())
	if !h.duty.Holding() {
		h.revocation = nil
	}
}

// renewDuty renews the promotion lease or takes it over, by a conditional write. The
// store compares the numbers of revisions only.
func (h *modelHost) renewDuty(t *rapid.T) {
	action, record, expected := h.duty.Next(h.m.now)
	if action != lease.Write {
		return
	}
	sentAt, written := h.m.now, false
	request(t, h, nil, func() modelStore {
		s := &h.m.store
		if s.dutyNumber == expected.Number() && !written {
			s.duty, s.dutyNumber, written = record, s.dutyNumber+1, true
		}
		return *s
	}, func(s modelStore) {
		h.observeDuty(s)
		if s.duty.Token == record.Token && s.duty.Renewal == record.Renewal && s.duty.Holder == record.Holder && s.duty.Incarnation == record.Incarnation {
			h.duty.ObserveWrite(h.m.now, sentAt, record, s.dutyRevision())
		}
	})
}

// startRevocation begins to replace the primary of the highest known term.
func (h *modelHost) startRevocation(t *rapid.T) {
	if !h.duty.Holding() || h.revocation != nil {
		return
	}
	r := &modelRevocation{term: h.m.orderedTerm, era: h.duty.Era(), unconfirmed: map[int]bool{}, confirmed: map[int]bool{}}
	h.revocation = r
	request(t, h, nil, func() bool { h.m.store.revoked = max(h.m.store.revoked, r.term); return true }, func(bool) {
		if r.progress.RecordedAt.IsZero() {
			h.lease.Revoke(Revocations{modelService: r.term})
			r.progress.RecordedAt = h.m.now
			h.listHosts(t, r)
		}
	})
}

func (h *modelHost) listHosts(t *rapid.T, r *modelRevocation) {
	request(t, h, nil, func() modelStore { return h.m.store }, func(s modelStore) {
		if r.progress.HostsListed {
			return
		}
		if s.era != r.era {
			h.revocation = nil
			return
		}
		for i, registered := range s.registered {
			if registered && i != h.index {
				r.unconfirmed[i] = true
			}
		}
		r.progress.HostsListed = true
	})
}

// askHosts asks the hosts that have not confirmed.
func (h *modelHost) askHosts(t *rapid.T) {
	r := h.revocation
	if r == nil || !r.progress.HostsListed {
		return
	}
	for i := range modelHosts {
		if !r.unconfirmed[i] {
			continue
		}
		peer := h.m.hosts[i]
		request(t, h, peer, func() bool {
			peer.lease.Revoke(Revocations{modelService: r.term})
			return peer.inFlight == 0
		}, func(confirmed bool) {
			if !confirmed || !r.unconfirmed[i] {
				return
			}
			delete(r.unconfirmed, i)
			r.confirmed[i] = true
			if slices.Contains(h.duty.Predecessors(), fmt.Sprint(i)) {
				r.progress.PredecessorsConfirmedAt = h.m.now
			}
		})
	}
}

// order orders the promotion if the revocation is complete. The holder must have
// renewed its lease recently.
func (h *modelHost) order() {
	r := h.revocation
	if r == nil || h.m.now.Before(h.pausedUntil) || !h.duty.Holding() || h.duty.Expired(h.m.now) || r.term != h.m.orderedTerm {
		return
	}
	p := r.progress
	p.Unconfirmed = len(r.unconfirmed)
	if h.inFlight > 0 {
		p.Unconfirmed++
	}
	p.TookOverAt, p.EraSeenAt = h.duty.ClaimedAt(), h.eraSeenAt
	for _, name := range h.duty.Predecessors() {
		i, err := strconv.Atoi(name)
		if err != nil || !r.confirmed[i] {
			p.SilentPredecessor = true
		}
	}
	if p.HostsListed && p.Complete(h.m.now) {
		h.m.orderedTerm++
		h.revocation = nil
	}
}

// write sends a commit to the primary that the host knows. It is executed within
// half of SendMargin.
func (h *modelHost) write(t *rapid.T) {
	if !h.lease.Allows(h.m.now, modelService, h.knownTerm) {
		return
	}
	term, incarnation := h.knownTerm, h.incarnation
	h.inFlight++
	delay := time.Duration(rapid.IntRange(0, int(SendMargin/time.Millisecond)/2).Draw(t, "execution ms")) * time.Millisecond
	h.m.messages = append(h.m.messages, modelMessage{h.m.now.Add(delay), func() {
		if h.incarnation != incarnation {
			// Nobody acknowledges the commit of a process that has ended.
			return
		}
		h.inFlight--
		if term < h.m.orderedTerm {
			panic(fmt.Sprintf("host %d: commit in term %d was executed after the promotion to term %d was ordered", h.index, term, h.m.orderedTerm))
		}
	}})
}

// Guards against commits of replaced primaries, over orders of events that no test
// of a deployment reaches.
func TestNoCommitAfterOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			m.act(t)
			m.step(time.Duration(rapid.IntRange(0, 200).Draw(t, "step ms")) * time.Millisecond)
		}
	})
}

// act makes one host do something.
func (m *model) act(t *rapid.T) {
	h := m.hosts[rapid.IntRange(0, modelHosts-1).Draw(t, "host")]
	if m.now.Before(h.pausedUntil) {
		return
	}
	switch rapid.IntRange(0, 14).Draw(t, "action") {
	case 0:
		h.register(t)
	case 1:
		h.proveByStore(t)
	case 2, 3:
		h.proveByPeer(t, m.hosts[rapid.IntRange(0, modelHosts-1).Draw(t, "peer")])
	case 4:
		h.readDuty(t)
	case 5, 6:
		h.renewDuty(t)
	case 7:
		h.startRevocation(t)
	case 8:
		h.askHosts(t)
	case 9:
		for _, other := range m.hosts {
			other.order()
		}
	case 10, 11:
		h.write(t)
	case 12:
		h.knownTerm = m.orderedTerm
	case 13:
		switch rapid.IntRange(0, 5).Draw(t, "rare") {
		case 0:
			h.restart()
		case 1:
			h.pausedUntil = m.now.Add(time.Duration(rapid.IntRange(0, 20000).Draw(t, "pause ms")) * time.Millisecond)
		}
	case 14:
		switch rapid.IntRange(0, 3).Draw(t, "copy") {
		case 0:
			m.backup = m.store
		case 1:
			era := m.store.era + 1
			m.store = m.backup
			m.store.era = era
		}
	}
}
