// Command standin4 runs one case of the review: entry hosts as separate processes before
// stand-ins of the platform's store, its promotion API, the databases of one service and
// the clients. It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if
// the case could not run.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"path/filepath"
	"sort"
	"syscall"
	"time"
)

// The delays of the network, one way.
const (
	inZone      = 200 * time.Microsecond
	crossZone   = 500 * time.Microsecond
	crossRegion = 20 * time.Millisecond
)

var regions = map[string]string{"randstad-a": "randstad", "randstad-b": "randstad", "gelderland-a": "gelderland"}

func oneWay(a, b string) time.Duration {
	switch {
	case a == b:
		return inZone
	case regions[a] == regions[b]:
		return crossZone
	default:
		return crossRegion
	}
}

// world is everything that a case works with.
type world struct {
	record  *record
	store   *store
	cloud   *cloud
	service *service
	hosts   []*host
	clients *clients
	// trouble is false if the case runs without its disruptions.
	trouble bool
	began   time.Time
	// network is the second number of the loopback addresses, which lock reserves.
	network int
	lock    net.Listener
	// killedAt and backAt are the times of a final fault and of the restart after it.
	killedAt, backAt time.Time
}

const (
	serviceName  = "ledger"
	databaseName = "claims"
)

// hostZones holds the zones of the hosts.
var hostZones = []string{"gelderland-a", "gelderland-a", "randstad-a", "randstad-a", "randstad-b", "randstad-b"}

// ip returns an address of the loopback network of the case.
func (w *world) ip(rest string) string { return fmt.Sprintf("127.%d.%s", w.network, rest) }

// cases holds the cases by number.
var cases = map[string]func(*world) error{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin4 CASE FOLDER, run in the repository after the build")
		os.Exit(2)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

func runCase(name, folder string) int {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(temp)
	}
	w := &world{record: rec, trouble: os.Getenv("TROUBLE") != "0"}
	defer w.end()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		w.end()
		os.Exit(2)
	}()
	if err := w.start(temp); err != nil {
		rec.say("the case could not run: %v", err)
		return 2
	}
	if err := cases[name](w); err != nil {
		rec.say("the case could not run: %v", err)
		return 2
	}
	for _, h := range w.hosts {
		h.events("promotion_duty", "succession", "promotion_ordered", "promoted", "promotion_failed", "server", "server_lapsed", "log_lost", "log_covered")
	}
	if w.backAt.IsZero() {
		return w.judgeLost()
	}
	return w.judgeRecovery()
}

// recovery is the bound recoveryS.
const recovery = 15 * time.Second

// judgeRecovery checks RECOVER: of the requests sent later than recoveryS after the hosts
// are back, a quarter or more is served, if that was so before the final fault.
func (w *world) judgeRecovery() int {
	sentBefore, servedBefore := w.clients.servedBetween(w.began, w.killedAt.Add(-5*time.Second))
	sent, served := w.clients.servedBetween(w.backAt.Add(recovery), w.backAt.Add(time.Hour))
	w.record.say("before the disruptions %d of %d writes were served; later than %s after the hosts were back, %d of %d", servedBefore, sentBefore, recovery, served, sent)
	switch {
	case sentBefore < 100 || 4*servedBefore < sentBefore || sent < 20:
		w.record.say("the case could not run: too few writes were sent or served")
		return 2
	case 4*served < sent:
		w.record.say("RECOVER is broken")
		return 1
	default:
		w.record.say("RECOVER holds")
		return 0
	}
}

// killAll kills the processes of all hosts and starts them again after a pause.
func (w *world) killAll(down time.Duration) error {
	w.killedAt = time.Now()
	w.record.add("host", "the processes of all hosts are killed")
	for _, h := range w.hosts {
		h.kill()
	}
	time.Sleep(down)
	for _, h := range w.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	w.backAt = time.Now()
	return nil
}

