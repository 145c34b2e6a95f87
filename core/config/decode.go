package config

import (
	"encoding/base64"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gypsumgap/gypsumgap/core/finding"
	"github.com/gypsumgap/gypsumgap/core/group"
)

// Defaults for the optional keys of a service.
const (
	DefaultCommitTimeout = Duration(5 * time.Second)
	DefaultReplicaWait   = Duration(20 * time.Millisecond)
	DefaultProbeIdle     = Duration(time.Second)
	DefaultProbeSuspect  = Duration(250 * time.Millisecond)
	DefaultMisses        = 3
	DefaultDeadline      = Duration(5 * time.Second)
	DefaultQueueLimit    = 100
)

// Bounds of configured values.
const (
	// OwnersPerDatabase is the number of hosts that share a database's connections.
	// Each of them needs at least one, so it is the least connection limit.
	OwnersPerDatabase = 2
	// MaxPriority is the greatest value of a priority, which is the least urgent.
	MaxPriority = 9

	maxQueueLimit    = 1_000_000
	maxCommitTimeout = Duration(time.Minute)
	// maxReplicaWait keeps the wait of a read below a whole probe interval.
	maxReplicaWait  = Duration(time.Second)
	minProbeIdle    = Duration(100 * time.Millisecond)
	maxProbeIdle    = Duration(5 * time.Second)
	minProbeSuspect = Duration(50 * time.Millisecond)
	minMisses       = 2
	maxMisses       = 10
)

// decoder decodes the merged tree into services and checks the rules that involve
// several values. Its maps hold the position at which each name or address was
// first used.
type decoder struct {
	findings  *finding.List
	databases map[string]finding.Position
	slots     map[string]finding.Position
	addresses map[string]finding.Position
}

func newDecoder(l *finding.List) *decoder {
	return &decoder{
		findings:  l,
		databases: map[string]finding.Position{},
		slots:     map[string]finding.Position{},
		addresses: map[string]finding.Position{},
	}
}

func (d *decoder) decodeServices(root *node) []Service {
	services := root.fields[keyServices]
	if services == nil {
		return nil
	}
	var out []Service
	for _, name := range services.keys {
		out = append(out, d.decodeService(name, services.fields[name]))
	}
	return out
}

func (d *decoder) decodeService(name string, n *node) Service {
	d.checkRequired(n, "service "+name)
	s := Service{
		Name:          name,
		CommitTimeout: scalarOrDefault(n, keyCommitTimeout, DefaultCommitTimeout),
		ReplicaWait:   scalarOrDefault(n, keyReplicaWait, DefaultReplicaWait),
		Failover:      d.decodeFailover(n.fields[keyFailover]),
		Objectives:    decodeObjectives(n.fields[keyObjectives]),
	}
	d.checkDuration(n, keyCommitTimeout, s.CommitTimeout, Duration(time.Millisecond), maxCommitTimeout)
	d.checkDuration(n, keyReplicaWait, s.ReplicaWait, 0, maxReplicaWait)
	d.checkNotEmpty(n.fields[keyCallers], "at least one caller")
	d.checkNotEmpty(n.fields[keyDatabases], "at least one database")
	for _, it := range listItems(n, keyCallers) {
		s.Callers = append(s.Callers, d.decodeCaller(it))
	}
	for _, it := range listItems(n, keyDatabases) {
		s.Databases = append(s.Databases, d.decodeDatabase(it))
	}
	for _, it := range listItems(n, keyClasses) {
		s.Classes = append(s.Classes, d.decodeClass(it, s.Failover))
	}
	s.sort()
	return s
}

func (d *decoder) decodeFailover(n *node) FailoverPolicy {
	p := FailoverPolicy{ProbeIdle: DefaultProbeIdle, ProbeSuspect: DefaultProbeSuspect, Misses: DefaultMisses}
	if n == nil {
		return p
	}
	p.ProbeIdle = scalarOrDefault(n, keyProbeIdle, p.ProbeIdle)
	p.ProbeSuspect = scalarOrDefault(n, keyProbeSuspect, min(p.ProbeSuspect, p.ProbeIdle))
	p.Misses = scalarOrDefault(n, keyMisses, p.Misses)
	d.checkDuration(n, keyProbeIdle, p.ProbeIdle, minProbeIdle, maxProbeIdle)
	d.checkDuration(n, keyProbeSuspect, p.ProbeSuspect, minProbeSuspect, p.ProbeIdle)
	d.checkInteger(n, keyMisses, p.Misses, minMisses, maxMisses)
	return p
}

