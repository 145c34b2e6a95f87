package main

import (
	"bufio"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// position is a position of a log, TERM.NUMBER.
type position struct{ term, number uint64 }

func (p position) String() string { return fmt.Sprintf("%d.%d", p.term, p.number) }

func (p position) before(q position) bool {
	return p.term < q.term || p.term == q.term && p.number < q.number
}

func parsePosition(text string) position {
	t, n, _ := strings.Cut(text, ".")
	term, _ := strconv.ParseUint(t, 10, 64)
	number, _ := strconv.ParseUint(n, 10, 64)
	return position{term, number}
}

// entry is one commit: the IDs of its writes and when it was made.
type entry struct {
	at     position
	ids    []string
	writes map[string]string
	madeAt time.Time
}

// service is a database group: one primary and its replicas. Its methods are safe for
// concurrent use.
type service struct {
	name         string
	syncReplicas int
	limit        int
	promoteTime  time.Duration
	// oneWay returns the network delay between two zones.
	oneWay func(a, b string) time.Duration
	record *record
	store  *store

	mu        sync.Mutex
	databases map[string]*database
	term      uint64
	lead      *database
	// acknowledged holds when each commit was acknowledged by a database to its caller.
	acknowledged map[string]time.Time
	// changed is closed and replaced with each change of a log or a role.
	changed chan struct{}
	// promoted holds the promotions that took effect.
	promoted []promotion
}

// promotion is a promotion that took effect, with the log that the database had then.
type promotion struct {
	id  string
	at  time.Time
	log map[string]bool
}

// database is one database of a service.
type database struct {
	service   *service
	id, zone  string
	address   string
	born      int64
	listener  net.Listener
	role      string
	state     string
	term      uint64
	log       []entry
	pauseTerm uint64
	running   bool
	// acked is the number of entries whose receipt the primary knows.
	acked uint64
	// cut holds the addresses of the hosts that are partitioned from the database.
	cut   map[netip.Addr]bool
	conns map[net.Conn]netip.Addr
	// deaf is true while the database receives no commits.
	deaf     bool
	sequence int
	stop     chan struct{}
}

func newService(name string, syncReplicas int, rec *record, st *store, oneWay func(a, b string) time.Duration) *service {
	return &service{name: name, syncReplicas: syncReplicas, limit: 89, promoteTime: 600 * time.Millisecond, oneWay: oneWay, record: rec, store: st,
		databases: map[string]*database{}, term: 1, acknowledged: map[string]time.Time{}, changed: make(chan struct{})}
}

// start starts a new database, whose log is that of the primary, and registers it. The
// address may lack a port.
func (s *service) start(id, zone, address string) *database {
	if !strings.Contains(address, ":") {
		address += ":0"
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	d := &database{service: s, id: id, zone: zone, address: ln.Addr().String(), born: time.Now().UnixMilli(), listener: ln, role: "replica",
		state: "ready", term: s.term, running: true, cut: map[netip.Addr]bool{}, conns: map[net.Conn]netip.Addr{}, stop: make(chan struct{})}
	if s.lead == nil {
		d.role, s.lead = "primary", d
	} else {
		// What was transferred counts as received.
		d.log = slices.Clone(s.lead.log)
		lead, number := s.lead, uint64(len(d.log))
		time.AfterFunc(s.oneWay(lead.zone, zone), func() { lead.acknowledgeReceipt(d, number) })
	}
	s.databases[id] = d
	s.mu.Unlock()
	d.register()
	s.record.add("database", "%s started in %s as %s, log ends at %s", id, zone, d.role, d.end())
	go d.accept()
	go d.receive()
	go d.heartbeat()
	return d
}

func (s *service) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// heartbeatInterval is the time between the writes of a database's entry.
const heartbeatInterval = 1200 * time.Millisecond

func (d *database) heartbeat() {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			d.register()
		case <-d.stop:
			return
		}
	}
}

