// Package grouptest is an in-memory group of backend servers that follows the
// contract of package group, for tests in virtual time (testing/synctest).
//
// Replication is asynchronous: each commit of a primary reaches a replica after
// the latency between their zones. Requests, answers and replication are
// messages that a fault may delay or drop on the way. A frozen server executes
// the requests that it received meanwhile when it thaws, even if nobody waits
// for the answers any more. The package starts no goroutines besides timers.
package grouptest

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/gypsumgap/gypsumgap/core/group"
)

// ErrNotPrimary refuses a write on a server that is not the primary.
var ErrNotPrimary = fmt.Errorf("%w: server is read-only", group.ErrRefused)

var errKilled = fmt.Errorf("%w: connection reset", group.ErrNoAnswer)

// Record is one record of a log. A record without a value starts a term. The
// record at index i has offset i+1.
type Record struct {
	Position group.Position
	Value    string
}

// Promotion records that a slot became primary.
type Promotion struct {
	Slot int
	Term group.Term
	// Log is the log at the promotion, the record that starts the term included.
	Log []Record
}

// Host is a place that requests come from.
type Host struct {
	Name string
	Zone string
}

// Counts counts the control requests that reached the network.
type Counts struct {
	Status, Fence, Promote, Follow int
}

// Options configures a Group.
type Options struct {
	Slots []group.Slot
	// Latency returns the one-way latency between zones; nil stands for none.
	Latency func(from, to string) time.Duration
	// ApplyDelay is the time from receiving a record to applying it.
	ApplyDelay time.Duration
}

// Group is a fake group. Its methods are safe for concurrent use.
type Group struct {
	opts Options

	mu         sync.Mutex
	servers    []*server
	cuts       map[[2]string]bool
	promotions []Promotion
	counts     Counts
}

type server struct {
	slot      group.Slot
	alive     bool
	frozen    bool
	pending   []message
	role      group.Role
	accepted  group.Term
	log       []Record
	applied   int
	upstream  int
	lastHeard time.Time
	lag       time.Duration
	stalled   bool
	leaving   bool
}

// message is what waits for a frozen server to thaw; drop is run if it is killed instead.
type message struct{ run, drop func() }

const noUpstream = -1

// New returns a group whose servers have empty logs and no primary.
func New(o Options) *Group {
	if o.Latency == nil {
		o.Latency = func(string, string) time.Duration { return 0 }
	}
	g := &Group{opts: o, cuts: map[[2]string]bool{}}
	for _, s := range o.Slots {
		sv := &server{slot: s, alive: true, role: group.Replica, upstream: noUpstream, lastHeard: time.Now()}
		g.servers = append(g.servers, sv)
	}
	return g
}

// Bootstrap makes the slot primary at term 1 with the others following it.
func (g *Group) Bootstrap(primary int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, s := range g.servers {
		s.accepted = 1
		if i != primary {
			s.role, s.upstream = group.Replica, primary
		}
	}
	g.becomePrimary(primary)
}

// Slots makes n slots, one per zone in turn, with distinct addresses.
func Slots(n int, zones ...string) []group.Slot {
	slots := make([]group.Slot, n)
	for i := range slots {
		slots[i] = group.Slot{
			ID:      group.SlotID(fmt.Sprintf("db/%d", i)),
			Address: fmt.Sprintf("127.0.1.%d:5432", i+1),
			Zone:    zones[i%len(zones)],
		}
	}
	return slots
}

// Uniform returns a latency function: local within a zone, remote between zones.
func Uniform(local, remote time.Duration) func(from, to string) time.Duration {
	return func(from, to string) time.Duration {
		if from == to {
			return local
		}
		return remote
	}
}

// Client returns a client whose requests come from the host.
func (g *Group) Client(h Host) group.Client { return &client{g: g, host: h} }

type client struct {
	g    *Group
	host Host
}

var _ group.Client = (*client)(nil)

// Status implements group.Client.
func (c *client) Status(ctx context.Context, slot group.Slot) (group.Status, error) {
	c.g.count(func(n *Counts) { n.Status++ })
	return call(ctx, c.g, c.host, slot, func(i int) (group.Status, error) {
		return c.g.status(i), nil
	})
}

// Fence implements group.Client.
func (c *client) Fence(ctx context.Context, slot group.Slot, t group.Term) (group.Status, error) {
	c.g.count(func(n *Counts) { n.Fence++ })
	return call(ctx, c.g, c.host, slot, func(i int) (group.Status, error) { return c.g.fence(i, t) })
}

