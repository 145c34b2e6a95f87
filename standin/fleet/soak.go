package fleet

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/gypsumgap/gypsumgap/core/catalog"
	"github.com/gypsumgap/gypsumgap/core/statement"
	"github.com/gypsumgap/gypsumgap/core/statement/statementtest"
)

// Options configures a soak.
type Options struct {
	// Binary is the path of the gypsumgap program.
	Binary string
	// OtherBinary is the program of every second host, for example of another version;
	// empty if all run Binary.
	OtherBinary string
	// Seed seeds the faults and the load.
	Seed uint64
	// Duration is the time for which load runs and faults are injected.
	Duration time.Duration
	// Hosts is the number of gypsumgap processes.
	Hosts int
	// Callers is the number of concurrent sessions.
	Callers int
	// NoFaults disables fault injection.
	NoFaults bool
	// Planned replaces the faults by planned work: stops, reloads, configuration changes
	// and planned changes of primary.
	Planned bool
	// SyncReplicas is the number of replicas that must receive a commit before it is
	// acknowledged. If it is positive, orders are late, and servers start, leave, lose
	// their logs and the store as well.
	SyncReplicas int
	// Folder receives the settings and logs of the processes.
	Folder string
}

const (
	services          = 2
	serversPerService = 3
	// staleness is the bound of the routes with bounded staleness.
	staleness = 1500 * time.Millisecond
	// settleTime is the time within which all routes must be served again after
	// the last fault: detecting silent connections and expired registrations
	// takes seconds.
	settleTime  = 25 * time.Second
	callerPause = 80 * time.Millisecond
	// routeTimeout is the time limit of a statement.
	routeTimeout = time.Second
	// registrationInterval is the interval at which a backend server registers,
	// registrationExpiry the age at which a registration is removed.
	registrationInterval = 300 * time.Millisecond
	registrationExpiry   = 3 * registrationInterval
)

// zones are the availability zones of the hosts and of the callers.
var zones = []string{"zone-a", "zone-b", "zone-c"}

// routeKinds holds the kinds of the routes of each service, and routeConsistencies the
// consistency that each kind guarantees, in the same order.
var routeKinds = []string{"primary", "bounded_staleness", "own_writes"}

var routeConsistencies = []catalog.Consistency{catalog.Primary, catalog.BoundedStaleness, catalog.ReadYourWrites}

// Soak is a run of gypsumgap processes under load and injected faults.
type Soak struct {
	options    Options
	rng        *rand.Rand
	prefix     string
	store      *Store
	proxies    []*Proxy
	storeProxy *Proxy
	services   []*statementtest.Service
	histories  []*statementtest.History
	processes  []*Process
	listeners  []net.Listener
	// addresses maps each backend server id to the address of its proxy.
	addresses map[string]string
	balancer  *balancer
	// unresolved is checked after planned work.
	unresolved unresolvedStatements
	version    int
	// draining holds the server of each service that has announced its stop.
	drainingMu sync.Mutex
	draining   [services]string
	// silent holds the servers that are cut from the store, by ID.
	silent     map[string]bool
	promotions *Promotions
	done       chan struct{}
	running    sync.WaitGroup
	// disturbed holds the periods in which messages and processes may have been held
	// up; the last one has no end until the faults are lifted.
	disturbed []period
}

// Result holds the results of a soak.
type Result struct {
	// Problems describes each violated guarantee and each failed check.
	Problems []string
	// Faults counts the injected faults by name.
	Faults map[string]int
	// Writes counts the write attempts by the code of their answer.
	Writes map[statement.Code]int
	// Broken counts the write attempts whose connection broke.
	Broken int
	// Reads counts the successful reads.
	Reads int
	// Promotions is the number of promotions of a replica to primary.
	Promotions int
}

// lockPort is bound while a soak runs, so that no two soaks use the same loopback
// network.
const lockPort = 7400