// register writes the entry of the database, unless it does not run or the
// store is down.
func (d *database) register() {
	s := d.service
	s.mu.Lock()
	d.sequence++
	entry := map[string]any{"service": s.name, "address": d.address, "zone": d.zone, "version": "v1", "slots": 20, "state": d.state,
		"coldRemainingMs": 0, "sequence": d.sequence, "born": d.born, "databaseRole": d.role}
	running := d.running
	s.mu.Unlock()
	if running && !s.store.isDown() {
		s.store.write("servers", d.id, entry)
	}
}

// startAgain starts a crashed database again under its ID, at its address, without its
// log. It writes its entry after the delay.
func (d *database) startAgain(delay time.Duration) {
	s := d.service
	ln, err := net.Listen("tcp", d.address)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	next := &database{service: s, id: d.id, zone: d.zone, address: d.address, born: time.Now().UnixMilli(), listener: ln, role: "replica",
		state: "ready", term: s.term, running: true, cut: map[netip.Addr]bool{}, conns: map[net.Conn]netip.Addr{}, stop: make(chan struct{})}
	s.databases[d.id] = next
	s.mu.Unlock()
	s.record.add("database", "%s started again without its log", d.id)
	go next.accept()
	go next.receive()
	time.AfterFunc(delay, func() {
		next.register()
		s.record.add("database", "%s wrote its entry", d.id)
		go next.heartbeat()
	})
}

// setDeaf makes the database receive no commits, or receive them again.
func (d *database) setDeaf(deaf bool) {
	s := d.service
	s.mu.Lock()
	d.deaf = deaf
	s.notify()
	s.mu.Unlock()
	s.record.add("database", "%s receives nothing: %v", d.id, deaf)
}

// leave ends a database that has announced its shutdown. Its entry is removed.
func (d *database) leave() {
	d.crash()
	d.service.store.remove("servers", d.id)
}

// drain announces a planned shutdown.
func (d *database) drain() {
	d.service.mu.Lock()
	d.state = "draining"
	d.service.mu.Unlock()
	d.register()
	d.service.record.add("database", "%s reports draining", d.id)
}

// crash ends the database without notice. Its log is kept.
func (d *database) crash() {
	s := d.service
	s.mu.Lock()
	d.running = false
	conns := d.conns
	d.conns = map[net.Conn]netip.Addr{}
	s.notify()
	s.mu.Unlock()
	_ = d.listener.Close()
	for c := range conns {
		reset(c)
	}
	s.record.add("database", "%s ended, log ends at %s", d.id, d.end())
}

