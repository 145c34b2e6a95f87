// Package membership maintains a host's view of the other hosts and derives
// from it which hosts own each database.
//
// The membership table combines two sources. The platform's host list names
// the hosts but lags. Probes between hosts detect failures within seconds,
// with a gossip protocol in the manner of SWIM: each host probes one other
// host per interval. If the target does not answer, it asks a few other hosts
// to probe the target, and suspects the target if none of them reaches it. A
// suspected host is declared dead unless it refutes the suspicion in time.
// Membership updates are piggybacked on the probes, so the number of messages
// per host does not depend on the size of the fleet.
//
// Table is a deterministic state machine: the caller passes in the time and
// the received messages and sends the messages that the table returns.
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

// maxSyncMembersPerMessage bounds the members that one answer carries for
// anti-entropy, which sends the whole table piece by piece. Among thousands of
// hosts some update is always in flight, so two tables differ most of the time
// and nearly every answer carries such a piece.
const maxSyncMembersPerMessage = 4

// State is the liveness state of a host.
type State int

// The states in ascending precedence: of two updates with the same incarnation,
// the one with the greater state wins.
const (
	Alive State = iota + 1
	// Suspect hosts did not answer a probe and may still refute the suspicion.
	Suspect
	// Leaving hosts have announced that they will stop.
	Leaving
	Dead
)

// String returns the name of the state in lower case, or "unknown".
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

// Member is what the table knows about one host.
type Member struct {
	Name string
	// PeerAddress is the host:port that accepts control messages from other hosts.
	PeerAddress string
	// ForwardAddress is the host:port that accepts forwarded statements. It is
	// empty until an update from the host itself arrives that it sent after it
	// had reached the store.
	ForwardAddress string
	Zone           string
	Region         string
	State          State
	// Incarnation orders updates about a host. The host raises it to refute a
	// suspicion, and a restarted process starts with a greater one. It is 0 for
	// a host that only the platform's list names.
	Incarnation uint64
}

// Joining reports whether the host is running but has not reached the store yet.
func (m Member) Joining() bool { return m.Incarnation > 0 && m.ForwardAddress == "" }

// overrides reports whether m supersedes b: it has the greater incarnation or,
// with equal incarnations, the greater state.
func (m Member) overrides(b Member) bool {
	return cmp.Or(cmp.Compare(m.Incarnation, b.Incarnation), cmp.Compare(m.State, b.State)) > 0
}

// Options are the timing and size parameters of a table.
type Options struct {
	// ProbeInterval is the time between two probes sent by this host.
	ProbeInterval time.Duration
	// ProbeTimeout is the time after which a probe counts as unanswered.
	ProbeTimeout time.Duration
	// IndirectProbes is the number of hosts asked to probe a host that did not
	// answer.
	IndirectProbes int
	// SuspicionTimeout is the time a suspect host has to refute the suspicion
	// before it is declared dead.
	SuspicionTimeout time.Duration
	// Retention is how long a dead host stays in the table. It stays longer while
	// the platform's list names it.
	Retention time.Duration
	// UpdatesPerMessage bounds the recent updates that one message carries.
	UpdatesPerMessage int
	// SettleTimeout is how long a starting host waits for another host's table
	// before it derives ownership from its own.
	SettleTimeout time.Duration
}

// DefaultOptions returns options with which a dead host is detected within
// about ten seconds.
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

// Message is the payload of a probe and of its answer.
type Message struct {
	From    string
	Updates []Member
	// Digest is the digest of the sender's table, by which the receiver detects
	// that its own differs.
	Digest uint64
	// RequestAll asks the receiver to answer with its whole table.
	RequestAll bool
}

// CommandKind is the kind of a Command.
type CommandKind int

// The kinds of command.
const (
	// SendProbe sends Message to Target; the outcome is reported to
	// ProbeAnswered or ProbeFailed.
	SendProbe CommandKind = iota + 1
	// SendIndirectProbe asks Via to probe Target; the outcome is reported to
	// IndirectProbeDone.
	SendIndirectProbe
)

// Command is a message that the caller of the table must send.
type Command struct {
	Kind   CommandKind
	Target Member
	// Via is set for SendIndirectProbe only.
	Via Member
	// Message is set for SendProbe only.
	Message Message
}

// entry is a member with the table's own bookkeeping.
type entry struct {
	Member
	// stateSince is the time of the last change of State.
	stateSince time.Time
	// transmissions counts the messages that carried the latest update.
	transmissions int
	// listed is true if the platform's list names the host.
	listed bool
}

// Table is a host's view of all hosts, itself included. It is not safe for
// concurrent use.
type Table struct {
	self    string
	opts    Options
	rng     *rand.Rand
	entries map[string]*entry
	// probeQueue holds the names left to probe in this round, in random order.
	probeQueue []string
	nextProbe  time.Time
	// openIndirectProbes maps a target that did not answer to the number of
	// indirect probes whose outcome is outstanding.
	openIndirectProbes map[string]int
	// disseminating holds the names whose latest update is still being sent.
	disseminating map[string]struct{}
	// syncQueue holds the names that anti-entropy sends next when digests differ.
	syncQueue []string
	// synced is true once another host has sent its whole table.
	synced bool
	// started is the time at which the table was created.
	started time.Time
	// hostListMerged is true once the platform's list has been merged.
	hostListMerged bool
	// digest is the digest of all entries. Each change updates it, since every
	// message carries it.
	digest      uint64
	changeCount uint64
	// refutedDeaths counts the refuted updates that declared this host dead.
	refutedDeaths uint64
}

// NewTable returns a table that contains only self. rng selects the hosts to
// probe and to send indirect probes through.
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