// Run runs a soak on the loopback addresses 127.<network>.0.0/16. It returns an
// error if another soak uses the same network or a process cannot be started;
// violated guarantees and failed checks are part of the result.
func Run(o Options, network int) (*Result, error) {
	networkLock, err := net.Listen("tcp", fmt.Sprintf("127.%d.250.1:%d", network, lockPort))
	if err != nil {
		return nil, fmt.Errorf("loopback network %d is in use: %w", network, err)
	}
	defer networkLock.Close()
	s := &Soak{
		options: o, rng: rand.New(rand.NewPCG(o.Seed, 1)), prefix: fmt.Sprintf("127.%d", network),
		store: NewStore(o.Seed), addresses: map[string]string{}, silent: map[string]bool{}, done: make(chan struct{}),
	}
	defer s.close()
	if err := s.start(); err != nil {
		return nil, err
	}
	s.balancer = newBalancer(s.processes)
	s.running.Go(func() { s.balancer.run(s.done) })
	result := &Result{Faults: map[string]int{}, Writes: map[statement.Code]int{}}
	s.awaitService(result, settleTime)
	until := time.Now().Add(o.Duration)
	var load sync.WaitGroup
	for i := range o.Callers {
		s.startCaller(&load, i, until)
		if o.Planned {
			s.startShortSessions(&load, i, until)
		}
	}
	switch {
	case o.Planned:
		s.doPlannedWork(result, until)
	case !o.NoFaults:
		s.injectFaults(result, until)
	}
	load.Wait()
	s.heal()
	s.awaitStops()
	s.awaitService(result, settleTime)
	s.finish(result)
	return result, nil
}

func (s *Soak) listen(ip string) (net.Listener, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err == nil {
		s.listeners = append(s.listeners, ln)
	}
	return ln, err
}

// serveBehindProxy calls serve with a listener behind a new proxy and returns the
// proxy and its address.
func (s *Soak) serveBehindProxy(serve func(net.Listener)) (*Proxy, string, error) {
	behind, err := s.listen(s.prefix + ".250.1")
	if err != nil {
		return nil, "", err
	}
	front, err := s.listen(s.prefix + ".251.1")
	if err != nil {
		return nil, "", err
	}
	go serve(behind)
	p := NewProxy(front, behind.Addr().String())
	s.proxies = append(s.proxies, p)
	return p, front.Addr().String(), nil
}

// platformFencing reports whether the stand-in of the platform stops replaced
// primaries, as it does in runs with an even seed.
func (s *Soak) platformFencing() bool { return s.options.Seed%2 == 0 }

// connectionLimit returns the connection limit of each service. In half of the runs
// it is so low that some hosts own the connections and the others forward their
// statements.
func (s *Soak) connectionLimit() int {
	if s.options.Seed%4 >= 2 {
		return 12
	}
	return 40
}

func (s *Soak) statementTime() time.Duration {
	if s.options.Planned {
		return plannedStatementTime
	}
	return 2 * time.Millisecond
}

func (s *Soak) timing() timing {
	if s.options.Planned {
		return timing{stopTimeout: 6 * time.Second, restartDelay: time.Second}
	}
	return timing{stopTimeout: 4 * time.Second, restartDelay: 300 * time.Millisecond}
}

func (s *Soak) thinkTime() time.Duration {
	if s.options.Planned {
		return plannedThinkTime
	}
	return callerPause
}

// zoneOf returns the availability zone of the i-th host.
func (s *Soak) zoneOf(i int) string {
	if s.options.Planned && i < plannedZoneHosts {
		return plannedZone
	}
	return zones[i%len(zones)]
}