// goDark makes the database silent for everybody: its machine has lost power. Its log is
// kept.
func (d *database) goDark(hosts []netip.Addr) {
	s := d.service
	s.mu.Lock()
	d.running = false
	for _, h := range hosts {
		d.cut[h] = true
	}
	s.notify()
	s.mu.Unlock()
	s.record.add("database", "%s goes dark, log ends at %s", d.id, d.end())
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// setCut partitions the database from hosts, or heals the partition; the connections
// that it held up are reset then.
func (d *database) setCut(hosts []netip.Addr, on bool) {
	s := d.service
	s.mu.Lock()
	for _, h := range hosts {
		d.cut[h] = on
	}
	var held []net.Conn
	if !on {
		for c, from := range d.conns {
			if slices.Contains(hosts, from) {
				held = append(held, c)
			}
		}
	}
	s.notify()
	s.mu.Unlock()
	for _, c := range held {
		reset(c)
	}
	s.record.add("network", "%s cut from %v: %v", d.id, hosts, on)
}

// end returns the end of the log that the database has received.
func (d *database) end() position {
	d.service.mu.Lock()
	defer d.service.mu.Unlock()
	return d.endLocked()
}

func (d *database) endLocked() position {
	if len(d.log) == 0 {
		return position{1, 0}
	}
	return d.log[len(d.log)-1].at
}

// receive appends the primary's commits once they have arrived.
func (d *database) receive() {
	s := d.service
	for {
		s.mu.Lock()
		changed := s.changed
		var wait time.Duration = time.Hour
		for d.receives() && len(d.log) < len(s.lead.log) {
			e := s.lead.log[len(d.log)]
			delay := s.oneWay(s.lead.zone, d.zone)
			if wait = time.Until(e.madeAt.Add(delay)); wait > 0 {
				break
			}
			wait = time.Hour
			d.log = append(d.log, e)
			lead, number := s.lead, uint64(len(d.log))
			time.AfterFunc(delay, func() { lead.acknowledgeReceipt(d, number) })
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(wait):
		case <-d.stop:
			return
		}
	}
}

// receives reports whether the database is a replica that receives commits. The caller
// must hold the lock.
func (d *database) receives() bool {
	lead := d.service.lead
	return lead != nil && lead != d && lead.running && d.running && !d.deaf && d.pauseTerm == 0 && d.term == lead.term
}

// acknowledgeReceipt records at the primary that a replica has received its log up to a
// commit.
func (d *database) acknowledgeReceipt(replica *database, number uint64) {
	s := d.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lead != d || !d.running {
		return
	}
	if number > replica.acked {
		replica.acked = number
		s.notify()
	}
}

// receipts returns the number of replicas whose receipt of a commit the primary knows.
// The caller must hold the lock.
func (s *service) receipts(number uint64) int {
	n := 0
	for _, d := range s.databases {
		if d != s.lead && d.acked >= number {
			n++
		}
	}
	return n
}

// promote orders the promotion of a database, which takes effect after the promote time.
func (s *service) promote(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.databases[id]
	if d == nil || !d.running {
		return false
	}
	if d != s.lead {
		time.AfterFunc(s.promoteTime, func() { s.takeLead(d) })
	}
	return true
}

// takeLead makes a database the primary of the next term, with what it has received and
// no more. Replicas that were ahead of it are rolled back.
func (s *service) takeLead(d *database) {
	s.mu.Lock()
	if !d.running || s.lead == d {
		s.mu.Unlock()
		return
	}
	s.term++
	old := s.lead
	log := map[string]bool{}
	for _, e := range d.log {
		for _, id := range e.ids {
			log[id] = true
		}
	}
	s.promoted = append(s.promoted, promotion{d.id, time.Now(), log})
	end, former := d.endLocked(), "none"
	if old != nil {
		former = fmt.Sprintf("%s, whose log ended at %s", old.id, old.endLocked())
	}
	s.lead = d
	for _, other := range s.databases {
		other.term, other.pauseTerm, other.role, other.acked = s.term, 0, "replica", 0
		other.log = slices.Clone(other.log[:min(len(other.log), len(d.log))])
	}
	d.role = "primary"
	s.notify()
	s.mu.Unlock()
	s.record.add("database", "%s leads term %d, its log ended at %s; former primary: %s", d.id, s.term, end, former)
	for _, other := range s.all() {
		other.register()
	}
}

func (s *service) all() []*database {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*database
	for _, d := range s.databases {
		out = append(out, d)
	}
	return out
}

func (d *database) accept() {
	for {
		c, err := d.listener.Accept()
		if err != nil {
			return
		}
		go d.serve(c)
	}
}

// session is a connection to a database.
type session struct {
	d      *database
	from   netip.Addr
	values map[string]string
	// prepared holds the shapes of the prepared statements.
	prepared map[string]string
	// In a transaction, inTx is true; term is the term in which it began.
	inTx, readOnly, failed bool
	term                   uint64
	ids                    []string
	writes                 map[string]string
}

func (d *database) serve(c net.Conn) {
	defer c.Close()
	s := d.service
	from := netip.MustParseAddrPort(c.RemoteAddr().String()).Addr()
	d.awaitPath(from)
	s.mu.Lock()
	if !d.running {
		s.mu.Unlock()
		return
	}
	full := len(d.conns) >= s.limit
	d.conns[c] = from
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(d.conns, c)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	line, err := reader.ReadString('\n')
	d.awaitPath(from)
	fields := strings.Fields(line)
	switch {
	case err != nil || len(fields) < 3 || fields[0] != "START":
		return
	case fields[1] != s.name || len(fields) > 3 && fields[3] != d.id:
		_, _ = fmt.Fprintf(c, "ERROR WRONGNODE %s\r\n", d.id)
		return
	case full:
		_, _ = fmt.Fprintf(c, "ERROR TOOMANY -\r\n")
		return
	}
	if _, err := fmt.Fprintf(c, "READY I %s\r\n", d.end()); err != nil {
		return
	}
	ss := &session{d: d, from: from, values: map[string]string{}, prepared: map[string]string{}}
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		d.awaitPath(from)
		line, ok := strings.CutPrefix(strings.TrimSuffix(line, "\r\n"), "QUERY ")
		if !ok {
			return
		}
		id, text, _ := strings.Cut(line, " ")
		answer, ok := ss.run(id, text)
		d.awaitPath(from)
		if !ok {
			return
		}
		if _, err := c.Write([]byte(answer)); err != nil {
			return
		}
	}
}

