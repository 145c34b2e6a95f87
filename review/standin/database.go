package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// commit is one entry of a log.
type commit struct {
	term   uint64
	number uint64
	at     time.Time
	writes map[string]string // by item
	ids    []string          // statements that wrote
}

// run is one execution of a statement of a client.
type run struct {
	at       time.Time
	database string
	id, text string
	values   map[string]string
	shape    string // of the prepared statement, if it is an EXECUTE
	code     string // empty for a success
}

// service is a stand-in of a service: a primary and its replicas.
type service struct {
	name    string
	fenced  bool // the platform checks fencing tokens and stops a replaced primary
	limit   int
	lag     time.Duration
	promote time.Duration
	work    time.Duration
	record  *record
	store   *store
	mu      sync.Mutex
	term    uint64
	token   uint64
	started int // databases
	// zoneOf returns the zone of the host at an address; nil if all are near.
	zoneOf func(address string) string
	// lastLeader is the last primary that was seen.
	lastLeader *database
	members    []*database
	runs       []run
	promoted   []promotion
	network    string
	// transfersLog is true if the log of a database that has left goes to a new one at
	// its address.
	transfersLog bool
	// syncReplicas is the number of replicas that must have received a commit before it
	// is acknowledged.
	syncReplicas int
	// splitCommits holds the statements that a replaced primary committed after
	// another one had taken over, by id.
	splitCommits map[string]splitCommit
	// ordered receives a value with each accepted POST /promotion.
	ordered chan string
}

// splitCommit is a commit of a replaced primary.
type splitCommit struct {
	at       time.Time
	database string
	term     uint64
	newer    promotion
}

// promotion is a change of the primary that took effect.
type promotion struct {
	at   time.Time
	name string
	term uint64
	// log holds the statements in the log of the database then.
	log map[string]bool
}

// database is a stand-in of one database server.
type database struct {
	service   *service
	id, zone  string
	listener  net.Listener
	primary   bool
	term      uint64
	pauseTerm uint64
	log       []*commit
	state     string
	sequence  int
	cut       map[string]bool // source addresses whose bytes are held back
	open      map[net.Conn]bool
	gone      bool
	down      bool
	crashedAt time.Time
	deaf      bool // receives nothing
	address   string
}

const firstNumber = 1000