func decodeObjectives(n *node) Objectives {
	if n == nil {
		return Objectives{}
	}
	return Objectives{
		AnsweredWithin:   scalarOrDefault(n, keyAnsweredWithin, Duration(0)),
		AnsweredShare:    scalarOrDefault(n, keyAnsweredShare, 0.0),
		WritableShare:    scalarOrDefault(n, keyWritableShare, 0.0),
		ReplicaReadShare: scalarOrDefault(n, keyReplicaReadShare, 0.0),
	}
}

func (d *decoder) decodeCaller(n *node) Caller {
	d.checkRequired(n, "caller "+n.text(keyUser))
	c := Caller{User: n.text(keyUser), Verifier: n.text(keyVerifier)}
	if v := n.fields[keyVerifier]; v != nil && v.value != nil && !validVerifier(c.Verifier) {
		d.findings.Errorf(v.position, "SCRAM-SHA-256$ITERATIONS:SALT$STORED_KEY:SERVER_KEY",
			"the verifier of caller %q is not a SCRAM-SHA-256 verifier", c.User)
	}
	return c
}

// validVerifier reports whether v is a SCRAM-SHA-256 verifier in the format in
// which PostgreSQL stores it.
func validVerifier(v string) bool {
	parts := strings.Split(v, "$")
	if len(parts) != 3 || parts[0] != "SCRAM-SHA-256" {
		return false
	}
	iterations, salt, ok := strings.Cut(parts[1], ":")
	stored, server, ok2 := strings.Cut(parts[2], ":")
	if !ok || !ok2 {
		return false
	}
	if n, err := strconv.Atoi(iterations); err != nil || n < 1 {
		return false
	}
	const keyBytes = 32
	return decodedLength(salt) > 0 && decodedLength(stored) == keyBytes && decodedLength(server) == keyBytes
}

// decodedLength returns the number of bytes that s encodes in base64, or -1 if s
// is not valid base64.
func decodedLength(s string) int {
	b, err := base64.StdEncoding.DecodeString(s)
	if err != nil {
		return -1
	}
	return len(b)
}

func (d *decoder) decodeDatabase(n *node) Database {
	db := Database{
		Name:            n.text(keyName),
		ConnectionLimit: scalarOrDefault(n, keyConnectionLimit, OwnersPerDatabase),
	}
	d.checkRequired(n, "database "+db.Name)
	d.checkUnique(d.databases, n.fields[keyName], "database name")
	if limit := n.fields[keyConnectionLimit]; limit != nil && db.ConnectionLimit < OwnersPerDatabase {
		d.findings.Errorf(limit.position, fmt.Sprintf("at least %d, one for each owner host", OwnersPerDatabase),
			"connection_limit %d of database %q is below the number of owner hosts", db.ConnectionLimit, db.Name)
	}
	for _, it := range listItems(n, keySlots) {
		db.Slots = append(db.Slots, d.decodeSlot(it))
	}
	d.checkSlotCount(n.fields[keySlots], db.Name)
	return db
}

func (d *decoder) checkSlotCount(slots *node, database string) {
	d.checkNotEmpty(slots, "at least one slot")
	if slots == nil {
		return
	}
	if count := len(slots.items); count > 0 && count%2 == 0 {
		d.findings.Warnf(slots.position, "an odd number of slots",
			"database %q has %d slots, which tolerate no more failures than %d", database, count, count-1)
	}
}

func (d *decoder) decodeSlot(n *node) group.Slot {
	s := group.Slot{
		ID:      group.SlotID(n.text(keyID)),
		Address: n.text(keyAddress),
		Zone:    n.text(keyZone),
		Region:  n.text(keyRegion),
	}
	d.checkRequired(n, "slot "+string(s.ID))
	d.checkUnique(d.slots, n.fields[keyID], "slot id")
	d.checkUnique(d.addresses, n.fields[keyAddress], "slot address")
	if a := n.fields[keyAddress]; a != nil && a.value != nil {
		if ap, err := netip.ParseAddrPort(s.Address); err != nil || ap.Port() == 0 {
			d.findings.Errorf(a.position, "an IP address and a port above 0, such as 10.0.0.1:5432", "address %q of slot %q is not a usable IP address and port", s.Address, s.ID)
		}
	}
	return s
}