// start starts the stand-ins and six hosts, two in each zone.
func (w *world) start(temp string) error {
	network, lock, err := freeNetwork(len(hostZones))
	if err != nil {
		return err
	}
	w.network, w.lock = network, lock
	w.store = newStore()
	w.service = newService(serviceName, 1, w.record, w.store, oneWay)
	w.cloud = &cloud{service: w.service, record: w.record}
	w.clients = newClients(w.record, databaseName)
	storeAddress, cloudAddress := serveHTTP(w.ip("9.1"), w.store), serveHTTP(w.ip("9.2"), w.cloud)
	w.writeConfiguration(1)
	w.service.start("i-p1", "randstad-a", w.ip("8.1"))
	w.service.start("i-r1", "gelderland-a", w.ip("8.2"))
	w.service.start("i-r2", "randstad-b", w.ip("8.3"))
	for i, zone := range hostZones {
		w.hosts = append(w.hosts, newHost(temp, fmt.Sprintf("front-%s-%d", zone, i+1), zone, w.ip(fmt.Sprintf("7.%d", i+1)), storeAddress, cloudAddress, w.record))
	}
	for i, h := range w.hosts {
		if err := h.start(); err != nil {
			return err
		}
		if i == 0 {
			time.Sleep(250 * time.Millisecond)
		}
	}
	until := time.Now().Add(10 * time.Second)
	for _, h := range w.hosts {
		if !h.awaitReady(until) {
			return fmt.Errorf("%s is not ready", h.name)
		}
	}
	time.Sleep(6 * time.Second)
	w.began = time.Now()
	w.record.add("case", "all hosts are ready; trouble: %v; holder of the promotion duty: %s", w.trouble, w.holder())
	return nil
}

func (w *world) writeConfiguration(version int) {
	w.record.add("operator", "configuration %d", version)
	w.store.write("config", "main", map[string]any{
		"version": version,
		"routes": []any{map[string]any{"name": "claims", "host": databaseName, "kind": "primary", "service": serviceName, "timeoutMs": 900 + 100*version,
			"targetLatencyMs": 500, "priority": 0, "maxStalenessMs": 0}},
		"services": []any{map[string]any{"name": serviceName, "connectionLimit": w.service.limit, "syncReplicas": w.service.syncReplicas}},
		"limits":   map[string]any{"headerTimeoutMs": 5000, "transactionIdleMs": 5000},
	})
}

// holder returns the host that holds the promotion duty, as the hosts' own object in the
// store says.
func (w *world) holder() string {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	var lease struct{ Holder string }
	_ = json.Unmarshal(w.store.objects["gypsumgap-leases"]["promotion"].Spec, &lease)
	return lease.Holder
}

// at waits until the time since the start of the case.
func (w *world) at(d time.Duration) { time.Sleep(time.Until(w.began.Add(d))) }

// inZone returns the hosts of the zones.
func (w *world) inZone(zones ...string) []*host {
	var out []*host
	for _, h := range w.hosts {
		for _, z := range zones {
			if h.zone == z {
				out = append(out, h)
			}
		}
	}
	return out
}

func addresses(hosts []*host) []netip.Addr {
	var out []netip.Addr
	for _, h := range hosts {
		out = append(out, h.addr())
	}
	return out
}

// end ends the processes that the case started.
func (w *world) end() {
	for _, h := range w.hosts {
		h.kill()
	}
	http.DefaultClient.CloseIdleConnections()
}

// judgeLost checks LOST: each commit that was acknowledged to its client and, at its
// database, before a promotion took effect is in the log of the database promoted.
func (w *world) judgeLost() int {
	w.service.mu.Lock()
	promoted := w.service.promoted
	acknowledged := w.service.acknowledged
	w.service.mu.Unlock()
	w.clients.mu.Lock()
	defer w.clients.mu.Unlock()
	w.record.say("%d writes acknowledged to clients, %d refused with a promise, %d with an unknown outcome, %d promotions",
		len(w.clients.acknowledged), len(w.clients.refused), w.clients.unknown, len(promoted))
	broken := false
	for _, p := range promoted {
		var lost []string
		for id := range w.clients.acknowledged {
			if at, known := acknowledged[id]; known && at.Before(p.at) && !p.log[id] {
				lost = append(lost, id)
			}
		}
		sort.Strings(lost)
		w.record.say("promotion of %s at %.3f s: %d acknowledged commits are not in its log %v", p.id, p.at.Sub(w.record.started).Seconds(), len(lost), lost[:min(len(lost), 10)])
		broken = broken || len(lost) > 0
	}
	if broken {
		w.record.say("LOST is broken")
		return 1
	}
	if len(w.clients.acknowledged) < 100 {
		w.record.say("the case could not run: too few writes were acknowledged")
		return 2
	}
	w.record.say("LOST holds")
	return 0
}