// Promote implements group.Client.
func (c *client) Promote(ctx context.Context, slot group.Slot, t group.Term) (group.Status, error) {
	c.g.count(func(n *Counts) { n.Promote++ })
	return call(ctx, c.g, c.host, slot, func(i int) (group.Status, error) { return c.g.promote(i, t) })
}

// Follow implements group.Client.
func (c *client) Follow(ctx context.Context, slot group.Slot, t group.Term, primary string) (group.Status, error) {
	c.g.count(func(n *Counts) { n.Follow++ })
	return call(ctx, c.g, c.host, slot, func(i int) (group.Status, error) { return c.g.follow(i, t, primary) })
}

// Write commits a record on the slot, as a statement from the host would, and
// returns its position, which a real server would not tell. It fails with the
// errors of group.Client.
func (g *Group) Write(ctx context.Context, h Host, slot group.SlotID, value string) (group.Position, error) {
	return call(ctx, g, h, g.findSlot(slot), func(i int) (group.Position, error) {
		s := g.servers[i]
		if s.role != group.Primary {
			return group.Position{}, ErrNotPrimary
		}
		g.append(i, value)
		return position(s.log, len(s.log)), nil
	})
}

// Read returns the records that are applied on the slot.
func (g *Group) Read(ctx context.Context, h Host, slot group.SlotID) ([]Record, error) {
	return call(ctx, g, h, g.findSlot(slot), func(i int) ([]Record, error) {
		s := g.servers[i]
		return slices.Clip(s.log[:s.applied]), nil
	})
}

func (g *Group) findSlot(id group.SlotID) group.Slot {
	for _, s := range g.opts.Slots {
		if s.ID == id {
			return s
		}
	}
	panic(fmt.Sprintf("grouptest: no slot %q", id))
}

func (g *Group) count(add func(*Counts)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	add(&g.counts)
}

type result[T any] struct {
	value T
	err   error
}

// call sends a request to the slot, executes it there and returns the answer.
func call[T any](ctx context.Context, g *Group, h Host, slot group.Slot, execute func(int) (T, error)) (T, error) {
	i := g.indexOf(slot.ID)
	s := g.servers[i]
	there := g.latency(h.Zone, s.slot.Zone, h.Name, string(slot.ID))
	back := g.latency(s.slot.Zone, h.Zone, string(slot.ID), h.Name)
	reply := make(chan result[T], 1)
	answer := func(r result[T]) {
		time.AfterFunc(back, func() {
			if !g.IsCut(string(s.slot.ID), h.Name) {
				reply <- r
			}
		})
	}
	arrive := func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.cuts[[2]string{h.Name, string(s.slot.ID)}] {
			return
		}
		if !s.alive {
			answer(result[T]{err: fmt.Errorf("%w: connection refused", group.ErrUnreachable)})
			return
		}
		g.receive(s, message{
			run: func() {
				v, err := execute(i)
				answer(result[T]{v, err})
			},
			drop: func() { answer(result[T]{err: errKilled}) },
		})
	}
	timer := time.AfterFunc(there, arrive)
	select {
	case r := <-reply:
		return r.value, r.err
	case <-ctx.Done():
		var none T
		if timer.Stop() {
			return none, fmt.Errorf("%w: %w", group.ErrUnreachable, ctx.Err())
		}
		return none, fmt.Errorf("%w: %w", group.ErrNoAnswer, ctx.Err())
	}
}

// latency adds less than a microsecond that depends on the link. Messages over
// different links then arrive at different instants, so that their order does
// not depend on the scheduler.
func (g *Group) latency(fromZone, toZone, from, to string) time.Duration {
	h := fnv.New32a()
	_, _ = io.WriteString(h, from+">"+to)
	return g.opts.Latency(fromZone, toZone) + time.Duration(h.Sum32()%1000)*time.Nanosecond
}

// receive runs the message, or keeps it until the server thaws.
func (g *Group) receive(s *server, m message) {
	if s.frozen {
		s.pending = append(s.pending, m)
		return
	}
	m.run()
}

func (g *Group) indexOf(id group.SlotID) int {
	return slices.IndexFunc(g.opts.Slots, func(s group.Slot) bool { return s.ID == id })
}

// IsCut reports whether messages from one host name or slot ID to another are dropped.
func (g *Group) IsCut(from, to string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cuts[[2]string{from, to}]
}

