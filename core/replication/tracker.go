package replication

import (
	"slices"
	"time"

	"github.com/gypsumgap/gypsumgap/core/group"
)

// barrierGrace is how long a barrier that has enough answers waits for the
// remaining healthy slots. More answers give a lower position, which replicas
// have usually applied already; a slow slot in another region must not delay the
// barrier for longer.
const barrierGrace = 5 * time.Millisecond

// maxSamples bounds the barrier history from which the age of data is derived.
// Dropping a sample only makes data look older than it is.
const maxSamples = 128

// Tracker is a deterministic state machine that follows the slots of one group
// through status requests. Callers pass in the time and the answers. It is not
// safe for concurrent use.
//
// Requests are numbered in the order in which they are sent. A wait records the
// last number, and only answers with a higher number count for it: an answer to
// an earlier request that arrives late proves nothing about a later commit or
// read. No decision on durability reads a clock.
//
// A position is durable at term t once a quorum of slots reported it while their
// accepted term and the term of their last record were both t. A slot that
// accepted a newer term may have received the same offset from the newer
// primary, so it does not count.
type Tracker struct {
	slots       []slotState
	lastRequest uint64
	samples     []sample
}

// slotState is the latest information about one slot.
type slotState struct {
	slot group.Slot
	// known reports whether status holds an answer.
	known bool
	// request is the number of the request that status answers.
	request uint64
	// sent is the time at which that request was sent.
	sent time.Time
	// status is the latest answer; it is valid if known is true.
	status group.Status
	// lastFailed is the highest number of a request that counts as failed.
	lastFailed uint64
	// freshAsOf is the time before which every acknowledged commit is applied on
	// the slot; zero if none is known.
	freshAsOf time.Time
}

// sample records that every commit acknowledged before at lies at or before
// bound.
type sample struct {
	at    time.Time
	bound group.Position
}

// Request identifies one status request.
type Request struct {
	// Slot is the index of the slot that the request goes to.
	Slot int
	// Number is the position of the request in the order of sending, from 1.
	Number uint64
	// Sent is when the request was sent.
	Sent time.Time
}

// CommitWait is a wait for the commits that the primary of a term had
// completed when the wait began.
type CommitWait struct {
	term    group.Term
	after   uint64
	bounded bool
	bound   group.Position
}

// BarrierWait is a wait for a position that covers every commit acknowledged
// before the wait began.
type BarrierWait struct {
	after uint64
	// quorumAt is when enough answers had first arrived.
	quorumAt time.Time
}

// NewTracker returns a tracker of the slots, none of which has answered yet.
func NewTracker(slots []group.Slot) *Tracker {
	t := &Tracker{slots: make([]slotState, len(slots))}
	for i, s := range slots {
		t.slots[i].slot = s
	}
	return t
}

// BeginRequest numbers a status request to the slot. The request must be sent
// after the call.
func (t *Tracker) BeginRequest(now time.Time, slot int) Request {
	t.lastRequest++
	return Request{Slot: slot, Number: t.lastRequest, Sent: now}
}

// RecordAnswer records the answer to a request. It ignores an answer to an older
// request than the latest one answered by the slot.
func (t *Tracker) RecordAnswer(r Request, st group.Status) {
	s := &t.slots[r.Slot]
	if s.known && r.Number <= s.request {
		return
	}
	receded := s.known && !st.Applied.Covers(s.status.Applied)
	s.known, s.request, s.sent, s.status = true, r.Number, r.Sent, st
	if receded {
		s.freshAsOf = time.Time{}
	}
	t.addSamples()
	t.updateFreshness()
}

// RecordFailure records that a request was not answered.
func (t *Tracker) RecordFailure(r Request) {
	s := &t.slots[r.Slot]
	s.lastFailed = max(s.lastFailed, r.Number)
}

// Suspect records a failure that traffic met: the slot counts as unreachable
// until it answers a request sent after the call.
func (t *Tracker) Suspect(slot int) { t.slots[slot].lastFailed = t.lastRequest }

// BeginCommit starts a wait for the commits that the primary of the term has
// completed so far.
func (t *Tracker) BeginCommit(term group.Term) CommitWait {
	return CommitWait{term: term, after: t.lastRequest}
}

// CheckCommit reports whether the commits of the wait are durable, and if so a
// position that covers them. It fails with ErrTermChanged once they can no
// longer be shown to be durable.
func (t *Tracker) CheckCommit(w *CommitWait) (group.Position, bool, error) {
	if !w.bounded {
		t.boundCommit(w)
	}
	if w.bounded && t.countHolders(w.term, w.bound) >= group.CommitQuorum(len(t.slots)) {
		return w.bound, true, nil
	}
	if t.primaryReplaced(w) {
		return group.Position{}, false, ErrTermChanged
	}
	return group.Position{}, false, nil
}