// awaitPath waits while the host is partitioned from the database.
func (d *database) awaitPath(from netip.Addr) {
	s := d.service
	for {
		s.mu.Lock()
		cut, changed := d.cut[from], s.changed
		s.mu.Unlock()
		if !cut {
			return
		}
		<-changed
	}
}

// answer formats an answer; code is empty for success.
func (ss *session) answer(code, signature string, rows ...string) string {
	var out strings.Builder
	if code == "" {
		for _, r := range rows {
			out.WriteString("ROW " + r + "\r\n")
		}
		out.WriteString("DONE " + signature + "\r\n")
	} else {
		if ss.inTx {
			ss.failed = true
		}
		out.WriteString("ERROR " + code + " " + ss.d.id + "\r\n")
	}
	state := "I"
	switch {
	case ss.inTx && ss.failed:
		state = "E"
	case ss.inTx:
		state = "T"
	}
	out.WriteString("READY " + state + " " + ss.d.endLocked().String() + "\r\n")
	return out.String()
}

func (ss *session) sign() string {
	return fmt.Sprintf("sig.%s.%s", ss.d.id, ss.d.endLocked())
}

// run executes a statement. It returns false if the connection is to be closed without
// an answer.
func (ss *session) run(id, text string) (string, bool) {
	d, s := ss.d, ss.d.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if !d.running {
		return "", false
	}
	if after, ok := strings.CutPrefix(text, "AFTER "); ok {
		at, rest, _ := strings.Cut(after, " ")
		if text = rest; d.endLocked().before(parsePosition(at)) {
			return ss.answer("LAGGING", ""), true
		}
	}
	word, rest, _ := strings.Cut(text, " ")
	name, value, _ := strings.Cut(rest, " ")
	switch {
	case ss.inTx && ss.failed && word != "ROLLBACK" && word != "COMMIT":
		return ss.answer("MALFORMED", ""), true
	case ss.inTx && !ss.readOnly && (s.lead != d || ss.term != d.term) && word != "ROLLBACK" && !(word == "COMMIT" && len(ss.ids) == 0):
		return ss.answer("READONLY", ""), true
	}
	switch word {
	case "BEGIN":
		if ss.inTx {
			return ss.answer("MALFORMED", ""), true
		}
		if name != "READ" && s.lead != d {
			return ss.answer("READONLY", ""), true
		}
		ss.inTx, ss.readOnly, ss.failed, ss.term, ss.ids, ss.writes = true, name == "READ", false, d.term, nil, map[string]string{}
		return ss.answer("", "-"), true
	case "ROLLBACK":
		ss.inTx, ss.failed = false, false
		return ss.answer("", "-"), true
	case "COMMIT":
		ids, writes, failed := ss.ids, ss.writes, ss.failed
		ss.inTx, ss.failed, ss.ids, ss.writes = false, false, nil, nil
		switch {
		case failed:
			return ss.answer("ABORTED", ""), true
		case len(ids) > 0:
			return ss.commit(ids, writes, id)
		}
		s.record.add("run", "%s commits (no writes) %s", d.id, id)
		return ss.answer("", ss.sign()), true
	case "READ":
		return ss.read(id, rest), true
	case "WRITE":
		return ss.write(id, name, value)
	case "EXECUTE":
		shape, known := ss.prepared[name]
		if !known {
			return ss.answer("UNKNOWN", ""), true
		}
		item, data, _ := strings.Cut(value, " ")
		if strings.HasPrefix(shape, "READ ") {
			return ss.read(id, item), true
		}
		return ss.write(id, item, data)
	case "SET":
		ss.values[name] = value
	case "PREPARE":
		ss.prepared[name] = value
	case "DEALLOCATE":
		delete(ss.prepared, name)
	case "RESET":
		clear(ss.values)
		clear(ss.prepared)
	case "STATUS", "PAUSE", "RESUME", "DEMOTE":
		return ss.command(word, name), true
	default:
		return ss.answer("MALFORMED", ""), true
	}
	return ss.answer("", "-"), true
}

