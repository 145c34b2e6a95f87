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

// model is a group, two failover machines and two trackers that exchange
// messages through a bag. Any message may be delivered next, lost, or executed
// after its sender gave up; any participant may pause for any time. It has no
// notion of latency, so it reaches orders that a network would rarely produce.
type model struct {
	t        *rapid.T
	now      time.Time
	slots    []*modelSlot
	config   []group.Slot
	bag      []modelMessage
	machines []*failover.Machine
	proxies  []*modelProxy
	written  int
	acked    []modelAck
	promoted []modelPromotion
	reads    int
}

type modelRecord struct {
	position group.Position
	write    int
}

type modelSlot struct {
	alive    bool
	role     group.Role
	accepted group.Term
	log      []modelRecord
	applied  int
	upstream int
	leaving  bool
}

// modelMessage is a request or an answer. lose tells the sender of a request
// that it had no answer; it is nil for other messages.
type modelMessage struct {
	run  func()
	lose func(error)
}

type modelAck struct {
	write    int
	term     group.Term
	position group.Position
	at       time.Time
}

type modelPromotion struct {
	term group.Term
	slot int
	log  []modelRecord
}

// modelProxy is a host's traffic: its tracker and the requests that wait on it.
type modelProxy struct {
	tracker *replication.Tracker
	commits []modelCommit
	reads   []modelRead
}

type modelCommit struct {
	wait  replication.CommitWait
	term  group.Term
	write int
}

// modelRead must see the first seen acknowledged writes.
type modelRead struct {
	wait replication.BarrierWait
	seen int
	// slot, term and log are of a read that already ran on a primary; slot -1 for a replica read.
	slot int
	term group.Term
	log  []modelRecord
}

func newModel(t *rapid.T) *model {
	n := rapid.SampledFrom([]int{3, 3, 5, 4}).Draw(t, "n")
	m := &model{t: t, now: time.Unix(1e9, 0), config: grouptest.Slots(n, "a", "b", "c")}
	for i := range n {
		s := &modelSlot{alive: true, role: group.Replica, accepted: 1}
		if i == 0 {
			s.role, s.upstream = group.Primary, -1
			s.log = []modelRecord{{position: group.Position{Term: 1, Offset: 1}}}
		}
		m.slots = append(m.slots, s)
	}
	for i := range 2 {
		f := failover.New(failover.Config{Slots: m.config, Rand: rand.New(rand.NewPCG(1, uint64(i)))})
		m.machines = append(m.machines, f)
		m.proxies = append(m.proxies, &modelProxy{tracker: replication.NewTracker(m.config)})
		m.step(f, failover.Owner{Rank: i})
	}
	m.deliverAll()
	return m
}

func (m *model) draw(n int, label string) int { return rapid.IntRange(0, n-1).Draw(m.t, label) }

func (m *model) end(s *modelSlot) group.Position { return s.at(len(s.log)) }

func (s *modelSlot) at(n int) group.Position {
	if n == 0 {
		return group.Position{}
	}
	return s.log[n-1].position
}

func (m *model) status(i int) group.Status {
	s := m.slots[i]
	st := group.Status{Role: s.role, Accepted: s.accepted, Received: m.end(s), Applied: s.at(s.applied), Leaving: s.leaving}
	if s.role == group.Replica && s.upstream >= 0 {
		st.Upstream = m.config[s.upstream].Address
	}
	return st
}

