package statementtest

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/gypsumgap/gypsumgap/core/catalog"
	"github.com/gypsumgap/gypsumgap/core/statement"
)

// Caller is a session from the caller's side.
type Caller interface {
	// Do sends a statement and returns its answer. It returns an error if the
	// connection broke; the next call then uses a new session.
	Do(statement.Statement) (statement.Answer, error)
}

// History records the answers that the callers of a service received, and checks
// them against the logs of the servers.
type History struct {
	Service *Service
	// Staleness is the staleness bound of reads on routes that do not read from
	// the primary.
	Staleness time.Duration
	// MaxThinkTime is the upper limit of the random wait of a caller between
	// operations; it must be positive.
	MaxThinkTime time.Duration

	mu sync.Mutex
	// acknowledged holds the time of the acknowledgment of each write, by ID.
	acknowledged map[string]time.Time
	// rejected holds the IDs of writes whose callers were told that they had no
	// effect.
	rejected   map[string]bool
	violations []string
	counts     map[statement.Code]int
	broken     int
	reads      int
}

// NewHistory returns an empty history of the service. The durations set Staleness
// and MaxThinkTime.
func NewHistory(s *Service, staleness, maxThinkTime time.Duration) *History {
	return &History{
		Service: s, Staleness: staleness, MaxThinkTime: maxThinkTime,
		acknowledged: map[string]time.Time{}, rejected: map[string]bool{}, counts: map[statement.Code]int{},
	}
}

// Attempts returns the number of write attempts by outcome, the number of those
// whose connection broke, and the number of successful reads.
func (h *History) Attempts() (byCode map[statement.Code]int, broken, reads int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.counts, h.broken, h.reads
}

// Acknowledged returns the IDs of the writes whose success a caller has received.
func (h *History) Acknowledged() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Sorted(maps.Keys(h.acknowledged))
}

func (h *History) addViolation(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

// recordOutcome records the outcome of an attempt to write the given IDs.
func (h *History) recordOutcome(a statement.Answer, err error, ids ...string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		h.broken++
		return
	}
	h.counts[a.Code]++
	for _, id := range ids {
		switch a.Code {
		case statement.OK:
			h.acknowledged[id] = time.Now()
		case statement.Busy, statement.Aborted, statement.Lagging, statement.ReadOnly, statement.WrongServer, statement.TooManyConnections:
			h.rejected[id] = true
		}
	}
}

// required returns the IDs of the writes that were acknowledged before the time
// and have not been rolled back by a promotion.
func (h *History) required(before time.Time) []string {
	kept := h.Service.WriteIDs(h.Service.LastPrimary(), math.MaxInt)
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []string
	for id, at := range h.acknowledged {
		if at.Before(before) && kept[id] {
			out = append(out, id)
		}
	}
	return out
}

// callerRun runs the operations of one caller.
type callerRun struct {
	*History
	caller Caller
	name   string
	kind   catalog.Consistency
	rng    *rand.Rand
	// ownWrites holds the IDs of the writes acknowledged in the current session.
	ownWrites []string
	// value is the session value that identifies the caller's statements, as it was
	// last acknowledged, and values counts the values set.
	value  string
	values int
}

// RunCaller runs random operations of a caller on a route of the given
// consistency until the given time. The name must be unique among callers.
func (h *History) RunCaller(c Caller, name string, kind catalog.Consistency, rng *rand.Rand, until time.Time) {
	p := &callerRun{History: h, caller: c, name: name, kind: kind, rng: rng}
	p.openSession()
	for n := 0; time.Now().Before(until); n++ {
		time.Sleep(time.Duration(rng.Int64N(int64(h.MaxThinkTime))))
		id := fmt.Sprintf("%s/%d", name, n)
		switch rng.IntN(5) {
		case 0:
			p.write(id)
		case 1:
			p.transaction(id)
		default:
			p.read(id)
		}
	}
}

// preparedName is the name of the prepared statement of each session.
const preparedName = "read"

// openSession sets the session value that identifies the caller's statements and
// prepares a read. It retries until both are accepted, at most 100 times.
func (p *callerRun) openSession() {
	p.ownWrites, p.value = nil, ""
	for range 100 {
		if p.setValue() == nil && p.prepare() == nil {
			return
		}
		time.Sleep(p.MaxThinkTime)
	}
}

// errNotAcknowledged means that the host refused a statement that it answers itself.
var errNotAcknowledged = errors.New("statement was not acknowledged")

// setValue changes the session value. It fails unless that was acknowledged.
func (p *callerRun) setValue() error {
	p.values++
	value := fmt.Sprint(p.values)
	if err := p.doLocal(statement.Statement{ID: p.name + "/set", Kind: statement.Set, Name: p.name, Value: value}); err != nil {
		return err
	}
	p.value = value
	return nil
}

func (p *callerRun) prepare() error {
	return p.doLocal(statement.Statement{ID: p.name + "/prepare", Kind: statement.Prepare, Name: preparedName, Value: "x"})
}

// doLocal sends a statement that the host answers itself, without a server.
func (p *callerRun) doLocal(st statement.Statement) error {
	a, err := p.caller.Do(st)
	if err == nil && a.Code != statement.OK {
		err = fmt.Errorf("%w: %s", errNotAcknowledged, a.Code)
	}
	return err
}

