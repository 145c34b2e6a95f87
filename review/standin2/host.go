package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	graceS = 6
	// restartDelay is the "short delay" after which a process that ended is started again.
	restartDelay = time.Second
)

const settings = `protocol: statements
host: %q
availability_zone: "gelderland-a"
zones:
  "gelderland-a": "gelderland"
listen: "%s"
ready_listen: "%s"
metrics_listen: "%s"
peer_listen: "%s"
store: "%s"
promotions: "%s"
stop_timeout: %ds
memory_limit_mb: 206
platform_fencing: true
catch_up_timeout: 5000ms
`

// host is one entry host: a process, which is started again when it has ended.
type host struct {
	name, front, ready string
	folder             string

	mu      sync.Mutex
	command *exec.Cmd
	// launchedAt is when the present process was started, and stopping is true once it
	// got SIGTERM.
	launchedAt time.Time
	stopping   bool
	// signalled holds the times of the SIGTERMs.
	signalled []time.Time
	ended     bool
	exits     []string
	running   sync.WaitGroup
}

// nextPort is the next port to try for a host. These ports lie below those that systems
// give to outgoing connections, so a port stays free while its host is started again.
var nextPort = 20000 + rand.N(8000)

// freeAddress returns a loopback address with a port that is free now.
func freeAddress() string {
	for ; ; nextPort++ {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", nextPort))
		if err != nil {
			continue
		}
		defer ln.Close()
		nextPort++
		return ln.Addr().String()
	}
}

func newHost(name, folder, store, promotions string) (*host, error) {
	h := &host{name: name, front: freeAddress(), ready: freeAddress(), folder: folder}
	text := fmt.Sprintf(settings, name, h.front, h.ready, freeAddress(), freeAddress(), store, promotions, graceS)
	return h, os.WriteFile(filepath.Join(folder, name+".yaml"), []byte(text), 0o600)
}

// launch starts the process with the command of the deploy file.
func (h *host) launch(log io.Writer) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.command = exec.Command("target/gypsumgap")
	h.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GYPSUMGAP_CONFIG=" + filepath.Join(h.folder, h.name+".yaml")}
	h.command.Stdout, h.command.Stderr = log, log
	h.launchedAt, h.stopping = time.Now(), false
	return h.command.Start()
}

func (h *host) start() error {
	log, err := os.Create(filepath.Join(h.folder, h.name+".log"))
	if err != nil {
		return err
	}
	if err := h.launch(log); err != nil {
		return err
	}
	h.running.Go(func() {
		defer log.Close()
		for {
			_ = h.command.Wait()
			h.mu.Lock()
			h.exits = append(h.exits, h.command.ProcessState.String())
			ended := h.ended
			h.mu.Unlock()
			if ended {
				return
			}
			time.Sleep(restartDelay)
			h.mu.Lock()
			ended = h.ended
			h.mu.Unlock()
			if ended || h.launch(log) != nil {
				return
			}
		}
	})
	return nil
}

// minRun is how long a process runs before it is stopped.
const minRun = time.Second

// stop sends SIGTERM, and SIGKILL after graceS, as the platform does. It does nothing
// while the host is stopping or starting.
func (h *host) stop() {
	h.mu.Lock()
	if h.stopping || time.Since(h.launchedAt) < minRun {
		h.mu.Unlock()
		return
	}
	h.stopping = true
	process, n := h.command.Process, len(h.exits)
	h.signalled = append(h.signalled, time.Now())
	h.mu.Unlock()
	_ = process.Signal(syscall.SIGTERM)
	time.AfterFunc(graceS*time.Second, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		if len(h.exits) == n {
			_ = process.Kill()
		}
	})
}

// stoppedAt returns the time of the last SIGTERM before a time; zero if there was none.
func (h *host) stoppedAt(before time.Time) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	var last time.Time
	for _, at := range h.signalled {
		if at.Before(before) {
			last = at
		}
	}
	return last
}

// end kills the process for good.
func (h *host) end() {
	h.mu.Lock()
	h.ended = true
	process := h.command.Process
	h.mu.Unlock()
	_ = process.Kill()
	h.running.Wait()
}

// balancer selects hosts as the platform does.
type balancer struct {
	hosts []*host
	mu    sync.Mutex
	// misses counts the readiness checks in a row without a 200, by host.
	misses map[*host]int
}

func (b *balancer) run(done <-chan struct{}) {
	client := &http.Client{Timeout: 900 * time.Millisecond}
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		for _, h := range b.hosts {
			go func() {
				response, err := client.Get("http://" + h.ready + "/readiness")
				ok := err == nil && response.StatusCode == http.StatusOK
				if err == nil {
					_ = response.Body.Close()
				}
				b.mu.Lock()
				defer b.mu.Unlock()
				b.misses[h]++
				if ok {
					b.misses[h] = 0
				}
			}()
		}
		select {
		case <-ticker.C:
		case <-done:
			return
		}
	}
}

// choose returns the host for a new connection: "After two misses the node receives no
// new connections until it responds with 200 again. If fewer than half of a zone's nodes
// are in rotation, the platform uses all of that zone's nodes."
func (b *balancer) choose(client int) *host {
	b.mu.Lock()
	defer b.mu.Unlock()
	var in []*host
	for _, h := range b.hosts {
		if b.misses[h] < 2 {
			in = append(in, h)
		}
	}
	if 2*len(in) < len(b.hosts) {
		in = b.hosts
	}
	return in[client%len(in)]
}