// Self returns the member of this host.
func (t *Table) Self() Member { return t.entries[t.self].Member }

// ChangeCount returns the number of changes made to the table. Two equal results
// mean that nothing changed in between.
func (t *Table) ChangeCount() uint64 { return t.changeCount }

// RefutedDeaths returns how often this host refuted an update that declared it
// dead.
func (t *Table) RefutedDeaths() uint64 { return t.refutedDeaths }

// CountMembers returns the number of alive hosts and of known hosts, this one
// included. Leaving hosts count as neither; suspect and dead ones are known.
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

// Members returns all members ordered by name, dead ones included.
func (t *Table) Members() []Member {
	out := make([]Member, 0, len(t.entries))
	for _, e := range t.entries {
		out = append(out, e.Member)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Tick advances the table to now and returns the next probe to send, if one is
// due.
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

// Settled reports whether the table is complete enough to derive ownership
// from: another host has sent its table, or the platform's list names no other
// host, or SettleTimeout has passed since the start. A host that acted on a
// table with only itself would take all databases from their owners.
func (t *Table) Settled(now time.Time) bool {
	if t.synced || t.hostListMerged && len(t.entries) == 1 {
		return true
	}
	return now.Sub(t.started) >= t.opts.SettleTimeout
}

// expireMembers declares hosts dead that have been suspect for SuspicionTimeout,
// and removes those that have been dead for Retention and are not listed.
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

// nextProbeTarget returns the next host of the round, or false if there is none
// to probe.
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

// shouldProbe reports whether the host is to be probed. A dead host that the
// platform still lists is probed too, since a network partition may heal.
func (t *Table) shouldProbe(e *entry) bool {
	return e.Name != t.self && (e.State != Dead || e.listed)
}

func (t *Table) refillProbeQueue() {
	for name, e := range t.entries {
		if t.shouldProbe(e) {
			t.probeQueue = append(t.probeQueue, name)
		}
	}
	// Map order is random; sorting makes the result depend on rng alone.
	slices.Sort(t.probeQueue)
	t.rng.Shuffle(len(t.probeQueue), func(i, j int) { t.probeQueue[i], t.probeQueue[j] = t.probeQueue[j], t.probeQueue[i] })
}

// HandleProbe merges the updates of a probe from another host and returns the
// answer to send.
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

// announcedMembers returns the members about which a host has sent an update,
// without those that only the platform's list names.
func (t *Table) announcedMembers() []Member {
	out := make([]Member, 0, len(t.entries))
	for _, m := range t.Members() {
		if m.Incarnation > 0 {
			out = append(out, m)
		}
	}
	return out
}

// ProbeAnswered merges the updates of the answer to a probe of target.
func (t *Table) ProbeAnswered(now time.Time, target string, m Message) {
	t.synced = true
	t.mergeUpdates(now, m.Updates)
	t.cancelIndirectProbes(target)
}

// ProbeFailed records that target did not answer a probe and returns the
// indirect probes to send. It suspects target at once if no other host is alive.
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

// IndirectProbeDone records the outcome of one indirect probe and suspects
// target if none of them reached it.
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

// cancelIndirectProbes discards the outstanding indirect probes of a target that
// answered. It does not end a suspicion: only a greater incarnation from the
// target itself does, so that all hosts agree on the order of events.
func (t *Table) cancelIndirectProbes(target string) {
	delete(t.openIndirectProbes, target)
}

// suspect records that a host can't be reached. A leaving host becomes dead at
// once, since it has announced that it will stop; otherwise every replaced host
// would stay in the table forever and continue to be probed.
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

// Leave marks this host as leaving, so that it owns no databases. Other hosts
// keep it in their tables until it stops.
func (t *Table) Leave(now time.Time) {
	e := t.entries[t.self]
	m := e.Member
	m.State = Leaving
	m.Incarnation++
	t.setMember(now, e, m)
}

// Join announces to the other hosts that this one can own databases and accepts
// forwarded statements at forwardAddress.
func (t *Table) Join(now time.Time, forwardAddress string) {
	e := t.entries[t.self]
	m := e.Member
	m.ForwardAddress = forwardAddress
	m.Incarnation++
	t.setMember(now, e, m)
}

// MergeHostList adds the hosts of the platform's list. The list lags, so it
// neither revives a dead host nor removes one that answers.
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

// mergeUpdates applies the updates that supersede what the table holds. A dead
// host that the table does not contain is not added, since that would start a
// new retention period.
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

// refute raises the incarnation of this host if a claim that is not outdated
// declares it suspect, leaving or dead contrary to its own state. The new update
// supersedes the claim on every host that received it.
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

// setMember replaces the member of an entry and starts to disseminate it. A known
// ForwardAddress is kept if m has none.
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

// randomAliveMembers returns at most n alive hosts other than this one and except.
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

// newMessage builds a message for the host to. It carries the member of this
// host, that of the receiver if this table does not hold it alive, which the
// receiver must refute, and the updates sent least often. If withSync is true,
// the next members of the whole table follow as far as the recent updates leave
// room, so that two differing tables converge even if the updates that would
// reconcile them are no longer disseminated.
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

// transmissionLimit returns the number of messages that carry an update. Twice
// the binary logarithm of the fleet's size, nearly three times the natural one,
// reaches all hosts with high probability; anti-entropy covers the rest.
func (t *Table) transmissionLimit() int { return 2 * bits.Len(uint(len(t.entries))) }

// nextSyncMembers takes the next n names of the sync queue, which repeats the
// whole table, and returns those members about which a host has sent an update.
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

// digest returns the entry's contribution to the digest of the table, which is
// the exclusive or of all contributions and so independent of their order. Dead
// hosts contribute nothing, since hosts remove them at different times.
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
