package main

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"time"
)

func init() {
	scenarios["pinned"] = scenario{fenced: true, hosts: 3, limit: 45, run: playPinned}
}

const (
	pinnedClients  = 48
	pinnedTraffic  = 20 * time.Second
	pinnedCutAt    = 4 * time.Second
	pinnedCutFor   = 5 * time.Second
	pinnedTenants  = 2
	maxThinkTime   = 60 * time.Millisecond
	maxPauseInside = 900 * time.Millisecond
)

// expectation is what a client was told about its session when it sent a statement.
type expectation struct {
	values map[string]string
	shape  string // of the prepared statement, if it is an EXECUTE
	code   string // of the answer
}

// pinnedRun holds the statements of all clients.
type pinnedRun struct {
	*deployment
	mu       sync.Mutex
	expected map[string]expectation
	until    time.Time
}

// playPinned cuts the primary off from one host of three for some seconds, while
// clients set session values and use prepared statements in transactions.
func playPinned(d *deployment) (int, error) {
	p := &pinnedRun{deployment: d, expected: map[string]expectation{}, until: time.Now().Add(pinnedTraffic)}
	var clients sync.WaitGroup
	for i := range pinnedClients {
		clients.Go(func() { p.client(fmt.Sprintf("c%d", i), d.hosts[i%len(d.hosts)], rand.New(rand.NewPCG(uint64(i), 5))) })
	}
	if d.trouble {
		primary, cut := d.service.members[0], d.hosts[0]
		time.Sleep(pinnedCutAt)
		d.record.say("primary %s is partitioned from %s", primary.id, cut.name)
		d.service.setCut(primary, cut.ip, true)
		time.Sleep(pinnedCutFor)
		d.service.setCut(primary, cut.ip, false)
		d.record.say("the partition ends")
	}
	clients.Wait()
	return p.check(), nil
}

// pinnedClient is one client.
type pinnedClient struct {
	*pinnedRun
	name   string
	rng    *rand.Rand
	s      *session
	values map[string]string
	next   int
}

// statementShape is the prepared statement of all clients.
const statementShape = "READ q2c"

func (p *pinnedRun) client(name string, h *host, rng *rand.Rand) {
	c := &pinnedClient{pinnedRun: p, name: name, rng: rng}
	for time.Now().Before(p.until) {
		s, err := openSession(name, h.front, "inspectielog", p.record)
		if err != nil {
			time.Sleep(maxThinkTime)
			continue
		}
		c.s, c.values = s, map[string]string{}
		c.useSession()
		s.close()
	}
}

// useSession runs operations until the session must be closed.
func (c *pinnedClient) useSession() {
	if !c.set() || !c.ok("PREPARE s1 "+statementShape) {
		return
	}
	for time.Now().Before(c.until) {
		c.think(maxThinkTime)
		state := ""
		if c.rng.IntN(2) == 0 {
			state = c.transaction()
		} else {
			state = c.run("READ " + c.item())
		}
		if state != "I" {
			return
		}
	}
}

func (c *pinnedClient) think(most time.Duration) {
	time.Sleep(time.Duration(c.rng.Int64N(int64(most))))
}

func (c *pinnedClient) item() string { return fmt.Sprintf("i%d", c.rng.IntN(50)) }

func (c *pinnedClient) id() string {
	c.next++
	return fmt.Sprintf("%s-%d", c.name, c.next)
}

// set sets the tenant of the session and reports whether that was acknowledged.
func (c *pinnedClient) set() bool {
	tenant := fmt.Sprintf("t%d", c.rng.IntN(pinnedTenants))
	if !c.ok("SET tenant " + tenant) {
		return false
	}
	c.values["tenant"] = tenant
	return true
}

func (c *pinnedClient) ok(text string) bool {
	a, err := c.s.do(c.id(), text)
	return err == nil && a.code == ""
}

// run runs a read or write and returns the state after it; empty if the session broke.
func (c *pinnedClient) run(text string) string {
	id, expected := c.id(), expectation{values: maps.Clone(c.values)}
	if len(text) > 7 && text[:7] == "EXECUTE" {
		expected.shape = statementShape
	}
	c.mu.Lock()
	c.expected[id] = expected
	c.mu.Unlock()
	a, err := c.s.do(id, text)
	if err != nil {
		return ""
	}
	expected.code = a.code
	c.mu.Lock()
	c.expected[id] = expected
	c.mu.Unlock()
	return a.state
}

// transaction runs a transaction with pauses and returns the state after it.
func (c *pinnedClient) transaction() string {
	begin := "BEGIN"
	if c.rng.IntN(4) == 0 {
		begin = "BEGIN READ"
	}
	if !c.ok(begin) {
		return ""
	}
	state := c.run("READ " + c.item())
	if state == "T" {
		c.think(maxPauseInside)
		if !c.set() {
			return ""
		}
		state = c.run("READ " + c.item())
	}
	if state == "T" {
		c.think(maxPauseInside)
		state = c.run("EXECUTE s1 " + c.item())
	}
	if state == "T" && begin == "BEGIN" {
		state = c.run("WRITE " + c.item() + " " + c.name)
	}
	end := "ROLLBACK"
	if state == "T" {
		end = "COMMIT"
	}
	a, err := c.s.do(c.id(), end)
	if err != nil {
		return ""
	}
	return a.state
}

// check returns how often a statement ran with other session values than those that
// its client was told of, or without a prepared statement that was acknowledged.
func (p *pinnedRun) check() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service
	s.mu.Lock()
	defer s.mu.Unlock()
	broken := 0
	for _, r := range s.runs {
		e, known := p.expected[r.id]
		if !known {
			continue
		}
		switch {
		case !maps.Equal(e.values, r.values):
			broken++
			p.record.say("PINNED: %s ran %s %q with session values %v; its client was told %v and got code %q", r.database, r.id, r.text, r.values, e.values, e.code)
		case e.shape != "" && r.code == "UNKNOWN" && e.code == "UNKNOWN":
			broken++
			p.record.say("PINNED: %s does not know the prepared statement of %s %q, and its client is told so", r.database, r.id, r.text)
		case r.shape != e.shape && r.code == "":
			broken++
			p.record.say("PINNED: %s ran %s %q as %q; its client prepared %q", r.database, r.id, r.text, r.shape, e.shape)
		}
	}
	p.record.say("%d statements of clients ran, %d promotions", len(s.runs), len(s.promoted))
	return broken
}
