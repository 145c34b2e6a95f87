package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/core/group/pgcontrol"
	"github.com/gypsumgap/gypsumgap/standin/dbgroup"
	"github.com/gypsumgap/gypsumgap/standin/load"
)

const (
	startTimeout = 15 * time.Second
	pollInterval = 50 * time.Millisecond
	// stopTimeout is longer than the drain timeout in the hosts' settings (5 s).
	stopTimeout = 8 * time.Second
	// loadBeforeFault and loadAfterFault are the durations of undisturbed load
	// before and after the faults of the scenario.
	loadBeforeFault = 4 * time.Second
	loadAfterFault  = 8 * time.Second
	// checkTimeout limits reading back the writes of one database.
	checkTimeout = 5 * time.Second
	sessions     = 8
	statusPages  = 4
	callerPause  = 5 * time.Millisecond
	// callerTimeout is the time after which a caller abandons an operation or a
	// connection attempt.
	callerTimeout = 3 * time.Second
)

// Options configures a demo.
type Options struct {
	// Bin is the folder that holds the built programs.
	Bin string
	// Logs receives the output of all processes.
	Logs io.Writer
	// Seed seeds the random choices of the callers.
	Seed uint64
	// Profiles is a folder to which goroutine dumps of all hosts are written if no
	// write was acknowledged for 1.5 s; empty for none.
	Profiles string
	// Scenario selects the faults to inject.
	Scenario Scenario
}

// Run runs the demo and returns its summary. It stops all processes that it started
// before it returns, even if ctx ends early.
func Run(ctx context.Context, o Options) (*Summary, error) {
	dir, err := os.MkdirTemp("", "gypsumgap-demo-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	l, err := newLayout(dir)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p := &processes{bin: o.Bin, logs: &lockedWriter{w: o.Logs}}
	defer p.stop()
	if err := start(ctx, p, l); err != nil {
		return nil, err
	}
	runs, err := startLoads(ctx, l, o.Seed)
	if err != nil {
		return nil, err
	}
	if o.Profiles != "" {
		go dumpWhenStalled(ctx, l, runs, o.Profiles)
	}
	bed := &testbed{layout: l, processes: p, admin: dbgroup.AdminClient{URL: "http://" + l.groupsAdmin}}
	scenarioErr := o.Scenario.inject(ctx, bed)
	for _, r := range runs {
		r.stop()
	}
	if scenarioErr != nil {
		return nil, scenarioErr
	}
	return summarise(l, runs)
}

func start(ctx context.Context, p *processes, l *layout) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := p.start("gypsumgap-standin", l.standinFile, "--platform-listen", l.platform, "--hosts", l.hostListFile); err != nil {
		return err
	}
	for _, h := range l.hosts {
		if err := p.startHost(h); err != nil {
			return err
		}
	}
	if err := waitHTTP(ctx, "http://"+l.platform+"/v1/hosts"); err != nil {
		return err
	}
	if err := p.run(ctx, "gypsumctl", "apply", l.configurationFolder, "--platform", "http://"+l.platform); err != nil {
		return err
	}
	for _, h := range l.hosts {
		if err := waitHTTP(ctx, "http://"+h.admin+"/readyz"); err != nil {
			return err
		}
	}
	return nil
}

// loadRun is a running load on one database.
type loadRun struct {
	deployment deployment
	record     *load.Record
	cancel     context.CancelFunc
	wait       func()
}

func (r loadRun) stop() {
	r.cancel()
	r.wait()
}

func startLoads(ctx context.Context, l *layout, seed uint64) (runs []loadRun, err error) {
	defer func() {
		if err != nil {
			for _, r := range runs {
				r.stop()
			}
		}
	}()
	healthChecks := newBalancer(l)
	go healthChecks.run(ctx)
	var addresses []string
	for _, h := range l.hosts {
		addresses = append(addresses, h.listen)
	}
	for _, dep := range deployments {
		loadCtx, cancel := context.WithCancel(ctx)
		record, wait, err := load.Start(loadCtx, load.Options{
			Addresses: addresses, Database: dep.database, User: dep.caller, Password: callerPassword,
			Run: "demo", Sessions: sessions, StatusPages: statusPages, ReadClass: "own-read",
			Pause: callerPause, Seed: seed, Timeout: callerTimeout, Proxied: true, Healthy: healthChecks.healthy,
		})
		if err != nil {
			cancel()
			return runs, err
		}
		runs = append(runs, loadRun{dep, record, cancel, wait})
	}
	return runs, nil
}

// findPrimary returns the index of a database's primary among its slots.
func (l *layout) findPrimary(ctx context.Context, database string) (int, error) {
	client := pgcontrol.New(pgcontrol.Options{})
	defer client.Close()
	slot, err := load.FindPrimary(ctx, client, l.slots[database])
	if err != nil {
		return 0, fmt.Errorf("find primary of %s: %w", database, err)
	}
	return slices.IndexFunc(l.slots[database], func(s group.Slot) bool { return s.ID == slot.ID }), nil
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-time.After(d):
		return nil
	}
}

func waitHTTP(ctx context.Context, url string) error {
	for {
		resp, err := http.Get(url)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
			err = fmt.Errorf("status %s", resp.Status)
		}
		if sleep(ctx, pollInterval) != nil {
			return fmt.Errorf("wait for %s: %w", url, err)
		}
	}
}

// processes holds the processes that the demo started. The first one is the
// stand-in.
type processes struct {
	bin     string
	logs    io.Writer
	running []*exec.Cmd
	// hosts holds the gypsumgap processes in the order of the layout; the entry of
	// a killed process is nil until its restart.
	hosts []*exec.Cmd
}

func (p *processes) command(name string, args ...string) *exec.Cmd {
	cmd := exec.Command(filepath.Join(p.bin, name), args...)
	cmd.Stdout = p.logs
	cmd.Stderr = p.logs
	// With its own process group, the process does not receive the SIGINT of
	// Ctrl-C, so that the demo can stop the processes in order.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	return cmd
}

func (p *processes) start(name string, args ...string) error {
	cmd := p.command(name, args...)
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", name, err)
	}
	p.running = append(p.running, cmd)
	return nil
}

func (p *processes) startHost(h hostLayout) error {
	if err := p.start("gypsumgap", "--settings", h.settings); err != nil {
		return err
	}
	p.hosts = append(p.hosts, p.running[len(p.running)-1])
	return nil
}

func (p *processes) run(ctx context.Context, name string, args ...string) error {
	cmd := p.command(name, args...)
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", name, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = cmd.Process.Kill() })
	defer stop()
	if err := cmd.Wait(); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// remove removes an exited process from the running ones.
func (p *processes) remove(cmd *exec.Cmd) {
	p.running = slices.DeleteFunc(p.running, func(c *exec.Cmd) bool { return c == cmd })
}

// stop stops the hosts and then the stand-in, so that the hosts can drain while the
// stand-in still runs.
func (p *processes) stop() {
	if len(p.running) == 0 {
		return
	}
	var hosts sync.WaitGroup
	for _, cmd := range p.running[1:] {
		hosts.Go(func() { terminate(cmd) })
	}
	hosts.Wait()
	terminate(p.running[0])
	p.running = nil
}

func terminate(cmd *exec.Cmd) {
	_ = cmd.Process.Signal(syscall.SIGTERM)
	timer := time.AfterFunc(stopTimeout, func() { _ = cmd.Process.Kill() })
	defer timer.Stop()
	_ = cmd.Wait()
}

type lockedWriter struct {
	mu sync.Mutex
	w  io.Writer
}

func (l *lockedWriter) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Write(b)
}
