// Package membership keeps a host's view of the other hosts and derives from
// it which hosts own a database.
//
// The table combines two sources. The platform's host list names the hosts
// but lags. Probes between hosts tell within seconds which of them answer:
// each host probes one other per interval, asks a few more to probe a host
// that did not answer, and suspects it if they can't reach it either. A
// suspected host is dead unless it refutes the suspicion in time. Changes
// travel on the probes themselves, so the cost per host does not depend on the
// size of the fleet.
//
// Table is a deterministic state machine: time and messages are passed in, the
// messages to send come out.
package membership

import (
	"cmp"
	"encoding/binary"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumgap/gypsumgap/core/platform"
)

// maxSyncMembersPerMessage bounds the members of the walk in one message. Among
// thousands of hosts some change is always on its way, so that two tables
// differ most of the time and nearly every answer carries a part of the walk.
const maxSyncMembersPerMessage = 4

// State is what a host is known to be.
type State int

// The states, in the order in which one overrides another of the same incarnation.
const (
	Alive State = iota + 1
	Suspect
	Leaving
	Dead
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	case Dead:
		return "dead"
	default:
		return "unknown"
	}
}

// Member is one host as the table knows it.
type Member struct {
	Name string
	// PeerAddress serves control messages, host:port.
	PeerAddress string
	// ForwardAddress serves forwarded statements, host:port; empty until the
	// host itself has been heard of and has reached the store.
	ForwardAddress string
	Zone           string
	Region         string
	State          State
	// Incarnation orders statements about a host. The host raises it to refute
	// a suspicion; a restarted process starts with a greater one.
	Incarnation uint64
}

// Joining reports whether the host runs but has not reached the store yet.
func (m Member) Joining() bool { return m.Incarnation > 0 && m.ForwardAddress == "" }

// overrides reports whether a is newer knowledge than b.
func (m Member) overrides(b Member) bool {
	return cmp.Or(cmp.Compare(m.Incarnation, b.Incarnation), cmp.Compare(m.State, b.State)) > 0
}

// Options set the pace of a table.
type Options struct {
	// ProbeInterval is the time between two probes that this host sends.
	ProbeInterval time.Duration
	// ProbeTimeout is the time after which a probe counts as unanswered.
	ProbeTimeout time.Duration
	// IndirectProbes is the number of hosts asked to probe an unanswering one.
	IndirectProbes int
	// SuspicionTimeout is the time in which a suspected host must refute.
	SuspicionTimeout time.Duration
	// Retention is the time for which a dead host is remembered.
	Retention time.Duration
	// UpdatesPerMessage bounds the members that one message carries.
	UpdatesPerMessage int
	// SettleTimeout is how long a starting host waits for another host's table.
	SettleTimeout time.Duration
}

// DefaultOptions detect a dead host within about ten seconds.
func DefaultOptions() Options {
	return Options{
		ProbeInterval:     time.Second,
		ProbeTimeout:      500 * time.Millisecond,
		IndirectProbes:    3,
		SuspicionTimeout:  4 * time.Second,
		Retention:         10 * time.Minute,
		UpdatesPerMessage: 64,
		SettleTimeout:     3 * time.Second,
	}
}

// Message is what travels on a probe and on its answer.
type Message struct {
	From    string
	Updates []Member
	Digest  uint64
	// RequestAll asks for the whole table in the answer.
	RequestAll bool
}

// CommandKind tells what a command asks for.
type CommandKind int

// The kinds of command.
const (
	// SendProbe asks to send Message to Target; the outcome goes to
	// ProbeAnswered or ProbeFailed.
	SendProbe CommandKind = iota + 1
	// SendIndirectProbe asks Via to probe Target; the outcome goes to
	// IndirectAnswered.
	SendIndirectProbe
)

// Command is a message for the caller to send.
type Command struct {
	Kind    CommandKind
	Target  Member
	Via     Member
	Message Message
}

type entry struct {
	Member
	// stateSince is when the state was entered.
	stateSince time.Time
	// transmissions counts the messages that carried the entry's latest change.
	transmissions int
	// listed says that the platform's list names the host.
	listed bool
}

