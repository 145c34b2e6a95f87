package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/gypsumgap/gypsumgap/core/config"
	"github.com/gypsumgap/gypsumgap/standin/dbgroup"
	"github.com/gypsumgap/gypsumgap/standin/platform"
)

// Scenario is the name of a sequence of faults that a demo injects.
type Scenario string

// scenarios maps each name to the function that injects its faults. Load runs without
// new faults before and after each scenario.
var scenarios = map[Scenario]func(context.Context, *testbed) error{
	"kill":          killPrimaries,
	"kill-twice":    killPrimariesTwice,
	"freeze":        freezePrimaries,
	"short-freeze":  freezePrimariesBriefly,
	"cut":           cutPrimaries,
	"silent":        silenceConnections,
	"lag":           delayReplicas,
	"leaving":       markPrimariesLeaving,
	"switchover":    switchOverPrimaries,
	"store-down":    killPrimariesWithoutStore,
	"store-slow":    killPrimariesWithSlowStore,
	"host-kill":     killHosts,
	"host-pause":    pauseHosts,
	"host-drain":    drainHosts,
	"apply-race":    raceApplies,
	"kill-and-host": killPrimaryAndOwner,
}

// Scenarios returns the names of all scenarios in alphabetical order.
func Scenarios() []string {
	var names []string
	for s := range scenarios {
		names = append(names, string(s))
	}
	slices.Sort(names)
	return names
}

// UnmarshalText parses the name of a scenario. It returns an error for an unknown
// name.
func (s *Scenario) UnmarshalText(text []byte) error {
	if _, ok := scenarios[Scenario(text)]; !ok {
		return fmt.Errorf("unknown scenario %q; known are %s", text, strings.Join(Scenarios(), ", "))
	}
	*s = Scenario(text)
	return nil
}

func (s Scenario) inject(ctx context.Context, b *testbed) error {
	if err := sleep(ctx, loadBeforeFault); err != nil {
		return err
	}
	if err := scenarios[s](ctx, b); err != nil {
		return fmt.Errorf("scenario %s: %w", s, err)
	}
	return sleep(ctx, loadAfterFault)
}

const (
	// betweenFaults is the time for which the system recovers after a fault.
	betweenFaults = 4 * time.Second
	// briefFreeze is shorter than the failure detection time, 3 probes at 250 ms.
	briefFreeze = 300 * time.Millisecond
	longFreeze  = 5 * time.Second
	// hostPause is longer than the other hosts need to declare a host dead.
	hostPause = 8 * time.Second
)

// testbed holds the running system on which faults act.
type testbed struct {
	layout    *layout
	processes *processes
	admin     dbgroup.AdminClient
}

// faultPrimaries sets faults on the primary of each database, one after the other.
// The returned function sets other faults on the same slots.
func (b *testbed) faultPrimaries(ctx context.Context, faults dbgroup.Faults) (undo func(dbgroup.Faults) error, err error) {
	var setters []func(dbgroup.Faults) error
	for _, dep := range deployments {
		i, err := b.layout.findPrimary(ctx, dep.database)
		if err != nil {
			return nil, err
		}
		set := func(f dbgroup.Faults) error {
			_, err := b.admin.SetFaults(ctx, dep.database, i, f)
			return err
		}
		if err := set(faults); err != nil {
			return nil, err
		}
		setters = append(setters, set)
		if err := sleep(ctx, betweenFaults); err != nil {
			return nil, err
		}
	}
	return func(f dbgroup.Faults) error {
		var errs []error
		for _, set := range setters {
			errs = append(errs, set(f))
		}
		return errors.Join(errs...)
	}, nil
}

func boolPtr(v bool) *bool { return &v }

func killPrimaries(ctx context.Context, b *testbed) error {
	undo, err := b.faultPrimaries(ctx, dbgroup.Faults{Killed: boolPtr(true)})
	if err != nil {
		return err
	}
	// The logs of the former primaries may hold records that were never replicated.
	return undo(dbgroup.Faults{Killed: boolPtr(false)})
}

func killPrimariesTwice(ctx context.Context, b *testbed) error {
	if err := killPrimaries(ctx, b); err != nil {
		return err
	}
	if err := sleep(ctx, betweenFaults); err != nil {
		return err
	}
	return killPrimaries(ctx, b)
}

func freezePrimaries(ctx context.Context, b *testbed) error {
	undo, err := b.faultPrimaries(ctx, dbgroup.Faults{Frozen: boolPtr(true)})
	if err != nil {
		return err
	}
	return undo(dbgroup.Faults{Frozen: boolPtr(false)})
}

