package fleet

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Process supervises a gypsumgap process and restarts it when it exits. Its
// methods are safe for concurrent use after Start.
type Process struct {
	// Zone is the availability zone.
	Name, IP, Zone string
	timing         timing
	binary         string
	settings       string
	log            *os.File

	mu       sync.Mutex
	command  *exec.Cmd
	exited   chan struct{}
	stopping bool
	// launchErr is the error of a restart that failed; nil if there was none.
	launchErr error
	// ending is the signal that the running process was told to end with; zero if none.
	// ownEnds describes each end without such a signal, and each end with SIGTERM whose
	// exit status was not zero.
	ending  syscall.Signal
	ownEnds []string
	// launchedAt is the start of the running process, and stops are the times of its
	// planned stops.
	launchedAt time.Time
	stops      []time.Time
	// logOffset is the length of the log at the start of the running process.
	logOffset int64
	running   sync.WaitGroup
}

// Ports of a process. Each process has its own IP address.
const (
	callerPort  = 6432
	readyPort   = 8081
	metricsPort = 9100
	peerPort    = 8432
	// stopGrace is the time beyond the stop timeout that Stop waits before it kills the
	// process.
	stopGrace = 2 * time.Second
)

// timing holds the timing of the platform that runs a process.
type timing struct {
	// stopTimeout is the time limit of a process for its graceful shutdown.
	stopTimeout time.Duration
	// restartDelay is the time between the exit of a process and its restart.
	restartDelay time.Duration
}

const settingsText = `protocol: statements
host: %q
availability_zone: %q
zones: {zone-a: region-a, zone-b: region-a, zone-c: region-b}
listen: "%s:%d"
ready_listen: "%s:%d"
metrics_listen: "%s:%d"
peer_listen: "%s:%d"
store: %q
promotions: %q
stop_timeout: %s
catch_up_timeout: 5s
memory_limit_mb: 200
platform_fencing: %t
`

// NewProcess writes the settings of a process to a folder and creates its log file
// there. platformFencing is true if the platform stops replaced primaries. Start
// starts the process.
func NewProcess(binary, folder, name, ip, zone, store, promotions string, platformFencing bool, t timing) (*Process, error) {
	p := &Process{Name: name, IP: ip, Zone: zone, timing: t, binary: binary, settings: filepath.Join(folder, name+".yaml")}
	text := fmt.Sprintf(settingsText, name, zone, ip, callerPort, ip, readyPort, ip, metricsPort, ip, peerPort, store, promotions, t.stopTimeout, platformFencing)
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	log, err := os.Create(filepath.Join(folder, name+".log"))
	if err != nil {
		return nil, fmt.Errorf("create log: %w", err)
	}
	p.log = log
	return p, nil
}

// Address returns the host:port on which the process accepts callers.
func (p *Process) Address() string { return fmt.Sprintf("%s:%d", p.IP, callerPort) }

// Start starts the process and restarts it whenever it exits, until Stop is called or
// a restart fails.
func (p *Process) Start() error {
	if err := p.launch(); err != nil {
		return err
	}
	p.running.Go(func() {
		for {
			p.mu.Lock()
			command, exited := p.command, p.exited
			p.mu.Unlock()
			_ = command.Wait()
			p.recordEnd(command.ProcessState)
			close(exited)
			time.Sleep(p.timing.restartDelay)
			p.mu.Lock()
			stopping := p.stopping
			p.mu.Unlock()
			if stopping {
				return
			}
			if err := p.launch(); err != nil {
				p.mu.Lock()
				p.launchErr = err
				p.mu.Unlock()
				return
			}
		}
	})
	return nil
}

// Err returns the error of a restart that failed, after which the process is gone; nil
// if there was none.
func (p *Process) Err() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.launchErr
}

// recordEnd records an end of the process that no signal of the soak explains. A signal
// ends a process that has not set its handlers yet, which has served nobody.
func (p *Process) recordEnd(state *os.ProcessState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	status, _ := state.Sys().(syscall.WaitStatus)
	isEarly := (status.Signal() == syscall.SIGHUP || status.Signal() == syscall.SIGTERM) && !p.hasStarted()
	switch {
	case p.ending == syscall.SIGKILL, isEarly:
	case p.ending == syscall.SIGTERM && state.Success():
	default:
		p.ownEnds = append(p.ownEnds, state.String())
	}
}

