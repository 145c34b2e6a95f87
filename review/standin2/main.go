// Command standin2 is the stand-in of clients, databases and platform for the script of
// case 6. It starts the entry hosts of one zone, restarts them in turn, and checks what
// their clients and databases see.
package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	service  = "huvo11a"
	route    = "xapu221ny95"
	hosts    = 4
	perS     = 140.0
	settle   = 6 * time.Second
	duration = 90 * time.Second
	// gap is the pause between the SIGTERMs, and pass the time from one pass over the
	// hosts to the next.
	gap  = 1220 * time.Millisecond
	pass = 4900 * time.Millisecond
	// maxPause is the longest pause between the statements of a transaction.
	maxPause = 800 * time.Millisecond
	// routeTimeout is timeoutMs of the route.
	routeTimeout = 2 * time.Second
)

// request is a statement of a client.
type request struct {
	id, text     string
	host         *host
	sent, ended  time.Time
	answer       string
	wholeRequest bool
}

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: standin2 FOLDER RECORD; at the root of the repository")
		os.Exit(2)
	}
	code, err := play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 2
	}
	os.Exit(code)
}

func serveHTTP(handler http.Handler) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(ln, handler) }()
	return ln.Addr().String(), nil
}

// play runs the case and returns the exit status of the script.
func play(folder, recordFile string, trouble bool) (int, error) {
	s, d := newStore(), &database{service: service, runs: map[string]run{}}
	for i, zone := range []string{"randstad-a", "gelderland-a", "brabant-a"} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return 2, err
		}
		id, role := fmt.Sprintf("i-%d", i), "replica"
		if i == 0 {
			role = "primary"
		}
		go d.serve(ln, id, i == 0)
		s.write("servers", id, map[string]any{"service": service, "address": ln.Addr().String(), "zone": zone, "version": "1", "slots": 3,
			"state": "ready", "coldRemainingMs": 0, "sequence": 1, "databaseRole": role, "born": time.Now().UnixMilli()})
	}
	s.write("config", "main", map[string]any{"version": 7,
		"routes":   []any{map[string]any{"name": "r-1", "host": route, "kind": "bounded_staleness", "timeoutMs": routeTimeout.Milliseconds(), "targetLatencyMs": 1200, "priority": 2, "service": service, "maxStalenessMs": 1500}},
		"services": []any{map[string]any{"name": service, "connectionLimit": 45, "syncReplicas": 0}},
		"limits":   map[string]any{"headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "transactionIdleMs": 3000}})
	storeAddress, err := serveHTTP(s)
	if err != nil {
		return 2, err
	}
	promotions, err := serveHTTP(http.NotFoundHandler())
	if err != nil {
		return 2, err
	}
	b := &balancer{misses: map[*host]int{}}
	defer func() {
		for _, h := range b.hosts {
			h.end()
		}
	}()
	for i := range hosts {
		h, err := newHost(fmt.Sprintf("front-gelderland-a-%d", i+1), folder, storeAddress, promotions)
		if err != nil {
			return 2, err
		}
		if err := h.start(); err != nil {
			return 2, err
		}
		b.hosts = append(b.hosts, h)
	}
	done := make(chan struct{})
	defer close(done)
	go b.run(done)
	time.Sleep(settle)
	startedAt := time.Now()
	if trouble {
		go restartInTurn(b.hosts, startedAt.Add(2*time.Second))
	}
	requests := load(b, startedAt.Add(duration))
	time.Sleep(routeTimeout)
	return judge(b, d, requests, startedAt, recordFile, trouble)
}

// restartInTurn sends SIGTERM to one host after the other, gap apart, over and over.
func restartInTurn(hosts []*host, from time.Time) {
	for p := range int((duration - 10*time.Second) / pass) {
		for i, k := range rand.Perm(len(hosts)) {
			time.Sleep(time.Until(from.Add(time.Duration(p)*pass + time.Duration(i)*gap)))
			hosts[k].stop()
		}
	}
}

// load makes clients come at random moments, each with a session of one operation.
func load(b *balancer, until time.Time) []*request {
	var mu sync.Mutex
	var out []*request
	var running sync.WaitGroup
	for n := 0; time.Now().Before(until); n++ {
		time.Sleep(time.Duration(rand.ExpFloat64() / perS * float64(time.Second)))
		h, texts := b.choose(rand.N(1<<20)), operation(n)
		running.Go(func() {
			requests := playSession(h, texts)
			mu.Lock()
			defer mu.Unlock()
			out = append(out, requests...)
		})
	}
	running.Wait()
	return out
}

// operation returns the statements of an operation: a read, a write, or a transaction.
func operation(n int) []string {
	item := fmt.Sprintf("%x", rand.N(4096))
	switch {
	case n%4 == 0:
		return []string{"BEGIN", "READ " + item, "WRITE " + item + " data", "COMMIT"}
	case n%8 == 1:
		return []string{"WRITE " + item + " data"}
	default:
		return []string{"READ " + item}
	}
}

// playSession plays a session with one operation and returns its statements. After an error in a
// transaction the client rolls back.
func playSession(h *host, texts []string) []*request {
	c, err := net.DialTimeout("tcp", h.front, 2*time.Second)
	if err != nil {
		return nil
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(12 * time.Second))
	reader := bufio.NewReader(c)
	if _, err := io.WriteString(c, "START "+route+" client\r\n"); err != nil {
		return nil
	}
	if line, err := readLine(reader); err != nil || !strings.HasPrefix(line, "READY ") {
		return nil
	}
	var out []*request
	for i, text := range texts {
		if i > 0 {
			time.Sleep(maxPause/4 + rand.N(maxPause*3/4))
		}
		r := &request{id: fmt.Sprintf("%016x", rand.Uint64()), text: text, host: h}
		out = append(out, r)
		r.do(c, reader)
		if r.answer == "" {
			return out
		}
		if strings.HasPrefix(r.answer, "ERROR ") {
			if len(texts) > 1 {
				r := &request{id: fmt.Sprintf("%016x", rand.Uint64()), text: "ROLLBACK", host: h}
				out = append(out, r)
				r.do(c, reader)
			}
			break
		}
	}
	_, _ = io.WriteString(c, "BYE\r\n")
	return out
}

// do sends the statement and waits for its answer, which is empty if the connection ended
// without a complete one.
func (r *request) do(c net.Conn, reader *bufio.Reader) {
	defer func() { r.ended = time.Now() }()
	r.sent = time.Now()
	if _, err := io.WriteString(c, "QUERY "+r.id+" "+r.text+"\r\n"); err != nil {
		return
	}
	r.wholeRequest = true
	answer := ""
	for {
		line, err := readLine(reader)
		if err != nil {
			return
		}
		if strings.HasPrefix(line, "READY ") {
			r.answer = answer
			return
		}
		answer = line
	}
}

// lost reports whether the rule LOST is broken for a request: the host has passed it on to
// a database, and the connection ended without an answer, from the host's SIGTERM to 1 s
// after graceS. It isn't if the database broke off, the time was up, or the database was
// still at work in the last sixth of graceS on a request that was sent no later than 3 s
// after the SIGTERM.
func (r *request) lost(runs map[string]run) (bool, time.Duration) {
	x, passedOn := runs[r.id]
	stopped := r.host.stoppedAt(r.ended)
	since := r.ended.Sub(stopped)
	if !r.wholeRequest || r.answer != "" || !passedOn || stopped.IsZero() || since > (graceS+1)*time.Second || r.ended.Sub(r.sent) >= routeTimeout {
		return false, since
	}
	atWorkLate := since >= graceS*time.Second*5/6 && r.sent.Sub(stopped) <= 3*time.Second && x.ended.Sub(stopped) >= graceS*time.Second*5/6
	return !atWorkLate, since
}

// judge writes the record and returns 1 if the rule was broken, 0 if it held, and 2 if
// too little was served to tell.
func judge(b *balancer, d *database, requests []*request, startedAt time.Time, file string, trouble bool) (int, error) {
	f, err := os.Create(file)
	if err != nil {
		return 2, err
	}
	defer f.Close()
	w := bufio.NewWriter(f)
	defer w.Flush()
	d.mu.Lock()
	defer d.mu.Unlock()
	at := func(t time.Time) string {
		if t.IsZero() {
			return "-"
		}
		return fmt.Sprintf("%.3f", t.Sub(startedAt).Seconds())
	}
	slices.SortFunc(requests, func(a, b *request) int { return a.sent.Compare(b.sent) })
	answered, broken := 0, 0
	var lines []string
	for _, r := range requests {
		x := d.runs[r.id]
		if r.answer != "" {
			answered++
		}
		mark := ""
		if lost, since := r.lost(d.runs); lost {
			broken++
			mark = fmt.Sprintf(" LOST: sent %.3f s and cut %.3f s after the host's SIGTERM", r.sent.Sub(r.host.stoppedAt(r.ended)).Seconds(), since.Seconds())
		}
		answer := "no answer"
		if r.answer != "" {
			answer = r.answer
		}
		verb, _, _ := strings.Cut(r.text, " ")
		lines = append(lines, fmt.Sprintf("%s %s %s to %s; reached %s at %s, answered there %v; ended %s: %s%s", at(r.sent), r.id, verb, r.host.name, orDash(x.server), at(x.reached), x.answered, at(r.ended), answer, mark))
	}
	fmt.Fprintf(w, "trouble %v: %d statements sent, %d answered, %d passed on to a database and cut without an answer\n", trouble, len(requests), answered, broken)
	for _, h := range b.hosts {
		h.mu.Lock()
		fmt.Fprintf(w, "%s: %d stops; exits: %s\n", h.name, len(h.signalled), strings.Join(h.exits, ", "))
		h.mu.Unlock()
	}
	for _, line := range lines {
		fmt.Fprintln(w, line)
	}
	fmt.Printf("%d statements sent, %d answered, %d passed on to a database and cut without an answer\n", len(requests), answered, broken)
	switch {
	case 2*answered < len(requests):
		return 2, fmt.Errorf("only %d of %d statements were answered", answered, len(requests))
	case broken > 0:
		return 1, nil
	default:
		return 0, nil
	}
}

func orDash(text string) string {
	if text == "" {
		return "no database"
	}
	return text
}