// newService starts the databases of a service. The first one is the primary.
func newService(name, network string, zones []string, fenced bool, limit int, r *record, st *store) (*service, error) {
	s := &service{name: name, fenced: fenced, limit: limit, lag: 20 * time.Millisecond, promote: time.Second, work: 2 * time.Millisecond, record: r, store: st, term: 1, network: network, splitCommits: map[string]splitCommit{}, ordered: make(chan string, 64)}
	for _, zone := range zones {
		if _, err := s.addDatabase(zone); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// addDatabase starts a database with the log of the primary, as a replica unless it is
// the first one.
func (s *service) addDatabase(zone string) (*database, error) {
	s.mu.Lock()
	n := s.started + 1
	s.started = n
	s.mu.Unlock()
	ln, err := net.Listen("tcp", s.network+".200."+strconv.Itoa(n)+":0")
	if err != nil {
		return nil, err
	}
	d := &database{service: s, id: fmt.Sprintf("i-%s-%d", s.name, n), zone: zone, listener: ln, primary: n == 1, term: 1, state: "ready", cut: map[string]bool{}, open: map[net.Conn]bool{}}
	s.mu.Lock()
	if leader := s.leader(); leader != nil {
		d.log, d.term = slices.Clone(leader.log), leader.term
	} else {
		d.log = []*commit{{term: 1, number: firstNumber}}
	}
	s.members = append(s.members, d)
	s.mu.Unlock()
	d.address = ln.Addr().String()
	go d.serve(ln)
	d.announce()
	return d, nil
}

// crash takes the power of a database's machine away for a time: it does not respond,
// and is then back with its log. Its entry lapses after three heartbeat intervals.
func (s *service) crash(d *database, duration time.Duration) {
	s.mu.Lock()
	d.down, d.crashedAt = true, time.Now()
	s.mu.Unlock()
	s.record.say("%s crashes and does not respond", d.id)
	time.AfterFunc(min(3*heartbeat, duration), func() { s.store.remove("servers", d.id) })
	time.AfterFunc(duration, func() {
		s.mu.Lock()
		for c := range d.open {
			_ = c.Close()
		}
		d.down = false
		if leader := s.leader(); leader != nil && leader != d {
			d.primary = false
			d.receive()
		}
		s.mu.Unlock()
		d.announce()
		s.record.say("%s is back", d.id)
	})
}

// heartbeat is the interval of the databases' heartbeats.
const heartbeat = 1200 * time.Millisecond

// release replaces a database: a new one starts first, then the old one drains for the
// given time and leaves.
func (s *service) release(d *database, drain time.Duration) error {
	next, err := s.addDatabase(d.zone)
	if err != nil {
		return err
	}
	time.Sleep(500 * time.Millisecond)
	s.mu.Lock()
	d.state = "draining"
	s.mu.Unlock()
	d.announce()
	s.record.say("%s drains; %s replaces it", d.id, next.id)
	time.AfterFunc(drain, func() { s.leave(d) })
	return nil
}

// leave ends a database that has drained.
func (s *service) leave(d *database) {
	s.mu.Lock()
	s.members = slices.DeleteFunc(s.members, func(m *database) bool { return m == d })
	d.gone = true
	for c := range d.open {
		_ = c.Close()
	}
	s.mu.Unlock()
	_ = d.listener.Close()
	s.store.remove("servers", d.id)
	s.record.say("%s has left", d.id)
	if s.transfersLog {
		time.AfterFunc(transferTime, func() { s.succeed(d) })
	}
}

// succeed starts a new database at the address of one that has left, with its log.
func (s *service) succeed(old *database) {
	ln, err := net.Listen("tcp", old.address)
	if err != nil {
		s.record.say("no database at the address of %s: %v", old.id, err)
		return
	}
	s.mu.Lock()
	s.started++
	d := &database{service: s, id: fmt.Sprintf("i-%s-%d", s.name, s.started), zone: old.zone, listener: ln, address: old.address, term: old.term, log: slices.Clone(old.log), state: "ready", cut: map[string]bool{}, open: map[net.Conn]bool{}}
	s.members = append(s.members, d)
	s.mu.Unlock()
	go d.serve(ln)
	d.announce()
	s.record.say("%s starts at the address of %s, with its log", d.id, old.id)
}

// primary returns the primary of the highest term, or nil.
func (s *service) primary() *database {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leader()
}

// announce writes the entry of the database to the store.
func (d *database) announce() {
	d.service.mu.Lock()
	gone, primary, state := d.gone || d.down, d.primary, d.state
	d.service.mu.Unlock()
	if gone {
		return
	}
	role := "replica"
	if primary {
		role = "primary"
	}
	d.service.store.put("servers", d.id, map[string]any{
		"service": d.service.name, "address": d.address, "zone": d.zone, "version": "v1", "slots": 3,
		"state": state, "coldRemainingMs": 0, "databaseRole": role, "sequence": d.sequence, "born": 1_700_000_000_000,
	})
}

// setCut holds back all bytes between the database and the host at an address, or
// lets them pass.
func (s *service) setCut(d *database, address string, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d.cut[address] = cut
}

func (d *database) isCut(address string) bool {
	d.service.mu.Lock()
	defer d.service.mu.Unlock()
	return d.down || d.cut[address]
}

// leader returns the primary of the highest term. s.mu must be held.
func (s *service) leader() *database {
	var out *database
	for _, d := range s.members {
		if d.primary && !d.down && (out == nil || d.term > out.term) {
			out = d
		}
	}
	if out != nil {
		s.lastLeader = out
	}
	return out
}

// statements returns the statements in the log. s.mu must be held.
func (d *database) statements() map[string]bool {
	out := map[string]bool{}
	for _, c := range d.log {
		for _, id := range c.ids {
			out[id] = true
		}
	}
	return out
}

// receive brings the log of a replica up to date. s.mu must be held. While there is no
// primary, what the last one committed still arrives.
func (d *database) receive() {
	leader := d.service.leader()
	if leader == nil {
		leader = d.service.lastLeader
	}
	if d.primary || d.down || d.deaf || leader == nil || leader == d || d.pauseTerm > 0 {
		return
	}
	if leader.down && time.Since(leader.crashedAt) > 2*d.service.lag {
		// What was on its way has arrived.
		return
	}
	d.term = leader.term
	common := 0
	for common < len(d.log) && common < len(leader.log) && d.log[common] == leader.log[common] {
		common++
	}
	if common < len(d.log) && common < len(leader.log) || common < len(d.log) && d.log[common].term < leader.term {
		d.log = slices.Clone(d.log[:common])
	}
	for len(d.log) < len(leader.log) {
		next := leader.log[len(d.log)]
		if time.Since(next.at) < d.service.lag {
			return
		}
		d.log = append(d.log, next)
	}
}

func (d *database) position() string {
	last := d.log[len(d.log)-1]
	return fmt.Sprintf("%d.%d", last.term, last.number)
}

// contains reports whether the log has a position.
func (d *database) contains(position string) bool {
	a, b, _ := strings.Cut(position, ".")
	term, _ := strconv.ParseUint(a, 10, 64)
	number, _ := strconv.ParseUint(b, 10, 64)
	last := d.log[len(d.log)-1]
	return last.term > term || last.term == term && last.number >= number
}

// take makes a database the primary of the next term.
func (s *service) take(d *database) {
	s.mu.Lock()
	old := s.leader()
	if d.primary || d.gone || d.down {
		s.mu.Unlock()
		return
	}
	d.receive()
	s.term++
	d.primary, d.term = true, s.term
	s.promoted = append(s.promoted, promotion{time.Now(), d.id, s.term, d.statements()})
	stepDown := func() {
		s.mu.Lock()
		if old != nil && old != d && old.primary && old.term < d.term {
			old.primary = false
			old.receive()
		}
		s.mu.Unlock()
		if old != nil {
			old.announce()
		}
	}
	for _, m := range s.members {
		m.pauseTerm = 0
	}
	s.mu.Unlock()
	s.record.say("promotion takes effect: %s leads term %d", d.id, d.term)
	d.announce()
	if s.fenced {
		stepDown()
	} else {
		// The old primary goes on until DEMOTE, or a second after it can reach the new one.
		time.AfterFunc(time.Second, stepDown)
	}
}

// judge checks the fence of a call and returns the database that it names, or nil if
// that one is not running.
func (s *service) judge(id string, token uint64) (named *database, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	refused = s.fenced && token < s.token
	s.token = max(s.token, token)
	for _, d := range s.members {
		if d.id == id && !d.down {
			named = d
		}
	}
	return named, refused
}

// ServeHTTP answers POST /promotion.
func (s *service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct{ Service, ID string }
	token, err := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&body) != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	named, refused := s.judge(body.ID, token)
	s.record.say("POST /promotion service=%s id=%s holder=%s token=%d refused=%t", body.Service, body.ID, r.Header.Get("Duty-Holder"), token, refused || named == nil)
	if refused || named == nil {
		reply(w, http.StatusConflict, nil)
		return
	}
	time.AfterFunc(s.promote, func() { s.take(named) })
	select {
	case s.ordered <- r.Header.Get("Duty-Holder"):
	default:
	}
	reply(w, http.StatusOK, nil)
}

// serve accepts connections until the listener is closed.
func (d *database) serve(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			d.serveConn(c)
		}()
	}
}