func (ss *session) read(id, item string) string {
	d := ss.d
	if value, ok := ss.writes[item]; ok && ss.inTx {
		return ss.answer("", ss.sign(), value)
	}
	for _, e := range slices.Backward(d.log) {
		if value, ok := e.writes[item]; ok {
			return ss.answer("", ss.sign(), value)
		}
	}
	return ss.answer("", ss.sign())
}

func (ss *session) write(id, item, data string) (string, bool) {
	d := ss.d
	switch {
	case d.service.lead != d || ss.inTx && ss.readOnly:
		return ss.answer("READONLY", ""), true
	case ss.inTx:
		ss.ids = append(ss.ids, id)
		ss.writes[item] = data
		return ss.answer("", ss.sign()), true
	}
	return ss.commit([]string{id}, map[string]string{item: data}, id)
}

// commit appends a commit to the log and waits until it may be acknowledged. If the
// database loses the lead before that, the connection ends without an answer.
func (ss *session) commit(ids []string, writes map[string]string, by string) (string, bool) {
	d, s := ss.d, ss.d.service
	number := uint64(len(d.log)) + 1
	at := position{d.term, number}
	d.log = append(d.log, entry{at: at, ids: ids, writes: writes, madeAt: time.Now()})
	s.notify()
	for s.lead == d && d.running && s.receipts(number) < s.syncReplicas {
		changed := s.changed
		s.mu.Unlock()
		<-changed
		s.mu.Lock()
	}
	if s.lead != d || !d.running || d.term != at.term {
		return "", false
	}
	s.acknowledged[by] = time.Now()
	return ss.answer("", ss.sign()), true
}

// command executes a command of the hosts and returns the status.
func (ss *session) command(word, term string) string {
	d, s := ss.d, ss.d.service
	t, _ := strconv.ParseUint(term, 10, 64)
	switch {
	case word == "PAUSE" && t > s.term && s.lead != d:
		d.pauseTerm = t
	case word == "RESUME":
		d.pauseTerm = 0
	case word == "DEMOTE" && t > d.term && s.lead == d:
		d.role, s.lead = "replica", nil
	}
	if word != "STATUS" {
		s.record.add("run", "%s: %s %s from %s; log ends at %s", d.id, word, term, ss.from, d.endLocked())
		s.notify()
	}
	return ss.answer("", "-", fmt.Sprintf("%s %d %s %d %d %d %d", d.role, d.term, d.endLocked(), d.pauseTerm, 0, 0, len(d.conns)))
}
