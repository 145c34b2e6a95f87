package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// binary is the program that the deploy file builds and runs.
const binary = "target/gypsumgap"

// host is one entry host: a process of the project with its own loopback address.
type host struct {
	name, zone, ip    string
	listen, ready     string
	settings, logFile string
	mu                sync.Mutex
	command           *exec.Cmd
	exited            chan struct{}
	record            *record
}

const settingsText = `protocol: statements
host: %q
availability_zone: %q
zones: {randstad-a: randstad, randstad-b: randstad, gelderland-a: gelderland}
listen: %q
ready_listen: %q
metrics_listen: %q
peer_listen: %q
store: %q
promotions: %q
stop_timeout: 6s
memory_limit_mb: 206
platform_fencing: true
catch_up_timeout: 5000ms
`

// The ports of a host are below those that the system gives to outgoing connections, so
// that none is taken between the choice and the start of the process.
const (
	callerPort  = 6432
	readyPort   = 8081
	metricsPort = 9100
	peerPort    = 8432
)

// freeNetwork returns the second number of loopback addresses on which the ports of the
// hosts are free, so that cases may run side by side. It binds a port there to keep it.
func freeNetwork(hosts int) (network int, lock net.Listener, err error) {
	for try := range 200 {
		network = 20 + (os.Getpid()+try)%200
		lock, err = net.Listen("tcp", fmt.Sprintf("127.%d.250.1:7400", network))
		if err != nil {
			continue
		}
		if portsAreFree(network, hosts) {
			return network, lock, nil
		}
		_ = lock.Close()
	}
	return 0, nil, fmt.Errorf("no loopback network has free ports: %w", err)
}

func portsAreFree(network, hosts int) bool {
	for i := range hosts {
		for _, port := range []int{callerPort, readyPort, metricsPort, peerPort} {
			ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.7.%d:%d", network, i+1, port))
			if err != nil {
				return false
			}
			_ = ln.Close()
		}
	}
	return true
}

func newHost(folder, name, zone, ip, store, cloud string, rec *record) *host {
	at := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	h := &host{name: name, zone: zone, ip: ip, listen: at(callerPort), ready: at(readyPort), record: rec,
		settings: filepath.Join(folder, name+".yaml"), logFile: filepath.Join(folder, name+".log")}
	text := fmt.Sprintf(settingsText, name, zone, h.listen, h.ready, at(metricsPort), at(peerPort), store, cloud)
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		panic(err)
	}
	return h
}

func (h *host) addr() netip.Addr { return netip.MustParseAddr(h.ip) }

// start starts the process as the platform does: with the path of its settings file in a
// variable.
func (h *host) start() error {
	log, err := os.OpenFile(h.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.command = exec.Command(binary)
	h.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GYPSUMGAP_CONFIG=" + h.settings}
	h.command.Stdout, h.command.Stderr = log, log
	if err := h.command.Start(); err != nil {
		return err
	}
	h.exited = make(chan struct{})
	go func(c *exec.Cmd, exited chan struct{}) {
		_ = c.Wait()
		close(exited)
	}(h.command, h.exited)
	h.record.add("host", "%s started in %s", h.name, h.zone)
	return nil
}

func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.command.Process.Signal(s)
	h.record.add("host", "%s gets %s", h.name, s)
}

// kill ends the process and waits for its end.
func (h *host) kill() {
	h.mu.Lock()
	command, exited := h.command, h.exited
	h.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Signal(syscall.SIGCONT)
	_ = command.Process.Kill()
	<-exited
}

func (h *host) awaitReady(until time.Time) bool {
	client := http.Client{Timeout: time.Second}
	for time.Now().Before(until) {
		r, err := client.Get("http://" + h.ready + "/readiness")
		if err == nil {
			r.Body.Close()
			if r.StatusCode == http.StatusOK {
				return true
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// events copies the lines of the process's log with one of the events to the record.
func (h *host) events(names ...string) {
	data, err := os.ReadFile(h.logFile)
	if err != nil {
		return
	}
	lines := bufio.NewScanner(strings.NewReader(string(data)))
	for lines.Scan() {
		for _, name := range names {
			if strings.Contains(lines.Text(), "event="+name+" ") {
				h.record.raw("log of " + h.name + ": " + lines.Text())
			}
		}
	}
}