func (g *Group) status(i int) group.Status {
	s := g.servers[i]
	st := group.Status{
		Role:            s.role,
		AcceptedTerm:    s.accepted,
		Received:        position(s.log, len(s.log)),
		Applied:         position(s.log, s.applied),
		Leaving:         s.leaving,
		ConnectionLimit: 100,
	}
	if s.upstream != noUpstream {
		st.Upstream = g.servers[s.upstream].slot.Address
	}
	if s.role == group.Replica && !g.isConnected(i) {
		st.ReceivingAge = time.Since(s.lastHeard)
	}
	return st
}

func position(log []Record, n int) group.Position {
	if n == 0 {
		return group.Position{}
	}
	return log[n-1].Position
}

func (g *Group) fence(i int, t group.Term) (group.Status, error) {
	s := g.servers[i]
	if t <= s.accepted {
		return group.Status{}, refused("fence", t, s.accepted)
	}
	g.updateLastHeard()
	s.accepted, s.role, s.upstream = t, group.Fenced, noUpstream
	return g.status(i), nil
}

func (g *Group) promote(i int, t group.Term) (group.Status, error) {
	s := g.servers[i]
	if t != s.accepted {
		return group.Status{}, refused("promote", t, s.accepted)
	}
	if s.role != group.Primary {
		g.becomePrimary(i)
	}
	return g.status(i), nil
}

func (g *Group) follow(i int, t group.Term, address string) (group.Status, error) {
	s := g.servers[i]
	primary := slices.IndexFunc(g.opts.Slots, func(o group.Slot) bool { return o.Address == address })
	if t < s.accepted || primary < 0 || primary == i {
		return group.Status{}, refused("follow", t, s.accepted)
	}
	if t == s.accepted && s.role == group.Primary {
		return group.Status{}, refused("follow", t, s.accepted)
	}
	g.updateLastHeard()
	s.accepted, s.role, s.upstream = t, group.Replica, primary
	g.sendLog(primary, i)
	return g.status(i), nil
}

func refused(order string, t, accepted group.Term) error {
	return fmt.Errorf("%w: %s at term %d, accepted term is %d", group.ErrRefused, order, t, accepted)
}

func (g *Group) becomePrimary(i int) {
	s := g.servers[i]
	g.updateLastHeard()
	s.role, s.upstream = group.Primary, noUpstream
	g.append(i, "")
	g.promotions = append(g.promotions, Promotion{Slot: i, Term: s.accepted, Log: slices.Clip(s.log)})
}

// append adds a record to the primary's log and sends it to the replicas.
func (g *Group) append(i int, value string) {
	s := g.servers[i]
	next := group.Position{Term: s.accepted, Offset: position(s.log, len(s.log)).Offset + 1}
	s.log = append(s.log, Record{Position: next, Value: value})
	s.applied = len(s.log)
	for r := range g.servers {
		if r != i {
			g.sendLog(i, r)
		}
	}
}

// sendLog puts the primary's log, as it is now, on its way to the replica.
func (g *Group) sendLog(from, to int) {
	p, r := g.servers[from], g.servers[to]
	if r.upstream != from || !g.isStreaming(p, r) {
		return
	}
	term, log := p.accepted, slices.Clip(p.log)
	delay := g.latency(p.slot.Zone, r.slot.Zone, string(p.slot.ID), string(r.slot.ID)) + r.lag
	time.AfterFunc(delay, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if r.alive && !g.isCutBetween(p, r) {
			g.receive(r, message{run: func() { g.receiveLog(from, to, term, log) }, drop: func() {}})
		}
	})
}

// isStreaming reports whether p sends its log: it is a running primary with an open link.
func (g *Group) isStreaming(p, r *server) bool {
	return p.alive && !p.frozen && p.role == group.Primary && !g.isCutBetween(p, r)
}

func (g *Group) isCutBetween(a, b *server) bool {
	return g.cuts[[2]string{string(a.slot.ID), string(b.slot.ID)}]
}

// receiveLog makes the log of a primary, as sent, that of the replica. A part of
// the replica's log that diverges is discarded.
func (g *Group) receiveLog(from, to int, term group.Term, log []Record) {
	r := g.servers[to]
	if r.role != group.Replica || r.upstream != from || r.accepted != term || r.stalled {
		return
	}
	r.lastHeard = time.Now()
	common := commonPrefix(r.log, log)
	older := common == len(log) && r.log[len(r.log)-1].Position.Term == term
	if !older {
		r.log, r.applied = log, min(r.applied, common)
	}
	time.AfterFunc(g.opts.ApplyDelay, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if n := commonPrefix(r.log, log); r.alive && n == len(log) {
			r.applied = max(r.applied, n)
		}
	})
}

