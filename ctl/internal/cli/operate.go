package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/gypsumgap/gypsumgap/core/peerapi"
)

// readBackInterval is the interval between reads of the hosts' status to find the
// outcome of a switchover whose response was lost.
const readBackInterval = 500 * time.Millisecond

type switchoverCommand struct {
	Database string `arg:"positional,required" help:"database whose primary is changed"`
	To       string `arg:"--to" placeholder:"SLOT" help:"slot to promote; by default the host chooses one"`
	hostOptions
}

func (*switchoverCommand) example() string {
	return "gypsumctl switchover werkplaats-1-a --to werkplaats-1-a/2 --platform http://127.0.0.1:5000"
}

// switchoverReport is the result of a planned switchover.
type switchoverReport struct {
	Database string `json:"database"`
	Host     string `json:"host"`
	Term     uint64 `json:"term"`
	Primary  string `json:"primary"`
	// PausedMillis is the time for which writes were paused, in milliseconds, or 0
	// if the response was lost.
	PausedMillis uint64 `json:"paused_ms"`
	// ReadBack reports whether the response was lost and the outcome was read from
	// the hosts' status.
	ReadBack bool `json:"settled,omitempty"`
}

func (r *switchoverReport) writeText(w io.Writer) {
	if r.ReadBack {
		fmt.Fprintf(w, "%s: %s is primary in term %d (read back after the response was lost)\n", r.Database, r.Primary, r.Term)
		return
	}
	fmt.Fprintf(w, "%s: %s is primary in term %d; writes waited %d ms\n", r.Database, r.Primary, r.Term, r.PausedMillis)
}

func (cmd *switchoverCommand) run(ctx context.Context, c *invocation) (report, error) {
	targets, err := cmd.targets(ctx, c)
	if err != nil {
		return nil, err
	}
	o, err := cmd.findOwner(ctx, targets)
	if err != nil {
		return nil, err
	}
	h := &hostClient{host: o.host.target}
	req := &peerapi.SwitchoverRequest{Database: cmd.Database, ToSlot: cmd.To}
	answer, err := h.operatorClient().Switchover(ctx, req)
	if err := h.classifyError(err); err != nil {
		if errors.Is(err, errOutcomeUnknown) {
			return cmd.readBack(ctx, targets, o, err)
		}
		return nil, err
	}
	return &switchoverReport{
		Database:     cmd.Database,
		Host:         o.host.answer.Host,
		Term:         answer.Term,
		Primary:      answer.PrimarySlot,
		PausedMillis: answer.PausedMs,
	}, nil
}

// findOwner returns the owner of the database with the lowest rank among the hosts
// that answer.
func (cmd *switchoverCommand) findOwner(ctx context.Context, targets []target) (databaseOwner, error) {
	hosts, err := requestStatuses(ctx, targets, "")
	if err != nil {
		return databaseOwner{}, err
	}
	for _, o := range firstOwners(hosts) {
		if o.database.Database == cmd.Database {
			return o, nil
		}
	}
	return databaseOwner{}, fmt.Errorf("none of the hosts that answered owns database %q", cmd.Database)
}

// readBack polls the hosts' status for the outcome of a switchover whose response was
// lost. The switchover has succeeded if the term is higher than before and the primary
// is the requested slot, if one was requested. If the context ends first, readBack
// returns cause, the error of the switchover request.
func (cmd *switchoverCommand) readBack(ctx context.Context, targets []target, before databaseOwner, cause error) (report, error) {
	for {
		select {
		case <-ctx.Done():
			return nil, cause
		case <-time.After(readBackInterval):
		}
		now, err := cmd.findOwner(ctx, targets)
		if err != nil || now.database.Term <= before.database.Term || now.database.PrimarySlot == "" {
			continue
		}
		if cmd.To != "" && now.database.PrimarySlot != cmd.To {
			return nil, fmt.Errorf("%w; term %d has primary %s", cause, now.database.Term, now.database.PrimarySlot)
		}
		return &switchoverReport{
			Database: cmd.Database,
			Host:     now.host.answer.Host,
			Term:     now.database.Term,
			Primary:  now.database.PrimarySlot,
			ReadBack: true,
		}, nil
	}
}

type drainCommand struct {
	Host string        `arg:"positional,required" help:"name of a host in the platform's list, or its peer address host:port"`
	Wait time.Duration `arg:"--wait" placeholder:"DURATION" help:"time after which running transactions are terminated, in whole seconds; default: the setting of the host"`
}

func (*drainCommand) example() string {
	return "gypsumctl drain e7 --wait 60s --platform http://127.0.0.1:5000"
}

// drainReport is the result of a drain request. Running is the number of transactions
// that are still running.
type drainReport struct {
	Host    string `json:"host"`
	Running uint32 `json:"running"`
}

func (r *drainReport) writeText(w io.Writer) {
	fmt.Fprintf(w, "host %s is draining: %s running\n", r.Host, formatCount(int(r.Running), "transaction"))
}

func (cmd *drainCommand) run(ctx context.Context, c *invocation) (report, error) {
	if cmd.Wait < 0 || cmd.Wait%time.Second != 0 {
		return nil, &commandLineError{"--wait must be a whole number of seconds, such as 60s"}
	}
	t, err := cmd.target(ctx, c)
	if err != nil {
		return nil, err
	}
	h := &hostClient{host: t}
	answer, err := h.operatorClient().Drain(ctx, &peerapi.DrainRequest{TimeoutSeconds: uint32(cmd.Wait / time.Second)})
	if err := h.classifyError(err); err != nil {
		return nil, err
	}
	return &drainReport{Host: t.name, Running: answer.Running}, nil
}

func (cmd *drainCommand) target(ctx context.Context, c *invocation) (target, error) {
	if strings.Contains(cmd.Host, ":") {
		return target{name: cmd.Host, address: cmd.Host}, nil
	}
	hosts, err := c.platformHosts(ctx)
	if err != nil {
		return target{}, err
	}
	for _, h := range hosts {
		if h.Name == cmd.Host {
			return target{name: h.Name, address: h.Address}, nil
		}
	}
	return target{}, fmt.Errorf("host list of the platform has no host %q", cmd.Host)
}