func (s *Soak) start() error {
	for i := range services {
		name := fmt.Sprintf("service-%d", i)
		var ids []string
		for j := range serversPerService {
			ids = append(ids, fmt.Sprintf("%s-%d", name, j))
		}
		service := statementtest.New(name, statementtest.Options{
			ReplicationLag: 5 * time.Millisecond, StatementTime: s.statementTime(), DialTime: 2 * time.Millisecond, PromotionDelay: 200 * time.Millisecond,
			ConnectionLimit: s.connectionLimit(), ReplacedPrimaryContinues: !s.platformFencing(),
			SyncReplicas: s.options.SyncReplicas,
		}, ids...)
		s.services = append(s.services, service)
		s.histories = append(s.histories, statementtest.NewHistory(service, staleness, s.thinkTime()))
		for _, id := range append(ids, newServerID(name)) {
			_, address, err := s.serveBehindProxy(func(ln net.Listener) { ServeDatabase(ln, service, id) })
			if err != nil {
				return err
			}
			s.addresses[id] = address
		}
	}
	storeProxy, store, err := s.serveBehindProxy(func(ln net.Listener) { _ = http.Serve(ln, s.store) })
	if err != nil {
		return err
	}
	s.storeProxy = storeProxy
	s.promotions = NewPromotions(s.services)
	_, promotions, err := s.serveBehindProxy(func(ln net.Listener) { _ = http.Serve(ln, s.promotions) })
	if err != nil {
		return err
	}
	if err := s.configure(); err != nil {
		return err
	}
	s.running.Go(s.registerServers)
	for i := range s.options.Hosts {
		ip := fmt.Sprintf("%s.%d.1", s.prefix, i+1)
		binary := s.options.Binary
		if i%2 == 1 && s.options.OtherBinary != "" {
			binary = s.options.OtherBinary
		}
		p, err := NewProcess(binary, s.options.Folder, fmt.Sprintf("host-%d", i), ip, s.zoneOf(i), store, promotions, s.platformFencing(), s.timing())
		if err != nil {
			return err
		}
		s.processes = append(s.processes, p)
		if err := p.Start(); err != nil {
			return err
		}
	}
	return nil
}

// startCaller starts the i-th caller.
func (s *Soak) startCaller(load *sync.WaitGroup, i int, until time.Time) {
	rng := rand.New(rand.NewPCG(s.options.Seed, uint64(i)+100))
	load.Go(func() { s.runCaller(i, fmt.Sprintf("c%d", i), rng, until) })
}

// runCaller runs a caller on the route and from the availability zone that the index
// selects. With planned work, two of three callers come from the zone whose hosts are
// stopped.
func (s *Soak) runCaller(i int, name string, rng *rand.Rand, until time.Time) {
	service, kind, zone := i%services, i/services%len(routeKinds), zones[i%len(zones)]
	if s.options.Planned && i%len(zones) < 2 {
		zone = plannedZone
	}
	c := &Caller{Database: databaseName(service, kind), PickHost: func() *Process { return s.balancer.pick(zone, rng) }}
	defer c.Close()
	s.histories[service].RunCaller(&observedCaller{c, service, &s.unresolved}, name, routeConsistencies[kind], rng, until)
}

func (s *Soak) close() {
	for _, p := range s.processes {
		_ = p.Stop()
	}
	close(s.done)
	s.running.Wait()
	for _, ln := range s.listeners {
		_ = ln.Close()
	}
}

// heal lifts all faults. Connections that were silenced stay silent.
func (s *Soak) heal() {
	for _, p := range s.processes {
		p.Signal(syscall.SIGCONT)
	}
	for _, service := range s.services {
		service.Heal()
	}
	for _, p := range s.proxies {
		p.Heal()
	}
	s.endDisturbance()
	s.promotions.delayNext(0)
	s.drainingMu.Lock()
	clear(s.silent)
	s.drainingMu.Unlock()
	s.store.SetDown(false)
	s.store.SetSlow(0)
	s.store.LoseAnswers(0, 0)
}

// MakeFolder creates a temporary folder for the files of a soak.
func MakeFolder() (string, error) { return os.MkdirTemp("", "gypsumgap-soak-") }
