// Command standin runs the cases of the review that are scripts: it starts gypsumgap
// processes on loopback addresses, plays clients, databases and the platform, and
// checks a rule from what these see. The exit status is 0 if the rule held, 1 if it
// was broken, and 2 if the case could not run.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// deployment is a small deployment.
type deployment struct {
	record  *record
	network string
	store   *store
	service *service
	hosts   []*host
	trouble bool
	folder  string
}

// routeSpec is a route of the configuration.
type routeSpec struct {
	Name            string `json:"name"`
	Host            string `json:"host"`
	PathPrefix      string `json:"pathPrefix"`
	Kind            string `json:"kind"`
	TimeoutMs       int    `json:"timeoutMs"`
	TargetLatencyMs int    `json:"targetLatencyMs"`
	Priority        int    `json:"priority"`
	Service         string `json:"service"`
	MaxAttempts     int    `json:"maxAttempts"`
	MaxStalenessMs  int    `json:"maxStalenessMs,omitempty"`
}

// scenario is a case. It returns the number of times that the rule was broken.
type scenario struct {
	fenced bool
	hosts  int
	limit  int
	// distant makes hosts and databases of different regions 20 ms apart, one way.
	distant bool
	// syncReplicas is that of the service.
	syncReplicas int
	run          func(*deployment) (broken int, err error)
}

var scenarios = map[string]scenario{}

func main() {
	name := flag.String("scenario", "", "name of the scenario")
	folder := flag.String("folder", ".", "folder of the case, for record.txt")
	binary := flag.String("binary", "target/gypsumgap", "program of the hosts")
	flag.Parse()
	os.Exit(play(*name, *folder, *binary, os.Getenv("TROUBLE") != "0"))
}

const couldNotRun = 2

func play(name, folder, binary string, trouble bool) int {
	sc, known := scenarios[name]
	if !known {
		fmt.Println("no such scenario")
		return couldNotRun
	}
	r, err := newRecord(folder)
	if err != nil {
		fmt.Println(err)
		return couldNotRun
	}
	defer r.close()
	r.say("scenario %s, trouble %t", name, trouble)
	temporary, err := os.MkdirTemp("", "review-")
	if err != nil {
		r.say("could not run: %v", err)
		return couldNotRun
	}
	d := &deployment{record: r, trouble: trouble, folder: temporary}
	go d.stopOnSignal()
	broken, err := 0, d.start(sc, binary)
	if err == nil {
		err = d.awaitReady()
	}
	if err == nil {
		broken, err = sc.run(d)
	}
	for _, h := range d.hosts {
		h.stop()
		if h.endedByItself > 0 {
			r.say("process of %s ended by itself %d times", h.name, h.endedByItself)
		}
	}
	if err != nil {
		r.say("could not run: %v (logs in %s)", err, temporary)
		return couldNotRun
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(temporary)
	} else {
		r.say("logs are in the temporary folder %s", filepath.Base(temporary))
	}
	r.say("rule broken %d times", broken)
	if broken > 0 {
		return 1
	}
	return 0
}

// stopOnSignal ends the hosts and the program when the program is told to end.
func (d *deployment) stopOnSignal() {
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGTERM, syscall.SIGINT)
	<-told
	for _, h := range d.hosts {
		h.signal(syscall.SIGKILL)
	}
	d.record.close()
	os.Exit(couldNotRun)
}

// start starts the platform, the databases and the hosts.
func (d *deployment) start(sc scenario, binary string) error {
	network, err := freeNetwork()
	if err != nil {
		return err
	}
	d.network, d.store = network, newStore()
	if d.service, err = newService("werkplaats", network, []string{"brabant-a", "randstad-a", "gelderland-a"}, sc.fenced, sc.limit, d.record, d.store); err != nil {
		return err
	}
	if sc.distant {
		d.service.zoneOf = func(address string) string {
			for i := range sc.hosts {
				if address == hostAddress(network, i) {
					return zoneRegions[i%len(zoneRegions)][0]
				}
			}
			return ""
		}
	}
	storeAddress, err := serveHTTP(network+".250.1", d.store)
	if err != nil {
		return err
	}
	cloudAddress, err := serveHTTP(network+".250.2", d.service)
	if err != nil {
		return err
	}
	d.service.syncReplicas = sc.syncReplicas
	d.configure(sc.limit)
	absolute, err := filepath.Abs(binary)
	if err != nil {
		return err
	}
	for i := range sc.hosts {
		zone := zoneRegions[i%len(zoneRegions)][0]
		h, err := newHost(absolute, d.folder, fmt.Sprintf("front-%s-%d", zone, i/len(zoneRegions)+1), hostAddress(network, i), zone, storeAddress, cloudAddress, sc.fenced, d.record)
		if err != nil {
			return err
		}
		if err := h.start(); err != nil {
			return err
		}
		d.hosts = append(d.hosts, h)
	}
	return nil
}

// hostAddress returns the address of the i-th host.
func hostAddress(network string, i int) string { return fmt.Sprintf("%s.%d.1", network, i+1) }

// configure writes the configuration, like the operator.
func (d *deployment) configure(limit int) {
	route := func(name, kind string, staleness int) routeSpec {
		return routeSpec{Name: "r-" + name, Host: name, PathPrefix: "/", Kind: kind, TimeoutMs: 1000, TargetLatencyMs: 1000, Priority: 1, Service: d.service.name, MaxAttempts: 2, MaxStalenessMs: staleness}
	}
	d.store.put("config", "main", map[string]any{
		"version":  3,
		"routes":   []routeSpec{route("werkbon", "primary", 0), route("status-check", "bounded_staleness", 1500), route("inspectielog", "own_writes", 2500)},
		"services": []map[string]any{{"name": d.service.name, "healthPath": "/health", "connectionLimit": limit, "protocol": "h1", "tls": false, "syncReplicas": d.service.syncReplicas}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "transactionIdleMs": 3000},
	})
}

// readyTimeout bounds the start of the hosts, and warmUp is the time after it before
// traffic starts.
const (
	readyTimeout = 20 * time.Second
	warmUp       = 6 * time.Second
)

// awaitReady waits until all hosts are ready and have settled.
func (d *deployment) awaitReady() error {
	until := time.Now().Add(readyTimeout)
	for _, h := range d.hosts {
		for !h.isReady() {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", h.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(warmUp)
	return nil
}

// holder returns the host that holds the promotion duty according to the last
// conditional write to the store, or nil.
func (d *deployment) holder() *host {
	var r struct {
		Holder string `json:"holder"`
	}
	_ = json.Unmarshal(d.store.value("gypsumgap-leases", "promotion"), &r)
	for _, h := range d.hosts {
		if h.name == r.Holder {
			return h
		}
	}
	return nil
}

// freeNetwork returns the first two numbers of loopback addresses that no other run
// uses.
func freeNetwork() (string, error) {
	for n := range 100 {
		network := fmt.Sprintf("127.%d", 100+(os.Getpid()+n)%100)
		ln, err := net.Listen("tcp", network+".251.1:7399")
		if err == nil {
			networkLock = ln
			return network, nil
		}
	}
	return "", fmt.Errorf("no free loopback network")
}

// networkLock keeps the network reserved until the program ends.
var networkLock net.Listener

func serveHTTP(ip string, handler http.Handler) (string, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(ln, handler) }()
	return ln.Addr().String(), nil
}