// boundCommit takes the position of the primary from an answer to a request sent
// after the wait began. It keeps the first such answer: later ones are just as
// valid, but advance with every further commit.
func (t *Tracker) boundCommit(w *CommitWait) {
	for i := range t.slots {
		s := &t.slots[i]
		if s.request > w.after && s.isPrimaryAt(w.term) {
			w.bounded, w.bound = true, s.status.Received
		}
	}
}

// countHolders counts the slots that hold the position and are still at the
// term.
func (t *Tracker) countHolders(term group.Term, p group.Position) int {
	n := 0
	for i := range t.slots {
		s := &t.slots[i]
		if s.atTerm(term) && s.status.Received.Covers(p) {
			n++
		}
	}
	return n
}

// primaryReplaced reports whether fewer slots than a quorum can be at the term
// of the wait, or a primary of a newer term exists. A single slot with a newer
// term is not enough: a failover that did not reach a quorum may have fenced it.
func (t *Tracker) primaryReplaced(w *CommitWait) bool {
	if t.countNewerTerms(w.term) > len(t.slots)-group.CommitQuorum(len(t.slots)) {
		return true
	}
	_, term, ok := t.highestPrimary()
	return ok && term > w.term
}

// countNewerTerms counts the slots that accepted a term above the given one.
func (t *Tracker) countNewerTerms(term group.Term) int {
	n := 0
	for i := range t.slots {
		if t.slots[i].known && t.slots[i].status.AcceptedTerm > term {
			n++
		}
	}
	return n
}

// BeginBarrier starts a wait for a position that covers every commit
// acknowledged so far.
func (t *Tracker) BeginBarrier() BarrierWait { return BarrierWait{after: t.lastRequest} }

// CheckBarrier reports whether enough slots have answered since the wait began,
// and if so a position that covers the commits. While it waits only for the
// remaining healthy slots, retry is the time at which the wait ends without
// them.
func (t *Tracker) CheckBarrier(now time.Time, w *BarrierWait) (p group.Position, done bool, retry time.Time) {
	answers := t.answersAfter(w.after)
	if len(answers) < group.FenceQuorum(len(t.slots)) {
		return group.Position{}, false, time.Time{}
	}
	if w.quorumAt.IsZero() {
		w.quorumAt = now
	}
	end := w.quorumAt.Add(barrierGrace)
	if t.hasOutstanding(w.after) && now.Before(end) {
		return group.Position{}, false, end
	}
	return barrierBound(answers, len(t.slots)), true, time.Time{}
}

// answersAfter returns the received positions of the slots that answered a
// request with a number above after.
func (t *Tracker) answersAfter(after uint64) []group.Position {
	var answers []group.Position
	for i := range t.slots {
		if t.slots[i].known && t.slots[i].request > after {
			answers = append(answers, t.slots[i].status.Received)
		}
	}
	return answers
}

// hasOutstanding reports whether a reachable slot has not answered a request
// with a number above after.
func (t *Tracker) hasOutstanding(after uint64) bool {
	for i := range t.slots {
		if t.slots[i].reachable() && t.slots[i].request <= after {
			return true
		}
	}
	return false
}

// barrierBound returns a position that covers every commit acknowledged before
// the answered requests were sent, for b answers from n slots. Of the q slots
// that hold such a commit, at most n-b did not answer, so at least k = q-(n-b)
// answers cover it, and the k-th greatest answer does. It sorts answers in
// place.
func barrierBound(answers []group.Position, n int) group.Position {
	slices.SortFunc(answers, func(a, b group.Position) int { return b.Compare(a) })
	k := group.CommitQuorum(n) - (n - len(answers))
	return answers[k-1]
}

// addSamples derives a sample from each sufficiently large set of the latest
// answers.
func (t *Tracker) addSamples() {
	known := make([]*slotState, 0, len(t.slots))
	for i := range t.slots {
		if t.slots[i].known {
			known = append(known, &t.slots[i])
		}
	}
	slices.SortStableFunc(known, func(a, b *slotState) int { return b.sent.Compare(a.sent) })
	for b := group.FenceQuorum(len(t.slots)); b <= len(known); b++ {
		answers := make([]group.Position, b)
		for i := range answers {
			answers[i] = known[i].status.Received
		}
		t.addSample(sample{at: known[b-1].sent, bound: barrierBound(answers, len(t.slots))})
	}
}

// addSample inserts the sample f unless another that is at least as late has a
// bound at most as high. Samples stay ordered by time, with rising bounds.
func (t *Tracker) addSample(f sample) {
	for _, o := range t.samples {
		if !o.at.Before(f.at) && f.bound.Covers(o.bound) {
			return
		}
	}
	t.samples = slices.DeleteFunc(t.samples, func(o sample) bool {
		return !o.at.After(f.at) && o.bound.Covers(f.bound)
	})
	i, _ := slices.BinarySearchFunc(t.samples, f, func(a, b sample) int { return a.at.Compare(b.at) })
	t.samples = slices.Insert(t.samples, i, f)
	if len(t.samples) > maxSamples {
		t.thinSamples()
	}
}

