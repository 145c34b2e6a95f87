package fleet

import (
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/gypsumgap/gypsumgap/core/statement/statementtest"
)

// minFaultPause and maxFaultPause are the range of the random pause before each
// fault. After a fault, all faults are lifted with a probability of one in
// healOneIn.
const (
	minFaultPause = 100 * time.Millisecond
	maxFaultPause = 1500 * time.Millisecond
	healOneIn     = 4
	// maxProcessPause is the longest time for which a process is suspended.
	maxProcessPause = 4 * time.Second
	// maxBackupAge is the greatest age of the copy to which the store goes back, and
	// restoreOutage how long it is away before.
	maxBackupAge  = 4 * time.Second
	restoreOutage = 500 * time.Millisecond
)

// fault is a kind of fault that a soak injects. The name appears in the results.
type fault struct {
	name string
	do   func(*Soak)
}

var faults = []fault{
	{"kill", func(s *Soak) { s.randomProcess().Signal(syscall.SIGKILL) }},
	{"stop", func(s *Soak) { s.randomProcess().Signal(syscall.SIGTERM) }},
	{"reload", func(s *Soak) { s.randomProcess().Signal(syscall.SIGHUP) }},
	{"pause", (*Soak).pause},
	{"kill all", func(s *Soak) {
		for _, p := range s.processes {
			p.Signal(syscall.SIGKILL)
		}
	}},
	{"server crash", func(s *Soak) { sv, id := s.randomServer(); sv.Crash(id) }},
	{"primary crash", func(s *Soak) { sv, _ := s.randomServer(); sv.CrashPrimary() }},
	{"server silent", func(s *Soak) { sv, id := s.randomServer(); sv.Hang(id) }},
	{"server isolated", func(s *Soak) { sv, id := s.randomServer(); sv.SetIsolated(id, true) }},
	{"replica deaf", func(s *Soak) { sv, id := s.randomServer(); sv.SetReplicationPaused(id, true) }},
	{"replica lags", func(s *Soak) {
		sv, id := s.randomServer()
		sv.SetLag(id, time.Duration(s.rng.IntN(2000))*time.Millisecond)
	}},
	{"answers lost", func(s *Soak) { sv, id := s.randomServer(); sv.LoseAnswers(id, 1+s.rng.IntN(3)) }},
	{"server busy", func(s *Soak) { sv, id := s.randomServer(); sv.RefuseBusy(id, 1+s.rng.IntN(9)) }},
	{"store down", func(s *Soak) { s.store.SetDown(true) }},
	{"store slow", func(s *Soak) { s.store.SetSlow(time.Duration(50+s.rng.IntN(400)) * time.Millisecond) }},
	{"store loses answers", func(s *Soak) { s.store.LoseAnswers(0.4, 0) }},
	{"store writes late", func(s *Soak) { s.store.LoseAnswers(0.4, time.Duration(s.rng.IntN(5000))*time.Millisecond) }},
	{"store forgets history", func(s *Soak) { s.store.Compact() }},
	{"store restored", (*Soak).restoreStore},
	{"host cut from store", func(s *Soak) { s.storeProxy.Set(s.randomProcess().IP, s.randomProxyFault()) }},
	{"host cut from a peer", func(s *Soak) { s.randomProxy().Set(s.randomProcess().IP, s.randomProxyFault()) }},
	{"hosts cut from a peer", func(s *Soak) {
		p := s.randomProxy()
		for _, x := range s.processes {
			if s.rng.IntN(2) == 0 {
				s.startDisturbance()
				p.Set(x.IP, Cut)
			}
		}
	}},
	{"connections silent", func(s *Soak) { s.randomProxy().Silence() }},
	{"connections reset", func(s *Soak) { s.randomProxy().Reset() }},
	{"configuration", func(s *Soak) { _ = s.configure() }},
	{"odd entry", (*Soak).writeOddEntry},
}

// oddEntry is the name of an entry of another writer among those of the backend servers.
const oddEntry = "odd"

// oddSpecs are entries that name no backend server.
var oddSpecs = []string{
	strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000),
	`{"service":"service-0","address":"127.0.0.1:1","zone":"zone-a","slots":1e999,"state":"ready","databaseRole":"primary"}`,
	`{"service":"service-0","address":"127.0.0.1:70000","zone":"zone-a","slots":3,"state":"ready","databaseRole":"primary"}`,
	`{nonsense}`,
}

// writeOddEntry leaves an odd entry of its own or, one time in three, in the place of
// that of a backend server, which writes it again.
func (s *Soak) writeOddEntry() {
	name := oddEntry
	if s.rng.IntN(3) == 0 {
		_, name = s.randomServer()
	}
	s.store.WriteRaw("servers", name, []byte(oddSpecs[s.rng.IntN(len(oddSpecs))]))
}

func (s *Soak) randomProcess() *Process { return s.processes[s.rng.IntN(len(s.processes))] }
func (s *Soak) randomProxy() *Proxy     { return s.proxies[s.rng.IntN(len(s.proxies))] }
func (s *Soak) randomProxyFault() Fault {
	s.startDisturbance()
	return []Fault{Cut, CutAnswers, Delay}[s.rng.IntN(3)]
}

// randomServer returns a random backend server and its service.
func (s *Soak) randomServer() (*statementtest.Service, string) {
	service := s.services[s.rng.IntN(len(s.services))]
	return service, fmt.Sprintf("%s-%d", service.Name, s.rng.IntN(serversPerService))
}

// pause suspends a random process with SIGSTOP for up to maxProcessPause.
func (s *Soak) pause() {
	p, duration := s.randomProcess(), time.Duration(s.rng.Int64N(int64(maxProcessPause)))
	s.startDisturbance()
	p.Signal(syscall.SIGSTOP)
	time.AfterFunc(duration, func() { p.Signal(syscall.SIGCONT) })
}

// restoreStore takes the store away, and brings it back as it was up to
// maxBackupAge before. The backend servers write their registrations again.
func (s *Soak) restoreStore() {
	s.store.Backup()
	time.AfterFunc(time.Duration(s.rng.Int64N(int64(maxBackupAge))), func() {
		s.store.SetDown(true)
		s.storeProxy.Reset()
		time.Sleep(restoreOutage)
		s.store.Restore()
		s.store.SetDown(false)
	})
}

// injectFaults injects random faults until the given time and counts them in result.
func (s *Soak) injectFaults(result *Result, until time.Time) {
	faults := faults
	if s.options.SyncReplicas > 0 {
		faults = slices.Concat(faults, waitingFaults)
	}
	for time.Now().Before(until) {
		time.Sleep(minFaultPause + time.Duration(s.rng.Int64N(int64(maxFaultPause-minFaultPause))))
		f := faults[s.rng.IntN(len(faults))]
		result.Faults[f.name]++
		f.do(s)
		if s.rng.IntN(healOneIn) == 0 {
			s.heal()
		}
	}
}