// Table is a host's view of all hosts. It is not safe for concurrent use.
type Table struct {
	self    string
	opts    Options
	rng     *rand.Rand
	entries map[string]*entry
	// probeQueue holds the names to probe in this pass, in random order.
	probeQueue []string
	nextProbe  time.Time
	// openIndirectProbes maps a suspected target to the indirect probes still open.
	openIndirectProbes map[string]int
	// disseminating holds the names whose latest change is still being sent.
	disseminating map[string]struct{}
	// syncQueue holds the names to send next when digests differ.
	syncQueue []string
	// synced says that another host has sent its whole table.
	synced bool
	// started is when the table was made.
	started time.Time
	// hostListMerged says that the platform's list has been merged.
	hostListMerged bool
	// digest is the digest of the entries, kept up to date by each change, since
	// it goes into every message.
	digest      uint64
	changeCount uint64
	// refutedDeaths counts the refuted claims that this host is dead.
	refutedDeaths uint64
}

// NewTable returns a table that knows self only. rng chooses probe targets.
func NewTable(self Member, opts Options, rng *rand.Rand, now time.Time) *Table {
	self.State = Alive
	t := &Table{
		self:               self.Name,
		opts:               opts,
		rng:                rng,
		entries:            map[string]*entry{},
		openIndirectProbes: map[string]int{},
		disseminating:      map[string]struct{}{},
		started:            now,
	}
	e := &entry{}
	t.entries[self.Name] = e
	t.setMember(now, e, self)
	return t
}

// Self returns the table's own member.
func (t *Table) Self() Member { return t.entries[t.self].Member }

// ChangeCount counts the changes to the table; it is equal only if nothing changed.
func (t *Table) ChangeCount() uint64 { return t.changeCount }

// RefutedDeaths counts the claims of other hosts that this one is dead.
func (t *Table) RefutedDeaths() uint64 { return t.refutedDeaths }

// CountMembers returns how many of the known hosts are alive, this one included.
// Leaving hosts are not counted.
func (t *Table) CountMembers() (alive, known int) {
	for _, e := range t.entries {
		switch e.State {
		case Alive:
			alive++
			known++
		case Suspect, Dead:
			known++
		}
	}
	return alive, known
}