// freezePrimariesBriefly freezes each primary for less than the failure detection time
// and returns an error if that causes a failover.
func freezePrimariesBriefly(ctx context.Context, b *testbed) error {
	for _, dep := range deployments {
		i, err := b.layout.findPrimary(ctx, dep.database)
		if err != nil {
			return err
		}
		if _, err := b.admin.SetFaults(ctx, dep.database, i, dbgroup.Faults{Frozen: boolPtr(true)}); err != nil {
			return err
		}
		if err := sleep(ctx, briefFreeze); err != nil {
			return err
		}
		if _, err := b.admin.SetFaults(ctx, dep.database, i, dbgroup.Faults{Frozen: boolPtr(false)}); err != nil {
			return err
		}
		after, err := b.layout.findPrimary(ctx, dep.database)
		if err != nil {
			return err
		}
		if after != i {
			return fmt.Errorf("a freeze of %s caused a failover of %s", briefFreeze, dep.database)
		}
	}
	return nil
}

// cutPrimaries partitions each primary from its replicas, but not from the hosts, so
// that it still considers itself primary.
func cutPrimaries(ctx context.Context, b *testbed) error {
	for _, dep := range deployments {
		i, err := b.layout.findPrimary(ctx, dep.database)
		if err != nil {
			return err
		}
		var others []int
		for s := range dep.slots {
			if s != i {
				others = append(others, s)
			}
		}
		if _, err := b.admin.SetFaults(ctx, dep.database, i, dbgroup.Faults{CutSlots: &others}); err != nil {
			return err
		}
		if err := sleep(ctx, betweenFaults+longFreeze); err != nil {
			return err
		}
		if _, err := b.admin.SetFaults(ctx, dep.database, i, dbgroup.Faults{CutSlots: &[]int{}}); err != nil {
			return err
		}
	}
	return nil
}

// silenceConnections makes the open connections of each primary silent. New connections
// work.
func silenceConnections(ctx context.Context, b *testbed) error {
	_, err := b.faultPrimaries(ctx, dbgroup.Faults{SilenceConnections: boolPtr(true)})
	return err
}

// faultReplicas sets faults on all replicas of all databases.
func (b *testbed) faultReplicas(ctx context.Context, f dbgroup.Faults) error {
	for _, dep := range deployments {
		i, err := b.layout.findPrimary(ctx, dep.database)
		if err != nil {
			return err
		}
		for s := range dep.slots {
			if s == i {
				continue
			}
			if _, err := b.admin.SetFaults(ctx, dep.database, s, f); err != nil {
				return err
			}
		}
	}
	return nil
}

func (b *testbed) setLag(ctx context.Context, lag time.Duration) error {
	text := config.Duration(lag).String()
	var f dbgroup.Faults
	if err := json.Unmarshal([]byte(`{"apply_lag":"`+text+`"}`), &f); err != nil {
		return err
	}
	return b.faultReplicas(ctx, f)
}

// delayReplicas makes all replicas apply records 3 s late for a while.
func delayReplicas(ctx context.Context, b *testbed) error {
	const lag = 3 * time.Second
	if err := b.setLag(ctx, lag); err != nil {
		return err
	}
	if err := sleep(ctx, 2*lag); err != nil {
		return err
	}
	return b.setLag(ctx, 0)
}

// markPrimariesLeaving makes each primary report that it is about to stop.
func markPrimariesLeaving(ctx context.Context, b *testbed) error {
	_, err := b.faultPrimaries(ctx, dbgroup.Faults{Leaving: boolPtr(true)})
	return err
}

func switchOverPrimaries(ctx context.Context, b *testbed) error {
	for _, dep := range deployments {
		if err := b.gypsumctl(ctx, "switchover", dep.database); err != nil {
			return err
		}
		if err := sleep(ctx, betweenFaults); err != nil {
			return err
		}
	}
	return nil
}

func (b *testbed) gypsumctl(ctx context.Context, args ...string) error {
	return b.processes.run(ctx, "gypsumctl", append(args, "--platform", "http://"+b.layout.platform)...)
}

// setStoreFaults sets the faults of the platform stand-in.
func (b *testbed) setStoreFaults(ctx context.Context, f platform.Faults) error {
	body, err := json.Marshal(f)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+b.layout.platform+"/admin/faults", bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("set faults of the platform stand-in: status %s", resp.Status)
	}
	return nil
}

func killPrimariesWithoutStore(ctx context.Context, b *testbed) error {
	if err := b.setStoreFaults(ctx, platform.Faults{Down: true}); err != nil {
		return err
	}
	if err := killPrimaries(ctx, b); err != nil {
		return err
	}
	return b.setStoreFaults(ctx, platform.Faults{})
}

func killPrimariesWithSlowStore(ctx context.Context, b *testbed) error {
	const delay = 3 * time.Second
	if err := b.setStoreFaults(ctx, platform.Faults{Delay: config.Duration(delay)}); err != nil {
		return err
	}
	if err := killPrimaries(ctx, b); err != nil {
		return err
	}
	return b.setStoreFaults(ctx, platform.Faults{})
}

// findOwner returns the index of the first owner of a database among the running hosts.
func (b *testbed) findOwner(ctx context.Context, database string) (int, error) {
	var errs []error
	for i, h := range b.layout.hosts {
		if b.processes.hosts[i] == nil {
			continue
		}
		rank, ok, err := ownerRank(ctx, h, database)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		if ok && rank == 0 {
			return i, nil
		}
	}
	return 0, errors.Join(append(errs, fmt.Errorf("no host owns %s", database))...)
}

