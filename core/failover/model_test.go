package failover_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gypsumgap/gypsumgap/core/failover"
	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/core/group/grouptest"
	"github.com/gypsumgap/gypsumgap/core/replication"
	"pgregory.net/rapid"
)

// model simulates a group, two failover machines and two trackers. Any message in
// flight may be delivered next, lost, or executed after its sender gave up, and
// any participant may pause for any time. Since the model has no latency, it
// reaches message orders that a network would rarely produce.
type model struct {
	t          *rapid.T
	now        time.Time
	slots      []*modelSlot
	slotConfig []group.Slot
	inFlight   []modelMessage
	machines   []*failover.Machine
	proxies    []*modelProxy
	lastWrite  int
	acked      []modelAck
	promoted   []modelPromotion
	reads      int
}

type modelRecord struct {
	position group.Position
	write    int
}

// modelSlot is a simulated slot.
type modelSlot struct {
	alive    bool
	role     group.Role
	accepted group.Term
	log      []modelRecord
	// applied is the number of log records that a read on the slot sees.
	applied int
	// upstream is the index of the slot that this one follows, -1 for none.
	upstream int
	leaving  bool
}

// modelMessage is a request or an answer.
type modelMessage struct {
	run func()
	// fail tells the sender of a request that it got no answer. It is nil for other
	// messages.
	fail func(error)
}

// modelAck is an acknowledged write.
type modelAck struct {
	write    int
	term     group.Term
	position group.Position
	at       time.Time
}

// modelPromotion is an executed promotion with the log that the slot had then.
type modelPromotion struct {
	term group.Term
	slot int
	log  []modelRecord
}

// modelProxy is the traffic of one host: its tracker and the requests that wait for
// it.
type modelProxy struct {
	tracker *replication.Tracker
	commits []modelCommit
	reads   []modelRead
}

// modelCommit is an executed write that waits for its quorum.
type modelCommit struct {
	wait  replication.CommitWait
	term  group.Term
	write int
}

// modelRead is a read that must return the first ackedBefore acknowledged writes.
type modelRead struct {
	wait        replication.BarrierWait
	ackedBefore int
	// slot is the primary on which the read already ran, or -1 for a read on a
	// replica.
	slot int
	// term is the term of that primary at the read.
	term group.Term
	// log is the log of that primary at the read.
	log []modelRecord
}

func newModel(t *rapid.T) *model {
	n := rapid.SampledFrom([]int{3, 3, 5, 4}).Draw(t, "n")
	m := &model{t: t, now: time.Unix(1e9, 0), slotConfig: grouptest.Slots(n, "a", "b", "c")}
	for i := range n {
		s := &modelSlot{alive: true, role: group.Replica, accepted: 1}
		if i == 0 {
			s.role, s.upstream = group.Primary, -1
			s.log = []modelRecord{{position: group.Position{Term: 1, Offset: 1}}}
		}
		m.slots = append(m.slots, s)
	}
	for i := range 2 {
		f := failover.New(failover.Config{Slots: m.slotConfig, Rand: rand.New(rand.NewPCG(1, uint64(i)))})
		m.machines = append(m.machines, f)
		m.proxies = append(m.proxies, &modelProxy{tracker: replication.NewTracker(m.slotConfig)})
		m.step(f, failover.OwnershipChanged{Rank: i})
	}
	m.deliverAll()
	return m
}

func (m *model) draw(n int, label string) int { return rapid.IntRange(0, n-1).Draw(m.t, label) }

func (m *model) lastPosition(s *modelSlot) group.Position { return s.positionAt(len(s.log)) }

func (s *modelSlot) positionAt(n int) group.Position {
	if n == 0 {
		return group.Position{}
	}
	return s.log[n-1].position
}

func (m *model) status(i int) group.Status {
	s := m.slots[i]
	st := group.Status{Role: s.role, AcceptedTerm: s.accepted, Received: m.lastPosition(s), Applied: s.positionAt(s.applied), Leaving: s.leaving}
	if s.role == group.Replica && s.upstream >= 0 {
		st.Upstream = m.slotConfig[s.upstream].Address
	}
	return st
}

// executeOrder executes an order as section 4 of the design page specifies.
func (m *model) executeOrder(i int, o failover.Order, t group.Term, primary string) (group.Status, error) {
	s := m.slots[i]
	switch {
	case o == failover.OrderFence && t > s.accepted:
		s.accepted, s.role, s.upstream = t, group.Fenced, -1
	case o == failover.OrderPromote && t == s.accepted:
		m.promote(i, t)
	case o == failover.OrderFollow && t >= s.accepted && !(t == s.accepted && s.role == group.Primary):
		s.accepted, s.role, s.upstream = t, group.Replica, m.indexOf(primary)
	default:
		return group.Status{}, group.ErrRefused
	}
	return m.status(i), nil
}