// Members returns all known members ordered by name, dead ones included.
func (t *Table) Members() []Member {
	out := make([]Member, 0, len(t.entries))
	for _, e := range t.entries {
		out = append(out, e.Member)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Tick advances the table to now and returns the messages to send.
func (t *Table) Tick(now time.Time) []Command {
	t.expireMembers(now)
	if now.Before(t.nextProbe) {
		return nil
	}
	target, ok := t.nextProbeTarget()
	if !ok {
		return nil
	}
	t.nextProbe = now.Add(t.opts.ProbeInterval)
	m := t.newMessage(target.Name, false)
	m.RequestAll = !t.synced
	return []Command{{Kind: SendProbe, Target: target, Message: m}}
}

// Settled reports whether the table is good enough to derive ownership from:
// another host has sent its table, or the platform's list names no other host,
// or SettleTimeout has passed since the start. A host that acts on a table of
// itself alone would take all databases from their owners.
func (t *Table) Settled(now time.Time) bool {
	if t.synced || t.hostListMerged && len(t.entries) == 1 {
		return true
	}
	return now.Sub(t.started) >= t.opts.SettleTimeout
}

func (t *Table) expireMembers(now time.Time) {
	for name, e := range t.entries {
		age := now.Sub(e.stateSince)
		switch {
		case e.State == Suspect && age >= t.opts.SuspicionTimeout:
			m := e.Member
			m.State = Dead
			t.setMember(now, e, m)
		case e.State == Dead && !e.listed && age >= t.opts.Retention:
			delete(t.entries, name)
			delete(t.disseminating, name)
			t.changeCount++
		}
	}
}

func (t *Table) nextProbeTarget() (Member, bool) {
	for {
		if len(t.probeQueue) == 0 {
			t.refillProbeQueue()
		}
		if len(t.probeQueue) == 0 {
			return Member{}, false
		}
		name := t.probeQueue[0]
		t.probeQueue = t.probeQueue[1:]
		if e, ok := t.entries[name]; ok && t.shouldProbe(e) {
			return e.Member, true
		}
	}
}

// shouldProbe reports whether the host is worth a probe. A dead host that the
// platform still lists is shouldProbe as well, since a network partition may heal.
func (t *Table) shouldProbe(e *entry) bool {
	return e.Name != t.self && (e.State != Dead || e.listed)
}

func (t *Table) refillProbeQueue() {
	for name, e := range t.entries {
		if t.shouldProbe(e) {
			t.probeQueue = append(t.probeQueue, name)
		}
	}
	// Map order is random per run; sorting keeps the choice a function of rng.
	slices.Sort(t.probeQueue)
	t.rng.Shuffle(len(t.probeQueue), func(i, j int) { t.probeQueue[i], t.probeQueue[j] = t.probeQueue[j], t.probeQueue[i] })
}

// HandleProbe merges a probe from another host and returns the answer to send.
func (t *Table) HandleProbe(now time.Time, m Message) Message {
	differs := m.Digest != t.digest
	t.mergeUpdates(now, m.Updates)
	t.cancelIndirectProbes(m.From)
	answer := t.newMessage(m.From, differs && !m.RequestAll)
	if m.RequestAll {
		answer.Updates = t.announcedMembers()
	}
	return answer
}

// announcedMembers returns the members that have been heard of from a host, not only
// from the platform's list.
func (t *Table) announcedMembers() []Member {
	out := make([]Member, 0, len(t.entries))
	for _, m := range t.Members() {
		if m.Incarnation > 0 {
			out = append(out, m)
		}
	}
	return out
}

// ProbeAnswered merges the answer of a probe.
func (t *Table) ProbeAnswered(now time.Time, target string, m Message) {
	t.synced = true
	t.mergeUpdates(now, m.Updates)
	t.cancelIndirectProbes(target)
}

// ProbeFailed records that a probe had no answer and returns indirect probes
// to send.
func (t *Table) ProbeFailed(now time.Time, target string) []Command {
	e, ok := t.entries[target]
	if !ok || e.State == Dead {
		return nil
	}
	relays := t.randomAliveMembers(t.opts.IndirectProbes, target)
	if len(relays) == 0 {
		t.suspect(now, e)
		return nil
	}
	t.openIndirectProbes[target] = len(relays)
	cmds := make([]Command, len(relays))
	for i, via := range relays {
		cmds[i] = Command{Kind: SendIndirectProbe, Target: e.Member, Via: via}
	}
	return cmds
}

// IndirectProbeDone records the outcome of one indirect probe.
func (t *Table) IndirectProbeDone(now time.Time, target string, reached bool) {
	remaining, ok := t.openIndirectProbes[target]
	if !ok {
		return
	}
	if reached {
		t.cancelIndirectProbes(target)
		return
	}
	if remaining > 1 {
		t.openIndirectProbes[target] = remaining - 1
		return
	}
	delete(t.openIndirectProbes, target)
	if e, ok := t.entries[target]; ok {
		t.suspect(now, e)
	}
}

// cancelIndirectProbes notes that target itself answered, which ends the open indirect
// probes. It does not end a suspicion: only the target's own greater
// incarnation does, so that all hosts agree on the order of events.
func (t *Table) cancelIndirectProbes(target string) {
	delete(t.openIndirectProbes, target)
}

// suspect records that a host can't be reached. A leaving host is dead at once,
// since it has said that it will stop; otherwise every replaced host would stay
// in the table for good and take its part of the probes.
func (t *Table) suspect(now time.Time, e *entry) {
	m := e.Member
	switch e.State {
	case Alive:
		m.State = Suspect
	case Leaving:
		m.State = Dead
	default:
		return
	}
	t.setMember(now, e, m)
}

// Leave marks this host as leaving; it stays in the table until it is gone.
func (t *Table) Leave(now time.Time) {
	e := t.entries[t.self]
	m := e.Member
	m.State = Leaving
	m.Incarnation++
	t.setMember(now, e, m)
}

// Join tells the other hosts that this one can own databases, and where it
// takes forwarded statements.
func (t *Table) Join(now time.Time, forwardAddress string) {
	e := t.entries[t.self]
	m := e.Member
	m.ForwardAddress = forwardAddress
	m.Incarnation++
	t.setMember(now, e, m)
}

// MergeHostList adds the hosts of the platform's list. The list lags, so it
// neither revives a dead host nor ends one that answers.
func (t *Table) MergeHostList(now time.Time, hosts []platform.Host) {
	t.hostListMerged = true
	for _, e := range t.entries {
		e.listed = false
	}
	for _, h := range hosts {
		m := Member{Name: h.Name, PeerAddress: h.Address, Zone: h.Zone, Region: h.Region, State: Alive}
		e, ok := t.entries[h.Name]
		if !ok {
			e = &entry{}
			t.entries[h.Name] = e
			t.setMember(now, e, m)
		}
		e.listed = true
		if h.State == platform.HostLeaving && e.State < Leaving && h.Name != t.self {
			leaving := e.Member
			leaving.State = Leaving
			t.setMember(now, e, leaving)
		}
	}
}

func (t *Table) mergeUpdates(now time.Time, updates []Member) {
	for _, u := range updates {
		if u.Name == t.self {
			t.refute(now, u)
			continue
		}
		e, ok := t.entries[u.Name]
		if !ok {
			if u.State == Dead {
				continue
			}
			e = &entry{}
			t.entries[u.Name] = e
		} else if !u.overrides(e.Member) {
			continue
		}
		t.setMember(now, e, u)
	}
}

// refute answers a claim that this host is suspect or dead with a greater
// incarnation, which overrides the claim wherever it went.
func (t *Table) refute(now time.Time, claim Member) {
	e := t.entries[t.self]
	if claim.Incarnation < e.Incarnation || claim.State == e.State || claim.State == Alive {
		return
	}
	if claim.State == Dead {
		t.refutedDeaths++
	}
	m := e.Member
	m.Incarnation = claim.Incarnation + 1
	t.setMember(now, e, m)
}

func (t *Table) setMember(now time.Time, e *entry, m Member) {
	if e.State != m.State {
		e.stateSince = now
	}
	if m.ForwardAddress == "" {
		m.ForwardAddress = e.ForwardAddress
	}
	t.digest ^= e.digest()
	e.Member = m
	t.digest ^= e.digest()
	e.transmissions = 0
	if m.Name != t.self && m.Incarnation > 0 {
		t.disseminating[m.Name] = struct{}{}
	}
	t.changeCount++
}

func (t *Table) randomAliveMembers(n int, except string) []Member {
	var out []Member
	for name, e := range t.entries {
		if name != t.self && name != except && e.State == Alive {
			out = append(out, e.Member)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	t.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
}

// newMessage builds a newMessage for the host to. It carries this host itself, what
// the receiver must refute if it is not held alive, and the least often sent
// changes. With walk, the room left carries the next members of the whole
// table, so that two tables that differ converge even if the changes are no
// longer sent.
func (t *Table) newMessage(to string, withSync bool) Message {
	updates := make([]*entry, 0, len(t.disseminating))
	for name := range t.disseminating {
		updates = append(updates, t.entries[name])
	}
	slices.SortFunc(updates, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.transmissions, b.transmissions), cmp.Compare(a.Name, b.Name))
	})
	updates = updates[:min(len(updates), t.opts.UpdatesPerMessage)]
	m := Message{From: t.self, Digest: t.digest, Updates: []Member{t.Self()}}
	if e, ok := t.entries[to]; ok && e.State != Alive {
		m.Updates = append(m.Updates, e.Member)
	}
	limit := t.transmissionLimit()
	for _, e := range updates {
		if e.transmissions++; e.transmissions >= limit {
			delete(t.disseminating, e.Name)
		}
		m.Updates = append(m.Updates, e.Member)
	}
	if withSync {
		m.Updates = append(m.Updates, t.nextSyncMembers(maxSyncMembersPerMessage-len(updates))...)
	}
	return m
}

// transmissionLimit is the number of messages that carry a change. Twice the
// binary logarithm of the fleet's size, nearly three times the natural one,
// reaches all hosts with high probability; the walk repairs what it misses.
func (t *Table) transmissionLimit() int { return 2 * bits.Len(uint(len(t.entries))) }

// nextSyncMembers returns the next n members of a nextSyncMembers over the whole table.
func (t *Table) nextSyncMembers(n int) []Member {
	var out []Member
	for ; n > 0; n-- {
		if len(t.syncQueue) == 0 {
			for _, m := range t.Members() {
				t.syncQueue = append(t.syncQueue, m.Name)
			}
		}
		name := t.syncQueue[0]
		t.syncQueue = t.syncQueue[1:]
		if e, ok := t.entries[name]; ok && e.Incarnation > 0 {
			out = append(out, e.Member)
		}
	}
	return out
}

// digest is the entry's part in the digest of a table, which is the exclusive
// or of all parts and so does not depend on their order. A dead host has none,
// since it is forgotten at different times.
func (e *entry) digest() uint64 {
	if e.State == Dead || e.Incarnation == 0 {
		return 0
	}
	buf := make([]byte, 0, 64)
	buf = append(buf, e.Name...)
	buf = append(buf, byte(e.State))
	buf = binary.LittleEndian.AppendUint64(buf, e.Incarnation)
	return xxhash.Sum64(buf)
}