// checkSession checks that a statement that succeeded ran with the session values of
// its caller, and that a prepared statement was known. It returns the signature of the
// answer, or false if there is none.
func (p *callerRun) checkSession(id string, a statement.Answer) (Signature, bool) {
	if a.Code == statement.UnknownName {
		p.addViolation("%s: statement %s lacks its prepared statement", p.name, id)
	}
	if a.Code != statement.OK {
		return Signature{}, false
	}
	sig, err := ParseSignature(a.Signature)
	if err != nil {
		p.addViolation("%s: %v", p.name, err)
		return sig, false
	}
	if want := p.name + "=" + p.value; sig.Values != want {
		p.addViolation("%s: statement %s ran with session values %q, want %q", p.name, id, sig.Values, want)
	}
	return sig, true
}

// reopenSession opens a new session if err is set, that is, the connection broke.
func (p *callerRun) reopenSession(err error) {
	if err != nil {
		p.openSession()
	}
}

func (p *callerRun) write(id string) {
	a, err := p.caller.Do(statement.Statement{ID: id, Kind: statement.Write, Text: "WRITE x " + id})
	p.recordOutcome(a, err, id)
	if err == nil && a.Code == statement.OK {
		p.checkSession(id, a)
		p.ownWrites = append(p.ownWrites, id)
	}
	p.reopenSession(err)
}

// transaction writes twice, then commits or, one time in five, rolls back. One time in
// three it changes the session value between the writes.
func (p *callerRun) transaction(id string) {
	a, err := p.caller.Do(statement.Statement{ID: id + "b", Kind: statement.Begin})
	if err != nil || a.Code != statement.OK {
		p.reopenSession(err)
		return
	}
	ids := []string{id + "x", id + "y"}
	for i, id := range ids {
		if i > 0 && p.rng.IntN(3) == 0 {
			if err := p.setValue(); err != nil {
				// The commit was not requested, so nothing may persist.
				p.recordOutcome(statement.Answer{Code: statement.Aborted}, nil, ids...)
				p.rollback(id, err)
				return
			}
		}
		a, err := p.caller.Do(statement.Statement{ID: id, Kind: statement.Write, Text: "WRITE y " + id})
		if err != nil || a.Code != statement.OK {
			p.recordOutcome(a, err, ids...)
			p.rollback(id, err)
			return
		}
		p.checkSession(id, a)
		time.Sleep(time.Duration(p.rng.Int64N(int64(p.MaxThinkTime)/2 + 1)))
	}
	if p.rng.IntN(5) == 0 {
		p.recordOutcome(statement.Answer{Code: statement.Aborted}, nil, ids...)
		p.rollback(id, nil)
		return
	}
	a, err = p.caller.Do(statement.Statement{ID: id + "c", Kind: statement.Commit})
	p.recordOutcome(a, err, ids...)
	if err == nil && a.Code == statement.OK {
		p.checkSession(id+"c", a)
		p.ownWrites = append(p.ownWrites, ids...)
	}
	p.reopenSession(err)
}

// rollback ends the transaction unless err, the error of its last statement, shows
// that the connection broke.
func (p *callerRun) rollback(id string, err error) {
	if err == nil || errors.Is(err, errNotAcknowledged) {
		_, err = p.caller.Do(statement.Statement{ID: id + "r", Kind: statement.Rollback})
	}
	p.reopenSession(err)
}

// readStatement returns a read, one time in three by the prepared statement.
func (p *callerRun) readStatement(id string) statement.Statement {
	if p.rng.IntN(3) == 0 {
		return statement.Statement{ID: id, Kind: statement.Execute, Name: preparedName, Arguments: "x"}
	}
	return statement.Statement{ID: id, Kind: statement.Read, Text: "READ x"}
}

// read reads and checks which writes the server had applied. Reads during which
// the primary changed are skipped, since it is not known exactly which writes the
// promotion rolled back.
func (p *callerRun) read(id string) {
	promotions, began := p.Service.Promotions(), time.Now()
	a, err := p.caller.Do(p.readStatement(id))
	if err != nil {
		p.reopenSession(err)
		return
	}
	sig, ok := p.checkSession(id, a)
	if !ok || p.Service.Promotions() != promotions {
		return
	}
	p.mu.Lock()
	p.reads++
	p.mu.Unlock()
	before := began
	if p.kind != catalog.Primary {
		before = began.Add(-p.Staleness)
	}
	required, seen := p.required(before), p.Service.WriteIDs(sig.Server, sig.Length)
	if p.kind == catalog.ReadYourWrites {
		kept := p.Service.WriteIDs(p.Service.LastPrimary(), math.MaxInt)
		for _, id := range p.ownWrites {
			if kept[id] {
				required = append(required, id)
			}
		}
	}
	if p.Service.Promotions() != promotions {
		return
	}
	for _, missing := range required {
		if !seen[missing] {
			p.addViolation("%s: read %s at %s is missing write %s", p.name, id, sig.Server, missing)
		}
	}
}

// Violations returns the violations of the consistency guarantees. It may be
// called once, after the callers have ended.
func (h *History) Violations() []string {
	committed := h.Service.Committed()
	h.mu.Lock()
	defer h.mu.Unlock()
	seen := map[string]bool{}
	for _, w := range committed {
		if seen[w.ID] {
			h.violations = append(h.violations, fmt.Sprintf("write %s was committed twice", w.ID))
		}
		seen[w.ID] = true
		if h.rejected[w.ID] {
			h.violations = append(h.violations, fmt.Sprintf("write %s was committed although its caller was told that it had no effect", w.ID))
		}
	}
	return h.violations
}