// thinSamples drops every second sample but keeps the latest.
func (t *Tracker) thinSamples() {
	kept := t.samples[:0]
	for i, f := range t.samples {
		if i%2 == 0 || i == len(t.samples)-1 {
			kept = append(kept, f)
		}
	}
	t.samples = kept
}

// updateFreshness advances freshAsOf of each slot to the latest sample that the
// slot has applied.
func (t *Tracker) updateFreshness() {
	lowest := len(t.samples)
	for i := range t.slots {
		s := &t.slots[i]
		if !s.known {
			continue
		}
		n := t.countCoveredSamples(s.status.Applied)
		if n > 0 && t.samples[n-1].at.After(s.freshAsOf) {
			s.freshAsOf = t.samples[n-1].at
		}
		lowest = min(lowest, n)
	}
	// Of the samples that every slot has applied, only the latest is needed.
	if lowest > 1 {
		t.samples = slices.Delete(t.samples, 0, lowest-1)
	}
}

// countCoveredSamples counts the samples whose bound the position covers.
func (t *Tracker) countCoveredSamples(p group.Position) int {
	n := 0
	for n < len(t.samples) && p.Covers(t.samples[n].bound) {
		n++
	}
	return n
}

// highestPrimary returns the slot that reports to be primary at the highest
// term. Two primaries of one term violate the contract of the group, so neither
// is returned.
func (t *Tracker) highestPrimary() (slot int, term group.Term, ok bool) {
	for i := range t.slots {
		s := &t.slots[i]
		if !s.known || !s.isPrimaryAt(s.status.AcceptedTerm) {
			continue
		}
		switch {
		case s.status.AcceptedTerm > term:
			slot, term, ok = i, s.status.AcceptedTerm, true
		case s.status.AcceptedTerm == term:
			ok = false
		}
	}
	return slot, term, ok
}

// View is an immutable snapshot of the tracker.
type View struct {
	// Primary is the index in Slots of the primary, or -1 if no reachable
	// primary that may commit is known.
	Primary int
	// Term is the term of the primary; 0 without a primary.
	Term group.Term
	// Slots holds one entry per slot, in the order of the group.
	Slots []SlotView
}

// SlotView is what the tracker knows of one slot.
type SlotView struct {
	// Slot is the address of the slot.
	Slot group.Slot
	// Known reports whether Status holds an answer.
	Known bool
	// Status is the latest answer.
	Status group.Status
	// Reachable reports whether the slot answered a request sent after the last
	// failure.
	Reachable bool
	// FreshAsOf is the time before which every acknowledged commit is applied on
	// the slot; zero if there is none.
	FreshAsOf time.Time
}

// View returns a snapshot that later calls do not change.
func (t *Tracker) View() *View {
	v := &View{Primary: -1, Slots: make([]SlotView, len(t.slots))}
	for i := range t.slots {
		s := &t.slots[i]
		v.Slots[i] = SlotView{Slot: s.slot, Known: s.known, Status: s.status, Reachable: s.reachable(), FreshAsOf: s.freshAsOf}
	}
	i, term, ok := t.highestPrimary()
	if !ok || !t.slots[i].reachable() {
		return v
	}
	if t.countNewerTerms(term) > len(t.slots)-group.CommitQuorum(len(t.slots)) {
		return v
	}
	v.Primary, v.Term = i, term
	return v
}

// PickReplica returns the index of a replica that has applied need and whose
// data is at most maxAge old at now; maxAge 0 sets no bound. The search begins
// at index start, so that callers can spread reads over the replicas. It returns
// -1 if no replica qualifies.
func (v *View) PickReplica(now time.Time, need group.Position, maxAge time.Duration, start int) int {
	for k := range v.Slots {
		i := (start + k) % len(v.Slots)
		if v.Slots[i].qualifies(now, need, maxAge) {
			return i
		}
	}
	return -1
}

// qualifies reports whether the slot may serve a read that needs the position
// and the age.
func (s *SlotView) qualifies(now time.Time, need group.Position, maxAge time.Duration) bool {
	if !s.Known || !s.Reachable || s.Status.Leaving || s.Status.Role != group.Replica {
		return false
	}
	if !s.Status.Applied.Covers(need) {
		return false
	}
	return maxAge == 0 || (!s.FreshAsOf.IsZero() && now.Sub(s.FreshAsOf) <= maxAge)
}

func (s *slotState) reachable() bool { return s.known && s.request > s.lastFailed }

// atTerm reports whether the accepted term of the slot and the term of its last
// record are both the given one.
func (s *slotState) atTerm(term group.Term) bool {
	return s.known && s.status.AcceptedTerm == term && s.status.Received.Term == term
}

// isPrimaryAt reports whether the slot reports to be the primary of the term.
func (s *slotState) isPrimaryAt(term group.Term) bool {
	return s.atTerm(term) && s.status.Role == group.Primary
}