func (d *decoder) decodeClass(n *node, failover FailoverPolicy) Class {
	c := Class{
		Name:       n.text(keyName),
		Priority:   scalarOrDefault(n, keyPriority, 0),
		Deadline:   scalarOrDefault(n, keyDeadline, DefaultDeadline),
		Read:       scalarOrDefault(n, keyRead, false),
		MaxAge:     scalarOrDefault(n, keyMaxAge, Duration(0)),
		QueueLimit: scalarOrDefault(n, keyQueueLimit, DefaultQueueLimit),
	}
	c.Repeatable = scalarOrDefault(n, keyRepeatable, c.Read)
	d.checkRequired(n, "class "+c.Name)
	d.checkInteger(n, keyPriority, c.Priority, 0, MaxPriority)
	d.checkInteger(n, keyQueueLimit, c.QueueLimit, 0, maxQueueLimit)
	if c.Deadline <= 0 {
		d.findings.Errorf(n.fields[keyDeadline].position, "a positive duration", "deadline of class %q is 0", c.Name)
	}
	if c.Read && !c.Repeatable {
		d.findings.Errorf(n.fields[keyRepeatable].position, "repeatable: true, or read: false",
			"read class %q is declared not repeatable, but a read changes nothing", c.Name)
	}
	d.checkMaxAge(n.fields[keyMaxAge], c, failover)
	return c
}

// checkMaxAge checks the age of data that a class accepts. The position of an
// idle replica is refreshed once per idle probe, so a replica can't guarantee a
// smaller age.
func (d *decoder) checkMaxAge(n *node, c Class, failover FailoverPolicy) {
	switch {
	case c.MaxAge == 0:
	case !c.Read:
		d.findings.Errorf(n.position, "read: true, or no max_age", "class %q has a max_age but is not a read class", c.Name)
	case c.MaxAge < failover.ProbeIdle:
		d.findings.Errorf(n.position, fmt.Sprintf("at least %s, or 0 for current data, or a shorter failover.probe_idle", failover.ProbeIdle),
			"no replica can meet max_age %s of class %q: an idle replica is refreshed every %s", c.MaxAge, c.Name, failover.ProbeIdle)
	}
}

// checkRequired reports the required keys of n that none of the files sets.
func (d *decoder) checkRequired(n *node, what string) {
	for _, f := range n.schema.fields {
		if !f.required || n.fields[f.name] != nil {
			continue
		}
		if f.name == keyZone {
			d.findings.Errorf(n.position, "zone: the availability zone of the backend server", "%s has no availability zone", what)
			continue
		}
		d.findings.Errorf(n.position, f.name+": "+f.schema.kind.expected(), "%s has no %s", what, f.name)
	}
}

// checkNotEmpty reports a list without items unless it already had a finding.
func (d *decoder) checkNotEmpty(n *node, expected string) {
	if n != nil && len(n.items) == 0 && !n.invalid {
		d.findings.Errorf(n.position, expected, "the list is empty")
	}
}

// checkUnique reports a name that is in seen already, and adds it otherwise.
func (d *decoder) checkUnique(seen map[string]finding.Position, n *node, what string) {
	if n == nil || n.value == nil {
		return
	}
	name, _ := n.value.(string)
	if first, ok := seen[name]; ok {
		d.findings.Errorf(n.position, "a "+what+" that is unique among all services", "%s %q is already used at %s", what, name, first)
		return
	}
	seen[name] = n.position
}

// checkDuration reports a duration outside of low to high, inclusive.
func (d *decoder) checkDuration(n *node, key string, v, low, high Duration) {
	if v < low || v > high {
		d.reportOutOfBounds(n, key, v, low, high)
	}
}

// checkInteger reports a number outside of low to high, inclusive.
func (d *decoder) checkInteger(n *node, key string, v, low, high int) {
	if v < low || v > high {
		d.reportOutOfBounds(n, key, v, low, high)
	}
}

// reportOutOfBounds reports a value only if a file sets it; defaults have no
// position.
func (d *decoder) reportOutOfBounds(n *node, key string, v, low, high any) {
	if f := n.fields[key]; f != nil && f.value != nil {
		d.findings.Errorf(f.position, fmt.Sprintf("%v to %v", low, high), "%s %v is out of bounds", key, v)
	}
}

// scalarOrDefault returns the scalar of a mapping's key, or defaultValue if the
// key is missing or its value is invalid.
func scalarOrDefault[T any](n *node, key string, defaultValue T) T {
	if f := n.fields[key]; f != nil {
		if v, ok := f.value.(T); ok {
			return v
		}
	}
	return defaultValue
}

func listItems(n *node, key string) []*node {
	if f := n.fields[key]; f != nil {
		return slices.Clone(f.items)
	}
	return nil
}