// killHosts kills the first owner of each database while transactions are open, and
// later restarts it.
func killHosts(ctx context.Context, b *testbed) error {
	for _, dep := range deployments {
		i, err := b.findOwner(ctx, dep.database)
		if err != nil {
			return err
		}
		if err := b.killHost(i); err != nil {
			return err
		}
		if err := sleep(ctx, betweenFaults); err != nil {
			return err
		}
		if err := b.restartHost(ctx, i); err != nil {
			return err
		}
	}
	return sleep(ctx, betweenFaults)
}

func (b *testbed) killHost(host int) error {
	cmd := b.processes.hosts[host]
	if err := cmd.Process.Kill(); err != nil {
		return err
	}
	_ = cmd.Wait()
	b.processes.remove(cmd)
	b.processes.hosts[host] = nil
	return nil
}

// restartHost starts a host again and waits until it is ready.
func (b *testbed) restartHost(ctx context.Context, host int) error {
	h := b.layout.hosts[host]
	if err := b.processes.start("gypsumgap", "--settings", h.settings); err != nil {
		return err
	}
	b.processes.hosts[host] = b.processes.running[len(b.processes.running)-1]
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return waitHTTP(ctx, "http://"+h.admin+"/readyz")
}

// pauseHosts suspends the first owner of each database until the other hosts have
// declared it dead, and then resumes it.
func pauseHosts(ctx context.Context, b *testbed) error {
	for _, dep := range deployments {
		i, err := b.findOwner(ctx, dep.database)
		if err != nil {
			return err
		}
		if err := b.processes.hosts[i].Process.Signal(syscall.SIGSTOP); err != nil {
			return err
		}
		err = sleep(ctx, hostPause)
		if err := errors.Join(err, b.processes.hosts[i].Process.Signal(syscall.SIGCONT)); err != nil {
			return err
		}
	}
	return nil
}

// drainHosts shuts the first owner of each database down gracefully and restarts it.
func drainHosts(ctx context.Context, b *testbed) error {
	for _, dep := range deployments {
		i, err := b.findOwner(ctx, dep.database)
		if err != nil {
			return err
		}
		cmd := b.processes.hosts[i]
		terminate(cmd)
		b.processes.remove(cmd)
		if err := b.restartHost(ctx, i); err != nil {
			return err
		}
		if err := sleep(ctx, betweenFaults); err != nil {
			return err
		}
	}
	return nil
}

// killPrimaryAndOwner kills a primary and, at the same time, the host that would
// promote its successor.
func killPrimaryAndOwner(ctx context.Context, b *testbed) error {
	dep := deployments[0]
	slot, err := b.layout.findPrimary(ctx, dep.database)
	if err != nil {
		return err
	}
	host, err := b.findOwner(ctx, dep.database)
	if err != nil {
		return err
	}
	if _, err := b.admin.SetFaults(ctx, dep.database, slot, dbgroup.Faults{Killed: boolPtr(true)}); err != nil {
		return err
	}
	if err := b.killHost(host); err != nil {
		return err
	}
	if err := sleep(ctx, 2*betweenFaults); err != nil {
		return err
	}
	return b.restartHost(ctx, host)
}

// raceApplies runs two applies of different configuration folders at the same time
// while the store loses one answer. At least one must succeed, and a failed one must
// exit with status 1, which reports a conflict.
func raceApplies(ctx context.Context, b *testbed) error {
	var folders []string
	for i, timeout := range []string{"4s", "6s"} {
		folder, err := b.writeVariant(i, timeout)
		if err != nil {
			return err
		}
		folders = append(folders, folder)
	}
	if err := b.setStoreFaults(ctx, platform.Faults{LoseResponses: 1}); err != nil {
		return err
	}
	results := make(chan error, len(folders))
	for _, folder := range folders {
		go func() { results <- b.gypsumctl(ctx, "apply", folder) }()
	}
	applied := 0
	for range folders {
		err := <-results
		var exit *exec.ExitError
		switch {
		case err == nil:
			applied++
		case errors.As(err, &exit) && exit.ExitCode() == 1:
			// The other operator's change was applied first.
		default:
			return err
		}
	}
	if applied == 0 {
		return errors.New("neither of the concurrent applies succeeded")
	}
	return nil
}

// writeVariant copies the configuration folder and changes the commit timeout of a
// service in the copy.
func (b *testbed) writeVariant(n int, timeout string) (string, error) {
	folder := filepath.Join(b.layout.dir, fmt.Sprintf("variant-%d", n))
	if err := os.CopyFS(folder, os.DirFS(b.layout.configurationFolder)); err != nil {
		return "", err
	}
	text := fmt.Sprintf("services:\n  %s:\n    commit_timeout: %s\n", deployments[0].service, timeout)
	return folder, os.WriteFile(filepath.Join(folder, "99-variant.yaml"), []byte(text), 0o600)
}