// dbConn is a connection to a database and its session.
type dbConn struct {
	database *database
	source   string
	values   map[string]string
	prepared map[string]string // "READ shape" or "WRITE shape" by name
	tx       *dbTransaction
	// committed is the commit that the present statement made, if replicas must receive
	// it first.
	committed *commit
}

type dbTransaction struct {
	plain, failed bool
	term          uint64
	writes        map[string]string
	ids           []string
}

func (d *database) serveConn(c net.Conn) {
	s := d.service
	source, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	reader := bufio.NewReader(c)
	roundTrip := s.roundTrip(source, d.zone)
	time.Sleep(roundTrip) // of the connection
	line, err := d.readLine(reader, source, roundTrip)
	if err != nil {
		return
	}
	f := strings.Fields(line)
	switch {
	case len(f) < 3 || f[0] != "START" || f[1] != s.name || len(f) > 3 && f[3] != d.id:
		_ = d.write(c, source, "ERROR WRONGNODE "+d.id+"\r\n")
		return
	case !d.addConn(c):
		_ = d.write(c, source, "ERROR TOOMANY "+d.id+"\r\n")
		return
	}
	defer d.removeConn(c)
	x := &dbConn{database: d, source: source, values: map[string]string{}, prepared: map[string]string{}}
	if d.write(c, source, "READY I -\r\n") != nil {
		return
	}
	for {
		line, err := d.readLine(reader, source, roundTrip)
		if err != nil {
			return
		}
		rest, isQuery := strings.CutPrefix(line, "QUERY ")
		if !isQuery {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		if d.write(c, source, x.answer(id, text)) != nil {
			return
		}
	}
}

func (d *database) addConn(c net.Conn) bool {
	d.service.mu.Lock()
	defer d.service.mu.Unlock()
	if d.gone || d.down || len(d.open) >= d.service.limit {
		return false
	}
	d.open[c] = true
	return true
}

func (d *database) removeConn(c net.Conn) {
	d.service.mu.Lock()
	defer d.service.mu.Unlock()
	delete(d.open, c)
}

// regionRoundTrip is the round-trip time between regions.
const regionRoundTrip = 40 * time.Millisecond

// roundTrip returns the round-trip time between the host at an address and a zone.
func (s *service) roundTrip(source, zone string) time.Duration {
	if s.zoneOf == nil || s.zoneOf(source) == zone {
		return 0
	}
	return regionRoundTrip
}

// readLine reads a message. A batch of messages is delayed by the round-trip time, and
// bytes that arrive during a cut are held back until it ends.
func (d *database) readLine(r *bufio.Reader, source string, roundTrip time.Duration) (string, error) {
	startsBatch := r.Buffered() == 0
	line, err := r.ReadString('\n')
	if err != nil {
		return "", err
	}
	if startsBatch {
		time.Sleep(roundTrip)
	}
	for d.isCut(source) {
		time.Sleep(5 * time.Millisecond)
	}
	return strings.TrimRight(line, "\r\n"), nil
}

func (d *database) write(c net.Conn, source, text string) error {
	for d.isCut(source) {
		time.Sleep(5 * time.Millisecond)
	}
	_, err := c.Write([]byte(text))
	return err
}

// answer executes a statement and returns the messages of its answer.
func (x *dbConn) answer(id, text string) string {
	s := x.database.service
	word, _, _ := strings.Cut(strings.TrimPrefix(text, "AFTER "), " ")
	if strings.HasPrefix(text, "AFTER ") || word == "READ" || word == "WRITE" || word == "EXECUTE" || word == "COMMIT" {
		time.Sleep(s.work)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	x.database.receive()
	rows, code := x.execute(id, text)
	if x.committed != nil {
		c := x.committed
		x.committed = nil
		if !s.awaitReplicas(x.database, c) {
			code = "TIMEOUT"
		}
	}
	out := ""
	for _, row := range rows {
		out += "ROW " + row + "\r\n"
	}
	state := "I"
	if code != "" {
		if x.tx != nil {
			x.tx.failed = true
		}
		out += "ERROR " + code + " " + x.database.id + "\r\n"
	} else if id == "-" {
		out += "DONE -\r\n"
	} else {
		out += "DONE " + x.database.id + "/" + id + "\r\n"
	}
	if x.tx != nil {
		state = "T"
		if x.tx.failed {
			state = "E"
		}
	}
	if id != "-" {
		s.record.add("%s answers %s %q with %q state %s, session values %v", x.database.id, id, text, code, state, x.values)
	}
	return out + "READY " + state + " " + x.database.position() + "\r\n"
}

// syncTimeout bounds the wait of a commit for replicas.
const syncTimeout = 900 * time.Millisecond

// awaitReplicas waits until enough replicas have received a commit, and reports whether
// they have. s.mu must be held; it is released meanwhile.
func (s *service) awaitReplicas(d *database, c *commit) bool {
	for until := time.Now().Add(syncTimeout); ; {
		received := 0
		for _, m := range s.members {
			m.receive()
			if m != d && !m.down && slices.Contains(m.log[max(0, len(m.log)-64):], c) {
				received++
			}
		}
		if received >= s.syncReplicas {
			return true
		}
		if d.down || time.Now().After(until) {
			return false
		}
		s.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
		s.mu.Lock()
	}
}

// execute executes a statement. s.mu must be held. The code is empty for a success.
func (x *dbConn) execute(id, text string) (rows []string, code string) {
	d, s := x.database, x.database.service
	after := ""
	if rest, found := strings.CutPrefix(text, "AFTER "); found {
		after, text, _ = strings.Cut(rest, " ")
	}
	word, rest, _ := strings.Cut(text, " ")
	name, value, _ := strings.Cut(rest, " ")
	if tx := x.tx; tx != nil {
		ends := word == "ROLLBACK" || word == "COMMIT"
		lost := tx.plain && (!d.primary || d.term != tx.term)
		switch {
		case tx.failed && !ends:
			return nil, "MALFORMED"
		case lost && word != "ROLLBACK" && !(word == "COMMIT" && len(tx.writes) == 0) && !(tx.failed && ends):
			// Any statement of a plain transaction whose database has lost the lead.
			if word == "COMMIT" {
				x.tx = nil
			}
			return nil, "READONLY"
		}
	}
	if after != "" && !d.contains(after) {
		return nil, "LAGGING"
	}
	switch word {
	case "BEGIN":
		if x.tx != nil {
			return nil, "MALFORMED"
		}
		if rest == "" && !d.primary {
			return nil, "READONLY"
		}
		x.tx = &dbTransaction{plain: rest == "", term: d.term, writes: map[string]string{}}
	case "ROLLBACK":
		if x.tx == nil {
			return nil, "MALFORMED"
		}
		x.tx = nil
	case "COMMIT":
		tx := x.tx
		x.tx = nil
		switch {
		case tx == nil:
			return nil, "MALFORMED"
		case tx.failed:
			return nil, "ABORTED"
		case len(tx.writes) > 0:
			x.committed = d.append(tx.writes, append(tx.ids, id))
		}
		s.runs = append(s.runs, run{time.Now(), d.id, id, text, maps.Clone(x.values), "", ""})
	case "SET":
		x.values[name] = value
	case "PREPARE":
		x.prepared[name] = value
	case "DEALLOCATE":
		delete(x.prepared, name)
	case "RESET":
		clear(x.values)
		clear(x.prepared)
	case "STATUS":
		return []string{d.status()}, ""
	case "PAUSE":
		term, _ := strconv.ParseUint(rest, 10, 64)
		if !d.primary && term > d.term {
			d.pauseTerm = term
		}
		return []string{d.status()}, ""
	case "RESUME":
		d.pauseTerm = 0
		return []string{d.status()}, ""
	case "DEMOTE":
		term, _ := strconv.ParseUint(rest, 10, 64)
		if d.primary && d.term < term {
			d.primary = false
			s.record.add("%s steps down after DEMOTE %d of %s", d.id, term, x.source)
			go d.announce()
		}
		return []string{d.status()}, ""
	case "READ", "WRITE", "EXECUTE":
		return x.access(id, text, word, name, value)
	default:
		return nil, "MALFORMED"
	}
	return nil, ""
}

// access executes a READ, WRITE or EXECUTE.
func (x *dbConn) access(id, text, word, name, value string) (rows []string, code string) {
	d, s := x.database, x.database.service
	writes, item, data, shape := word == "WRITE", name, value, ""
	if word == "EXECUTE" {
		var known bool
		if shape, known = x.prepared[name]; !known {
			s.runs = append(s.runs, run{time.Now(), d.id, id, text, maps.Clone(x.values), "", "UNKNOWN"})
			return nil, "UNKNOWN"
		}
		writes = strings.HasPrefix(shape, "WRITE ")
		item, data, _ = strings.Cut(value, " ")
	}
	if writes && (!d.primary || x.tx != nil && !x.tx.plain) {
		return nil, "READONLY"
	}
	s.runs = append(s.runs, run{time.Now(), d.id, id, text, maps.Clone(x.values), shape, ""})
	switch {
	case !writes:
		return []string{d.read(x, item)}, ""
	case x.tx != nil:
		x.tx.writes[item] = data
		x.tx.ids = append(x.tx.ids, id)
	default:
		x.committed = d.append(map[string]string{item: data}, []string{id})
	}
	return nil, ""
}

func (d *database) read(x *dbConn, item string) string {
	if x.tx != nil {
		if data, ok := x.tx.writes[item]; ok {
			return data
		}
	}
	for i := len(d.log) - 1; i >= 0; i-- {
		if data, ok := d.log[i].writes[item]; ok {
			return data
		}
	}
	return "none"
}

// append commits writes. It returns the commit if replicas must receive it first.
func (d *database) append(writes map[string]string, ids []string) *commit {
	last, s := d.log[len(d.log)-1], d.service
	if s.leader() != d {
		for _, id := range ids {
			s.splitCommits[id] = splitCommit{time.Now(), d.id, d.term, s.promoted[len(s.promoted)-1]}
		}
	}
	c := &commit{term: d.term, number: last.number + 1, at: time.Now(), writes: writes, ids: ids}
	d.log = append(d.log, c)
	if s.syncReplicas == 0 {
		return nil
	}
	return c
}

func (d *database) status() string {
	role := "replica"
	if d.primary {
		role = "primary"
	}
	return fmt.Sprintf("%s %d %s %d %d 0 %d", role, d.term, d.position(), d.pauseTerm, d.service.lag.Milliseconds(), len(d.open))
}
