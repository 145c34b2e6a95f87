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

// freeAddress returns an address with a port that is free now.
func freeAddress(ip string) string {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		panic(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

func newHost(folder, name, zone, ip, store, cloud string, rec *record) *host {
	h := &host{name: name, zone: zone, ip: ip, listen: freeAddress(ip), ready: freeAddress(ip), record: rec,
		settings: filepath.Join(folder, name+".yaml"), logFile: filepath.Join(folder, name+".log")}
	text := fmt.Sprintf(settingsText, name, zone, h.listen, h.ready, freeAddress(ip), freeAddress(ip), store, cloud)
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
