package statementtest

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gypsumgap/gypsumgap/core/catalog"
	"github.com/gypsumgap/gypsumgap/core/statement"
)

// Caller is a session as its caller sees it. Do returns an error if the
// connection broke; the session is then a new one.
type Caller interface {
	Do(statement.Statement) (statement.Answer, error)
}

// History records what the callers of a service were told, and checks it
// against what the servers did.
type History struct {
	Service *Service
	// Staleness is the bound of the routes that have one.
	Staleness time.Duration
	// Pause is the longest rest of a caller between operations.
	Pause time.Duration

	mu           sync.Mutex
	acknowledged map[string]time.Time
	promised     map[string]bool
	problems     []string
	counts       map[statement.Code]int
	broken       int
	reads        int
}

// NewHistory returns an empty history.
func NewHistory(s *Service, staleness, pause time.Duration) *History {
	return &History{
		Service: s, Staleness: staleness, Pause: pause,
		acknowledged: map[string]time.Time{}, promised: map[string]bool{}, counts: map[statement.Code]int{},
	}
}

// Attempts returns the number of attempts to write by their outcome, those
// whose connection broke, and the number of successful reads.
func (h *History) Attempts() (byCode map[statement.Code]int, broken, reads int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.counts, h.broken, h.reads
}

func (h *History) problem(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.problems = append(h.problems, fmt.Sprintf(format, args...))
}

// settle records the outcome of an attempt that wrote.
func (h *History) settle(a statement.Answer, err error, ids ...string) {
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
			h.promised[id] = true
		}
	}
}

// required returns the writes that were acknowledged before the time, and are
// not rolled back by a promotion.
func (h *History) required(before time.Time) []string {
	kept := h.Service.Seen(h.Service.Primary(), math.MaxInt)
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

// player plays the operations of one caller.
type player struct {
	*History
	caller Caller
	name   string
	kind   catalog.Consistency
	rng    *rand.Rand
	own    []string
}

// Play plays random operations of a caller on a route of the given kind until
// the time. The name must be unique among callers.
func (h *History) Play(c Caller, name string, kind catalog.Consistency, rng *rand.Rand, until time.Time) {
	p := &player{History: h, caller: c, name: name, kind: kind, rng: rng}
	p.begin()
	for n := 0; time.Now().Before(until); n++ {
		time.Sleep(time.Duration(rng.Int64N(int64(h.Pause))))
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

// begin sets the session value by which statements are recognized, until the
// session takes it.
func (p *player) begin() {
	p.own = nil
	for range 100 {
		a, err := p.caller.Do(statement.Statement{ID: p.name + "/set", Kind: statement.Set, Name: p.name, Value: "1"})
		if err == nil && a.Code == statement.OK {
			return
		}
		time.Sleep(p.Pause)
	}
}

// renew begins a new session after the connection broke.
func (p *player) renew(err error) {
	if err != nil {
		p.begin()
	}
}

func (p *player) write(id string) {
	a, err := p.caller.Do(statement.Statement{ID: id, Kind: statement.Write, Text: "WRITE x " + id})
	p.settle(a, err, id)
	if err == nil && a.Code == statement.OK {
		p.own = append(p.own, id)
	}
	p.renew(err)
}

// transaction writes twice and commits, or rolls back.
func (p *player) transaction(id string) {
	a, err := p.caller.Do(statement.Statement{ID: id + "b", Kind: statement.Begin})
	if err != nil || a.Code != statement.OK {
		p.renew(err)
		return
	}
	ids := []string{id + "x", id + "y"}
	for _, id := range ids {
		a, err := p.caller.Do(statement.Statement{ID: id, Kind: statement.Write, Text: "WRITE y " + id})
		if err != nil || a.Code != statement.OK {
			p.settle(a, err, ids...)
			p.rollback(id, err)
			return
		}
		time.Sleep(time.Duration(p.rng.Int64N(int64(p.Pause)/2 + 1)))
	}
	if p.rng.IntN(5) == 0 {
		p.settle(statement.Answer{Code: statement.Aborted}, nil, ids...)
		p.rollback(id, nil)
		return
	}
	a, err = p.caller.Do(statement.Statement{ID: id + "c", Kind: statement.Commit})
	p.settle(a, err, ids...)
	if err == nil && a.Code == statement.OK {
		p.own = append(p.own, ids...)
	}
	p.renew(err)
}

func (p *player) rollback(id string, err error) {
	if err == nil {
		_, err = p.caller.Do(statement.Statement{ID: id + "r", Kind: statement.Rollback})
	}
	p.renew(err)
}

// read reads and checks what was seen. Reads during which the primary changed
// are left out, since what was rolled back is not known exactly.
func (p *player) read(id string) {
	promotions, began := p.Service.Promotions(), time.Now()
	a, err := p.caller.Do(statement.Statement{ID: id, Kind: statement.Read, Text: "READ x"})
	if err != nil || a.Code != statement.OK || p.Service.Promotions() != promotions {
		p.renew(err)
		return
	}
	sig, err := ParseSignature(a.Signature)
	if err != nil {
		p.problem("%s: %v", p.name, err)
		return
	}
	p.mu.Lock()
	p.reads++
	p.mu.Unlock()
	if sig.Values != p.name+"=1" {
		p.problem("%s: statement %s ran with the session values %q", p.name, id, sig.Values)
	}
	before := began
	if p.kind != catalog.Primary {
		before = began.Add(-p.Staleness)
	}
	required, seen := p.required(before), p.Service.Seen(sig.Server, sig.Length)
	if p.kind == catalog.ReadYourWrites {
		kept := p.Service.Seen(p.Service.Primary(), math.MaxInt)
		for _, id := range p.own {
			if kept[id] {
				required = append(required, id)
			}
		}
	}
	if p.Service.Promotions() != promotions {
		return
	}
	for _, lacks := range required {
		if !seen[lacks] {
			p.problem("%s: read %s at %s lacks write %s", p.name, id, sig.Server, lacks)
		}
	}
}

// Problems returns what contradicts the promises, after the callers have ended.
func (h *History) Problems() []string {
	committed := h.Service.Committed()
	h.mu.Lock()
	defer h.mu.Unlock()
	seen := map[string]bool{}
	for _, w := range committed {
		if seen[w.ID] {
			h.problems = append(h.problems, fmt.Sprintf("write %s took effect twice", w.ID))
		}
		seen[w.ID] = true
		if h.promised[w.ID] {
			h.problems = append(h.problems, fmt.Sprintf("write %s was committed though its caller was told that nothing is kept", w.ID))
		}
	}
	return h.problems
}