func (m *model) indexOf(address string) int {
	for i, s := range m.slotConfig {
		if s.Address == address {
			return i
		}
	}
	return -1
}

func (m *model) promote(i int, t group.Term) {
	s := m.slots[i]
	if s.role == group.Primary {
		return
	}
	s.role, s.upstream = group.Primary, -1
	m.append(i, 0)
	for _, p := range m.promoted {
		if p.term == t {
			m.t.Fatalf("slots %d and %d were both promoted at term %d", p.slot, i, t)
		}
	}
	p := modelPromotion{term: t, slot: i, log: s.log}
	m.promoted = append(m.promoted, p)
	for _, a := range m.acked {
		m.checkKept(a, p)
	}
}

func (m *model) append(i, write int) {
	s := m.slots[i]
	p := group.Position{Term: s.accepted, Offset: m.lastPosition(s).Offset + 1}
	s.log = append(s.log[:len(s.log):len(s.log)], modelRecord{position: p, write: write})
	s.applied = len(s.log)
}

func (m *model) checkKept(a modelAck, p modelPromotion) {
	if a.term < p.term && !contains(p.log, a.write) {
		m.t.Fatalf("write %d, acknowledged at %v, is missing from slot %d promoted at term %d (%v)", a.write, a.position, p.slot, p.term, p.log)
	}
}

func contains(log []modelRecord, write int) bool {
	for _, r := range log {
		if r.write == write {
			return true
		}
	}
	return false
}

// sendRequest adds a request to the messages in flight; reply gets its result
// later.
func (m *model) sendRequest(i int, execute func() error, reply func(error)) {
	m.inFlight = append(m.inFlight, modelMessage{
		run: func() {
			err := group.ErrUnreachable
			if m.slots[i].alive {
				err = execute()
			}
			m.inFlight = append(m.inFlight, modelMessage{run: func() { reply(err) }})
		},
		fail: reply,
	})
}

// step steps the machine and turns its commands into messages.
func (m *model) step(f *failover.Machine, ev failover.Event) {
	for _, c := range f.Step(m.now, ev) {
		switch c := c.(type) {
		case failover.Probe:
			m.probe(f, c.Slot)
		case failover.SendOrder:
			m.sendOrder(f, c)
		case failover.Refresh:
			m.inFlight = append(m.inFlight, modelMessage{run: func() { m.step(f, failover.Refreshed(c)) }})
		case failover.Hold:
			m.inFlight = append(m.inFlight, modelMessage{run: func() { m.step(f, failover.Drained{Attempt: c.Attempt}) }})
		}
	}
}

func (m *model) probe(f *failover.Machine, i int) {
	sent := m.now
	var st group.Status
	m.sendRequest(i, func() error { st = m.status(i); return nil }, func(err error) {
		if err != nil {
			m.step(f, failover.ProbeMissed{Slot: i, Sent: sent, Refused: err == group.ErrUnreachable})
			return
		}
		m.step(f, failover.ProbeAnswered{Slot: i, Sent: sent, Status: st})
	})
}

func (m *model) sendOrder(f *failover.Machine, c failover.SendOrder) {
	r := failover.OrderCompleted{Attempt: c.Attempt, Order: c.Order, Slot: c.Slot, Term: c.Term, Sent: m.now}
	m.sendRequest(c.Slot, func() error {
		st, err := m.executeOrder(c.Slot, c.Order, c.Term, c.Primary)
		r.Status = st
		return err
	}, func(err error) {
		r.Err = err
		m.step(f, r)
	})
}

func (m *model) takeMessage(i int) modelMessage {
	msg := m.inFlight[i]
	m.inFlight = append(m.inFlight[:i], m.inFlight[i+1:]...)
	return msg
}

func (m *model) deliver() {
	if len(m.inFlight) > 0 {
		m.takeMessage(m.draw(len(m.inFlight), "message")).run()
	}
}

func (m *model) deliverAll() {
	for k := 0; k < 60 && len(m.inFlight) > 0; k++ {
		m.takeMessage(0).run()
	}
}

