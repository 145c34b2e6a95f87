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

// readBackInterval is the interval at which a switchover whose answer was lost
// is looked up in the hosts' status.
const readBackInterval = 500 * time.Millisecond

type switchoverCommand struct {
	Database string `arg:"positional,required" help:"database whose primary is changed"`
	To       string `arg:"--to" placeholder:"SLOT" help:"slot to promote; without it the host chooses"`
	hostOptions
}

func (*switchoverCommand) example() string {
	return "gypsumctl switchover werkplaats-1-a --to werkplaats-1-a/2 --platform http://127.0.0.1:5000"
}

// switchoverReport is the outcome of a planned change of primary.
type switchoverReport struct {
	Database string `json:"database"`
	Host     string `json:"host"`
	Term     uint64 `json:"term"`
	Primary  string `json:"primary"`
	// PausedMillis is the time for which writes waited; 0 if the answer was lost.
	PausedMillis uint64 `json:"paused_ms"`
	// ReadBack says that the answer was lost and the outcome was read back.
	ReadBack bool `json:"settled,omitempty"`
}

func (r *switchoverReport) writeText(w io.Writer) {
	if r.ReadBack {
		fmt.Fprintf(w, "%s: %s is primary in term %d (read back after a lost answer)\n", r.Database, r.Primary, r.Term)
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

// findOwner finds the owner host of the database with the least rank.
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
	return databaseOwner{}, fmt.Errorf("no host that answered owns database %q", cmd.Database)
}

// readBack looks for the outcome of a switchover whose answer was lost: a
// greater term than before, and the wanted primary if there is one.
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
	Wait time.Duration `arg:"--wait" placeholder:"DURATION" help:"time after which running transactions are ended, in whole seconds; without it the host's setting"`
}

func (*drainCommand) example() string {
	return "gypsumctl drain e7 --wait 60s --platform http://127.0.0.1:5000"
}

// drainReport is the outcome of a request to drain.
type drainReport struct {
	Host    string `json:"host"`
	Running uint32 `json:"running"`
}

func (r *drainReport) writeText(w io.Writer) {
	fmt.Fprintf(w, "host %s drains: %s running\n", r.Host, formatCount(int(r.Running), "transaction"))
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
	return target{}, fmt.Errorf("the platform's list has no host %q", cmd.Host)
}