// order executes an order as section 4 of the design page states.
func (m *model) order(i int, o failover.Order, t group.Term, primary string) (group.Status, error) {
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
	for i, s := range m.config {
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
	p := group.Position{Term: s.accepted, Offset: m.end(s).Offset + 1}
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

// request puts a request to a slot in the bag; reply gets its result later.
func (m *model) request(i int, execute func() error, reply func(error)) {
	m.bag = append(m.bag, modelMessage{
		run: func() {
			err := group.ErrUnreachable
			if m.slots[i].alive {
				err = execute()
			}
			m.bag = append(m.bag, modelMessage{run: func() { reply(err) }})
		},
		lose: reply,
	})
}

// step runs the machine's commands as messages.
func (m *model) step(f *failover.Machine, ev failover.Event) {
	for _, c := range f.Step(m.now, ev) {
		switch c := c.(type) {
		case failover.Probe:
			m.probe(f, c.Slot)
		case failover.Send:
			m.send(f, c)
		case failover.Refresh:
			m.bag = append(m.bag, modelMessage{run: func() { m.step(f, failover.Refreshed(c)) }})
		case failover.Hold:
			m.bag = append(m.bag, modelMessage{run: func() { m.step(f, failover.Drained{Attempt: c.Attempt}) }})
		}
	}
}

func (m *model) probe(f *failover.Machine, i int) {
	sent := m.now
	var st group.Status
	m.request(i, func() error { st = m.status(i); return nil }, func(err error) {
		if err != nil {
			m.step(f, failover.Missed{Slot: i, Sent: sent, Refused: err == group.ErrUnreachable})
			return
		}
		m.step(f, failover.Answered{Slot: i, Sent: sent, Status: st})
	})
}

func (m *model) send(f *failover.Machine, c failover.Send) {
	r := failover.Ordered{Attempt: c.Attempt, Order: c.Order, Slot: c.Slot, Term: c.Term, Sent: m.now}
	m.request(c.Slot, func() error {
		st, err := m.order(c.Slot, c.Order, c.Term, c.Primary)
		r.Status = st
		return err
	}, func(err error) {
		r.Err = err
		m.step(f, r)
	})
}

func (m *model) take(i int) modelMessage {
	msg := m.bag[i]
	m.bag = append(m.bag[:i], m.bag[i+1:]...)
	return msg
}

func (m *model) deliver() {
	if len(m.bag) > 0 {
		m.take(m.draw(len(m.bag), "message")).run()
	}
}

func (m *model) deliverAll() {
	for k := 0; k < 60 && len(m.bag) > 0; k++ {
		m.take(0).run()
	}
}

// lose gives a request up; with late it is executed nevertheless at some time.
func (m *model) lose(late bool) {
	if len(m.bag) == 0 {
		return
	}
	msg := m.take(m.draw(len(m.bag), "message"))
	if msg.lose == nil {
		return
	}
	if late {
		m.bag = append(m.bag, modelMessage{run: func() { msg.run(); m.bag = m.bag[:len(m.bag)-1] }})
	}
	msg.lose(group.ErrNoAnswer)
}

// replicate brings up to k records of its upstream to the slot.
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
	m.written++
	id, i := m.written, v.Primary
	m.request(i, func() error {
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

func (m *model) poll(p *modelProxy) {
	for i := range m.slots {
		q := p.tracker.BeginRequest(m.now, i)
		var st group.Status
		m.request(i, func() error { st = m.status(i); return nil }, func(err error) {
			if err != nil {
				p.tracker.RecordFailure(q)
				return
			}
			p.tracker.RecordAnswer(q, st)
		})
	}
}

// settle ends the waits of a proxy that can end; until then it may be paused.
func (m *model) settle(p *modelProxy) {
	var commits []modelCommit
	for _, c := range p.commits {
		at, done, err := p.tracker.CheckCommit(&c.wait)
		switch {
		case done:
			m.ack(modelAck{write: c.write, term: c.term, position: at, at: m.now})
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
		m.release(p, r, need)
	}
	p.reads = reads
}

func (m *model) ack(a modelAck) {
	m.acked = append(m.acked, a)
	for _, p := range m.promoted {
		m.checkKept(a, p)
	}
}

// release ends a read that passed its barrier, on the primary or on a replica.
func (m *model) release(p *modelProxy, r modelRead, need group.Position) {
	if r.slot >= 0 {
		if need.Term <= r.term {
			m.checkRead(r.log, m.acked[:r.seen], "primary read")
		}
		return
	}
	if i := p.tracker.View().PickReplica(m.now, need, 0, m.draw(len(m.slots), "start")); i >= 0 {
		m.checkRead(m.applied(i), m.acked[:r.seen], "barrier read")
	}
}

func (m *model) applied(i int) []modelRecord { return m.slots[i].log[:m.slots[i].applied] }

func (m *model) checkRead(log []modelRecord, acked []modelAck, kind string) {
	m.reads++
	for _, a := range acked {
		if !contains(log, a.write) {
			m.t.Fatalf("%s misses write %d, acknowledged at %v; log %v", kind, a.write, a.position, log)
		}
	}
}

func (m *model) barrierRead(p *modelProxy) {
	p.reads = append(p.reads, modelRead{wait: p.tracker.BeginBarrier(), seen: len(m.acked), slot: -1})
}

// primaryRead reads on the slot that the proxy takes for the primary, with a barrier in parallel.
func (m *model) primaryRead(p *modelProxy) {
	v := p.tracker.View()
	if v.Primary < 0 || m.slots[v.Primary].role != group.Primary {
		return
	}
	r := modelRead{wait: p.tracker.BeginBarrier(), seen: len(m.acked), slot: v.Primary, term: v.Term}
	r.log = m.applied(v.Primary)
	p.reads = append(p.reads, r)
}

// tokenRead reads with the token of an acknowledged write, from any proxy.
func (m *model) tokenRead(p *modelProxy) {
	if len(m.acked) == 0 {
		return
	}
	a := m.acked[m.draw(len(m.acked), "token")]
	if i := p.tracker.View().PickReplica(m.now, a.position, 0, m.draw(len(m.slots), "start")); i >= 0 {
		m.checkRead(m.applied(i), []modelAck{a}, "token read")
	}
}

// agedRead accepts data of a stated age.
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
	m.checkRead(m.applied(i), due, fmt.Sprintf("read of age %v", age))
}

// pass lets time pass; a machine outside the mask is paused and does not notice.
func (m *model) pass() {
	m.now = m.now.Add(time.Duration(1+m.draw(400, "ms")) * time.Millisecond)
	awake := 1 + m.draw(3, "awake")
	for i, f := range m.machines {
		if awake&(1<<i) != 0 {
			m.step(f, failover.Tick{})
		}
	}
}

// calm lets the machines work for a while without losses.
func (m *model) calm() {
	for range 12 {
		m.pass()
		m.deliverAll()
	}
}

func (m *model) toggle(i int) {
	s := m.slots[i]
	s.alive = !s.alive || m.dead() > group.Quorum(len(m.slots))
}

func (m *model) dead() int {
	n := 0
	for _, s := range m.slots {
		if !s.alive {
			n++
		}
	}
	return n
}

// act takes one action; the frequent ones come several times.
func (m *model) act() {
	p := m.proxies[m.draw(2, "proxy")]
	i := m.draw(len(m.slots), "slot")
	switch m.draw(32, "action") {
	case 0, 1, 2:
		m.write(p)
	case 3, 4, 5:
		m.poll(p)
	case 6, 7, 8, 9:
		m.deliver()
	case 10, 11, 12, 13:
		m.deliverAll()
	case 14:
		m.lose(false)
	case 15:
		m.lose(true)
	case 16, 17:
		m.replicate(i, 1+m.draw(3, "records"))
	case 18:
		m.replicateAll()
	case 19:
		s := m.slots[i]
		s.applied = min(s.applied+1, len(s.log))
	case 20:
		m.toggle(i)
	case 21, 22, 23:
		m.pass()
	case 24, 25:
		m.settle(p)
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
		m.calm()
	case 31:
		m.write(p)
		m.deliverAll()
		m.replicateAll()
		m.poll(p)
		m.deliverAll()
		m.settle(p)
	}
}

const modelSteps = 1000

// Guards against lost durable writes, two primaries of one term, barrier, token
// and primary reads that miss acknowledged writes, and data older than stated,
// for any order of messages, lost and late messages, killed slots and paused hosts.
func TestDecisionsAreSafeForAnyOrderOfMessages(t *testing.T) {
	var acked, promoted, reads, checks int
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range modelSteps {
			m.act()
		}
		checks++
		acked += len(m.acked)
		promoted += len(m.promoted)
		reads += m.reads
	})
	t.Logf("%d checks: %d writes acknowledged, %d promotions, %d reads", checks, acked, promoted, reads)
	if acked < 10*checks || promoted < checks || reads < 10*checks {
		t.Error("the model does too little to prove anything")
	}
}