// loseMessage drops a message and fails its request. If late is true, the request
// is still executed at a later time.
func (m *model) loseMessage(late bool) {
	if len(m.inFlight) == 0 {
		return
	}
	msg := m.takeMessage(m.draw(len(m.inFlight), "message"))
	if msg.fail == nil {
		return
	}
	if late {
		m.inFlight = append(m.inFlight, modelMessage{run: func() { msg.run(); m.inFlight = m.inFlight[:len(m.inFlight)-1] }})
	}
	msg.fail(group.ErrNoAnswer)
}

// replicate copies up to k records from its upstream to the slot, and truncates
// the part of its log that differs.
func (m *model) replicate(i, k int) {
	r := m.slots[i]
	if !r.alive || r.role != group.Replica || r.upstream < 0 {
		return
	}
	p := m.slots[r.upstream]
	if !p.alive || p.role != group.Primary || p.accepted != r.accepted {
		return
	}
	common := min(len(r.log), len(p.log))
	for common > 0 && r.log[common-1] != p.log[common-1] {
		common--
	}
	end := min(common+k, len(p.log))
	r.log, r.applied = p.log[:end:end], min(r.applied, common)
}

func (m *model) replicateAll() {
	for i, s := range m.slots {
		m.replicate(i, 100)
		s.applied = len(s.log)
	}
}

func (m *model) write(p *modelProxy) {
	v := p.tracker.View()
	if v.Primary < 0 {
		return
	}
	m.lastWrite++
	id, i := m.lastWrite, v.Primary
	m.sendRequest(i, func() error {
		if m.slots[i].role != group.Primary {
			return group.ErrRefused
		}
		m.append(i, id)
		return nil
	}, func(err error) {
		if err == nil {
			p.commits = append(p.commits, modelCommit{wait: p.tracker.BeginCommit(v.Term), term: v.Term, write: id})
		}
	})
}

func (m *model) pollSlots(p *modelProxy) {
	for i := range m.slots {
		q := p.tracker.BeginRequest(m.now, i)
		var st group.Status
		m.sendRequest(i, func() error { st = m.status(i); return nil }, func(err error) {
			if err != nil {
				p.tracker.RecordFailure(q)
				return
			}
			p.tracker.RecordAnswer(q, st)
		})
	}
}

// finishWaits ends those waits of a proxy whose condition holds. Until it is
// called, the proxy counts as paused.
func (m *model) finishWaits(p *modelProxy) {
	var commits []modelCommit
	for _, c := range p.commits {
		at, done, err := p.tracker.CheckCommit(&c.wait)
		switch {
		case done:
			m.recordAck(modelAck{write: c.write, term: c.term, position: at, at: m.now})
		case err == nil:
			commits = append(commits, c)
		}
	}
	p.commits = commits
	var reads []modelRead
	for _, r := range p.reads {
		need, done, _ := p.tracker.CheckBarrier(m.now.Add(time.Second), &r.wait)
		if !done {
			reads = append(reads, r)
			continue
		}
		m.finishRead(p, r, need)
	}
	p.reads = reads
}

func (m *model) recordAck(a modelAck) {
	m.acked = append(m.acked, a)
	for _, p := range m.promoted {
		m.checkKept(a, p)
	}
}

// finishRead checks a read that passed its barrier, on the primary or on a replica.
func (m *model) finishRead(p *modelProxy, r modelRead, need group.Position) {
	if r.slot >= 0 {
		if need.Term <= r.term {
			m.checkRead(r.log, m.acked[:r.ackedBefore], "primary read")
		}
		return
	}
	if i := p.tracker.View().PickReplica(m.now, need, 0, m.draw(len(m.slots), "start")); i >= 0 {
		m.checkRead(m.appliedLog(i), m.acked[:r.ackedBefore], "barrier read")
	}
}

func (m *model) appliedLog(i int) []modelRecord { return m.slots[i].log[:m.slots[i].applied] }

func (m *model) checkRead(log []modelRecord, acked []modelAck, kind string) {
	m.reads++
	for _, a := range acked {
		if !contains(log, a.write) {
			m.t.Fatalf("%s misses write %d, acknowledged at %v; log %v", kind, a.write, a.position, log)
		}
	}
}

func (m *model) barrierRead(p *modelProxy) {
	p.reads = append(p.reads, modelRead{wait: p.tracker.BeginBarrier(), ackedBefore: len(m.acked), slot: -1})
}

// primaryRead reads on the slot that the proxy knows as the primary, with a barrier
// in parallel.
func (m *model) primaryRead(p *modelProxy) {
	v := p.tracker.View()
	if v.Primary < 0 || m.slots[v.Primary].role != group.Primary {
		return
	}
	r := modelRead{wait: p.tracker.BeginBarrier(), ackedBefore: len(m.acked), slot: v.Primary, term: v.Term}
	r.log = m.appliedLog(v.Primary)
	p.reads = append(p.reads, r)
}