// hasStarted reports whether the running process has logged that it accepts callers. mu
// must be held.
func (p *Process) hasStarted() bool {
	log, err := os.ReadFile(p.log.Name())
	return err == nil && int64(len(log)) > p.logOffset && bytes.Contains(log[p.logOffset:], []byte("event=started"))
}

// OwnEnds describes the ends of the process that no signal of the soak explains.
func (p *Process) OwnEnds() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.ownEnds)
}

func (p *Process) launch() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ending, p.launchedAt = 0, time.Now()
	if info, err := p.log.Stat(); err == nil {
		p.logOffset = info.Size()
	}
	p.command = exec.Command(p.binary, "--settings", p.settings)
	p.command.Stdout, p.command.Stderr = p.log, p.log
	p.exited = make(chan struct{})
	if err := p.command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	return nil
}

// Signal sends a signal to the running process.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM && p.ending == 0 {
		p.ending = s
	}
	_ = p.command.Process.Signal(s)
}

// stopAfter sends SIGTERM to a process that has run for the given time and is not
// stopping, and kills it if it has not ended within the stop timeout. It reports whether
// it did.
func (p *Process) stopAfter(runTime time.Duration) bool {
	p.mu.Lock()
	if p.ending != 0 || time.Since(p.launchedAt) < runTime {
		p.mu.Unlock()
		return false
	}
	p.stops = append(p.stops, time.Now())
	exited := p.exited
	p.mu.Unlock()
	p.Signal(syscall.SIGTERM)
	time.AfterFunc(p.timing.stopTimeout, func() {
		select {
		case <-exited:
		default:
			p.recordLateStop()
		}
	})
	return true
}

// isStopping reports whether the running process was told to end.
func (p *Process) isStopping() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ending != 0
}

// dumpTime is the time for a process to write the stacks of its goroutines.
const dumpTime = 200 * time.Millisecond

// recordLateStop makes a process that did not end within the stop timeout write its
// stacks to its log, and kills it.
func (p *Process) recordLateStop() {
	p.mu.Lock()
	p.ending = syscall.SIGKILL
	p.ownEnds = append(p.ownEnds, "killed after the stop timeout")
	p.mu.Unlock()
	p.Signal(syscall.SIGQUIT)
	time.Sleep(dumpTime)
	p.Signal(syscall.SIGKILL)
}

// stoppedBefore returns the time of the last planned stop before the given time; zero if
// there was none.
func (p *Process) stoppedBefore(at time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	var last time.Time
	for _, stop := range p.stops {
		if stop.Before(at) {
			last = stop
		}
	}
	return last
}

// checkMetrics returns an error if the process does not export the metrics of the
// statements that it answers.
func (p *Process) checkMetrics() error {
	response, err := http.Get(fmt.Sprintf("http://%s:%d/metrics", p.IP, metricsPort))
	if err != nil {
		return fmt.Errorf("metrics of %s: %w", p.Name, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("metrics of %s: %w", p.Name, err)
	}
	for _, name := range []string{"gypsumgap_statements{", "gypsumgap_statement_seconds_bucket{"} {
		if !strings.Contains(string(body), name) {
			return fmt.Errorf("metrics of %s lack %s", p.Name, name)
		}
	}
	return nil
}

// Stop shuts the process down without a restart. It kills the process and returns
// an error if the process does not exit in time.
func (p *Process) Stop() error {
	p.mu.Lock()
	p.stopping = true
	exited := p.exited
	p.mu.Unlock()
	p.Signal(syscall.SIGCONT)
	p.Signal(syscall.SIGTERM)
	defer func() {
		p.running.Wait()
		_ = p.log.Close()
	}()
	select {
	case <-exited:
		return nil
	case <-time.After(p.timing.stopTimeout + stopGrace):
		p.Signal(syscall.SIGKILL)
		return fmt.Errorf("%s did not stop within %s", p.Name, p.timing.stopTimeout+stopGrace)
	}
}