// commonPrefix counts the records that both logs start with. Positions are
// unique, so equal positions mean equal records and equal logs before them.
func commonPrefix(a, b []Record) int {
	n := min(len(a), len(b))
	for n > 0 && a[n-1] != b[n-1] {
		n--
	}
	return n
}

// isConnected reports whether the replica hears from a primary of its own term.
func (g *Group) isConnected(i int) bool {
	r := g.servers[i]
	if r.upstream == noUpstream || !r.alive || r.frozen || r.stalled {
		return false
	}
	p := g.servers[r.upstream]
	return p.accepted == r.accepted && g.isStreaming(p, r) && !g.isCutBetween(r, p)
}

// updateLastHeard notes, before a change, which replicas have heard from their upstream until now.
func (g *Group) updateLastHeard() {
	for i, s := range g.servers {
		if g.isConnected(i) {
			s.lastHeard = time.Now()
		}
	}
}

// applyChange applies a fault or its end, then resumes replication where it is possible.
func (g *Group) applyChange(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateLastHeard()
	f()
	for i, s := range g.servers {
		if s.upstream != noUpstream {
			g.sendLog(s.upstream, i)
		}
	}
}

// Kill stops the server: connections are refused until Restart.
func (g *Group) Kill(i int) {
	g.applyChange(func() {
		s := g.servers[i]
		pending := s.pending
		s.alive, s.frozen, s.pending = false, false, nil
		for _, m := range pending {
			m.drop()
		}
	})
}

// Restart starts a killed server with its log, role and accepted term.
func (g *Group) Restart(i int) { g.applyChange(func() { g.servers[i].alive = true }) }

// Freeze makes the server answer nothing until Thaw.
func (g *Group) Freeze(i int) { g.applyChange(func() { g.servers[i].frozen = g.servers[i].alive }) }

// Thaw lets a frozen server run what it received meanwhile.
func (g *Group) Thaw(i int) {
	g.applyChange(func() {
		s := g.servers[i]
		pending := s.pending
		s.frozen, s.pending = false, nil
		for _, m := range pending {
			m.run()
		}
	})
}

// Cut drops the messages from one host name or slot ID to another.
func (g *Group) Cut(from, to string) { g.applyChange(func() { g.cuts[[2]string{from, to}] = true }) }

// CutBoth drops the messages between two host names or slot IDs.
func (g *Group) CutBoth(a, b string) {
	g.applyChange(func() { g.cuts[[2]string{a, b}], g.cuts[[2]string{b, a}] = true, true })
}

// Heal ends what Cut and CutBoth did between a and b.
func (g *Group) Heal(a, b string) {
	g.applyChange(func() {
		delete(g.cuts, [2]string{a, b})
		delete(g.cuts, [2]string{b, a})
	})
}

// HealAll ends every cut.
func (g *Group) HealAll() { g.applyChange(func() { clear(g.cuts) }) }

// SetLag delays replication to the slot.
func (g *Group) SetLag(i int, d time.Duration) { g.applyChange(func() { g.servers[i].lag = d }) }

// SetStalled stops or resumes replication to the slot.
func (g *Group) SetStalled(i int, stalled bool) {
	g.applyChange(func() { g.servers[i].stalled = stalled })
}

// SetLeaving sets whether the server reports that it is about to stop.
func (g *Group) SetLeaving(i int, leaving bool) {
	g.applyChange(func() { g.servers[i].leaving = leaving })
}

// Log returns the log of the slot.
func (g *Group) Log(i int) []Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.servers[i].log)
}

// Promotions returns the promotions in their order, that of Bootstrap included.
func (g *Group) Promotions() []Promotion {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.promotions)
}

// Counts returns the number of control requests so far.
func (g *Group) Counts() Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.counts
}

// Status returns the slot's state without a request.
func (g *Group) Status(i int) group.Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.status(i)
}

// LogContains reports whether the log contains the record at the position.
func LogContains(log []Record, p group.Position) bool {
	return p.Offset <= uint64(len(log)) && log[p.Offset-1].Position == p
}

// IsKilled reports whether an error means that the server was killed while it
// handled the request.
func IsKilled(err error) bool { return errors.Is(err, errKilled) }
