package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// zoneRegions are the availability zones of the small deployment and their regions.
var zoneRegions = [][2]string{{"randstad-a", "randstad"}, {"gelderland-a", "gelderland"}, {"brabant-a", "brabant"}}

const (
	graceTime    = 6 * time.Second
	restartDelay = 400 * time.Millisecond
)

// host is a gypsumgap process. Like on the users' platform, it is started again
// after it has ended.
type host struct {
	name, ip, zone string
	front, ready   string
	binary, file   string
	log            *os.File
	mu             sync.Mutex
	command        *exec.Cmd
	stopping       bool
	ended          chan struct{}
	starts         int
	endedByItself  int
	signalled      bool
	record         *record
}

// freePorts returns free ports of an address.
func freePorts(ip string, n int) ([]int, error) {
	var out []int
	for range n {
		ln, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer ln.Close()
		out = append(out, ln.Addr().(*net.TCPAddr).Port)
	}
	return out, nil
}

// newHost writes the settings of a host, as deploy/settings.yaml.tmpl lays them out.
func newHost(binary, folder, name, ip, zone, storeAddress, cloudAddress string, fenced bool, r *record) (*host, error) {
	ports, err := freePorts(ip, 4)
	if err != nil {
		return nil, err
	}
	h := &host{name: name, ip: ip, zone: zone, binary: binary, record: r}
	h.front, h.ready = fmt.Sprintf("%s:%d", ip, ports[0]), fmt.Sprintf("%s:%d", ip, ports[1])
	var b strings.Builder
	fmt.Fprintf(&b, "protocol: statements\nhost: %q\navailability_zone: %q\nzones:\n", name, zone)
	for _, z := range zoneRegions {
		fmt.Fprintf(&b, "  %q: %q\n", z[0], z[1])
	}
	fmt.Fprintf(&b, "listen: %q\nready_listen: %q\nmetrics_listen: \"%s:%d\"\npeer_listen: \"%s:%d\"\n", h.front, h.ready, ip, ports[2], ip, ports[3])
	fmt.Fprintf(&b, "store: %q\npromotions: %q\nstop_timeout: %ds\nmemory_limit_mb: 206\nplatform_fencing: %t\ncatch_up_timeout: 5000ms\n",
		storeAddress, cloudAddress, int(graceTime.Seconds()), fenced)
	h.file = filepath.Join(folder, name+".conf")
	if err := os.WriteFile(h.file, []byte(b.String()), 0o600); err != nil {
		return nil, err
	}
	h.log, err = os.Create(filepath.Join(folder, name+".log"))
	return h, err
}

// start starts the process and keeps it running until stop.
func (h *host) start() error {
	h.ended = make(chan struct{})
	if err := h.launch(); err != nil {
		return err
	}
	go func() {
		defer close(h.ended)
		for {
			h.mu.Lock()
			command := h.command
			h.mu.Unlock()
			err := command.Wait()
			h.mu.Lock()
			stopping, signalled := h.stopping, h.signalled
			if !signalled {
				h.endedByItself++
			}
			h.signalled = false
			h.mu.Unlock()
			h.record.say("process of %s ended: %v", h.name, err)
			if stopping {
				return
			}
			time.Sleep(restartDelay)
			if h.launch() != nil {
				return
			}
		}
	}()
	return nil
}

func (h *host) launch() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopping {
		return os.ErrProcessDone
	}
	h.command = exec.Command(h.binary)
	h.command.Env = []string{"GYPSUMGAP_CONFIG=" + h.file, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C"}
	h.command.Stdout, h.command.Stderr = h.log, h.log
	h.starts++
	return h.command.Start()
}

// signal sends a signal to the process.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.signalled = h.signalled || s == syscall.SIGTERM || s == syscall.SIGKILL
	_ = h.command.Process.Signal(s)
}

// terminate sends SIGTERM and, after the grace time, SIGKILL.
func (h *host) terminate() {
	h.mu.Lock()
	process := h.command.Process
	h.signalled = true
	h.mu.Unlock()
	_ = process.Signal(syscall.SIGTERM)
	time.AfterFunc(graceTime, func() { _ = process.Signal(syscall.SIGKILL) })
}

// stop ends the process for good.
func (h *host) stop() {
	h.mu.Lock()
	h.stopping = true
	h.mu.Unlock()
	h.signal(syscall.SIGKILL)
	<-h.ended
	_ = h.log.Close()
}

// isReady asks the host for its readiness.
func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + h.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