// tokenRead reads with the token of an acknowledged write, from any proxy.
func (m *model) tokenRead(p *modelProxy) {
	if len(m.acked) == 0 {
		return
	}
	a := m.acked[m.draw(len(m.acked), "token")]
	if i := p.tracker.View().PickReplica(m.now, a.position, 0, m.draw(len(m.slots), "start")); i >= 0 {
		m.checkRead(m.appliedLog(i), []modelAck{a}, "token read")
	}
}

// agedRead reads with a maximum age of the data.
func (m *model) agedRead(p *modelProxy) {
	age := time.Duration(1+m.draw(2000, "age")) * time.Millisecond
	i := p.tracker.View().PickReplica(m.now, group.Position{}, age, m.draw(len(m.slots), "start"))
	if i < 0 {
		return
	}
	var due []modelAck
	for _, a := range m.acked {
		if a.at.Before(m.now.Add(-age)) {
			due = append(due, a)
		}
	}
	m.checkRead(m.appliedLog(i), due, fmt.Sprintf("read of age %v", age))
}

// advanceClock advances the time. A machine whose bit is not set in the drawn mask
// is paused and gets no tick.
func (m *model) advanceClock() {
	m.now = m.now.Add(time.Duration(1+m.draw(400, "ms")) * time.Millisecond)
	awake := 1 + m.draw(3, "awake")
	for i, f := range m.machines {
		if awake&(1<<i) != 0 {
			m.step(f, failover.Tick{})
		}
	}
}

// runWithoutFaults lets the machines run for a while without lost messages.
func (m *model) runWithoutFaults() {
	for range 12 {
		m.advanceClock()
		m.deliverAll()
	}
}

func (m *model) toggleSlot(i int) {
	s := m.slots[i]
	s.alive = !s.alive || m.countDead() > group.CommitQuorum(len(m.slots))
}

func (m *model) countDead() int {
	n := 0
	for _, s := range m.slots {
		if !s.alive {
			n++
		}
	}
	return n
}

// takeRandomAction takes one action. Those that are to be drawn more often have
// several numbers.
func (m *model) takeRandomAction() {
	p := m.proxies[m.draw(2, "proxy")]
	i := m.draw(len(m.slots), "slot")
	switch m.draw(32, "action") {
	case 0, 1, 2:
		m.write(p)
	case 3, 4, 5:
		m.pollSlots(p)
	case 6, 7, 8, 9:
		m.deliver()
	case 10, 11, 12, 13:
		m.deliverAll()
	case 14:
		m.loseMessage(false)
	case 15:
		m.loseMessage(true)
	case 16, 17:
		m.replicate(i, 1+m.draw(3, "records"))
	case 18:
		m.replicateAll()
	case 19:
		s := m.slots[i]
		s.applied = min(s.applied+1, len(s.log))
	case 20:
		m.toggleSlot(i)
	case 21, 22, 23:
		m.advanceClock()
	case 24, 25:
		m.finishWaits(p)
	case 26:
		m.barrierRead(p)
	case 27:
		m.primaryRead(p)
	case 28:
		m.tokenRead(p)
		m.agedRead(p)
	case 29:
		m.slots[i].leaving = !m.slots[i].leaving
		m.step(m.machines[m.draw(2, "machine")], failover.SwitchoverRequest{})
	case 30:
		m.runWithoutFaults()
	case 31:
		m.write(p)
		m.deliverAll()
		m.replicateAll()
		m.pollSlots(p)
		m.deliverAll()
		m.finishWaits(p)
	}
}

const modelSteps = 1000

// For any order of messages, lost and late messages, killed slots and paused
// hosts, no durable write may be lost, no term may have two primaries, barrier,
// token and primary reads must return all acknowledged writes, and no read may
// return data older than its limit.
func TestDecisionsAreSafeForAnyOrderOfMessages(t *testing.T) {
	var acked, promoted, reads, checks int
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range modelSteps {
			m.takeRandomAction()
		}
		checks++
		acked += len(m.acked)
		promoted += len(m.promoted)
		reads += m.reads
	})
	t.Logf("%d checks: %d writes acknowledged, %d promotions, %d reads", checks, acked, promoted, reads)
	if acked < 10*checks || promoted < checks || reads < 10*checks {
		t.Error("want at least 10 acknowledged writes, 1 promotion and 10 reads per check")
	}
}
