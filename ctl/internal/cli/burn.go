package cli

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/gypsumgap/gypsumgap/core/config"
	"github.com/gypsumgap/gypsumgap/core/confstore"
	"github.com/gypsumgap/gypsumgap/ctl/internal/burn"
)

// maxMetricsBytes limits the size of one host's metrics, which are held in memory.
const maxMetricsBytes = 64 << 20

type reportCommand struct {
	Burn *burnCommand `arg:"subcommand:burn" help:"compare the metrics of the hosts with the objectives of the services"`
}

type burnCommand struct {
	History   string   `arg:"--history,required" placeholder:"FILE" help:"file with the results of earlier scrapes; created if it does not exist"`
	Metrics   []string `arg:"--metrics,separate" placeholder:"HOST:PORT" help:"admin address of a host; may be repeated; by default the hosts are read from the platform's host list"`
	AdminPort int      `arg:"--admin-port" default:"9432" placeholder:"PORT" help:"port of the admin addresses of the platform's hosts"`
	HTML      string   `arg:"--html" placeholder:"FILE" help:"also write the report to an HTML page"`
	Folder    string   `arg:"--folder" placeholder:"FOLDER" help:"read the objectives from a configuration folder instead of the platform"`
}

func (*burnCommand) example() string {
	return "gypsumctl report burn --history burn.json --html burn.html --platform http://127.0.0.1:5000"
}

// burnReport is the result of a scrape: the burn rates that include it, and the
// hosts that returned no metrics.
type burnReport struct {
	At          time.Time              `json:"at"`
	Objectives  []burn.ObjectiveStatus `json:"objectives"`
	Unreachable []string               `json:"unreachable"`
	// Errors holds why these hosts returned none, by address.
	Errors map[string]string `json:"errors,omitempty"`
}

func (cmd *burnCommand) run(ctx context.Context, c *invocation) (report, error) {
	snapshot, err := cmd.objectives(ctx, c)
	if err != nil {
		return nil, err
	}
	targets, err := cmd.targets(ctx, c)
	if err != nil {
		return nil, err
	}
	history, err := burn.ReadHistory(cmd.History)
	if err != nil {
		return nil, &commandLineError{err.Error()}
	}
	rep := &burnReport{At: c.env.Now().UTC(), Unreachable: []string{}, Errors: map[string]string{}}
	hosts, err := scrapeAll(ctx, targets, snapshot, rep)
	if len(hosts) == 0 {
		return nil, fmt.Errorf("no host returned metrics: %w: %w", errUnreachable, err)
	}
	history.Add(rep.At, hosts)
	if err := history.Write(cmd.History); err != nil {
		return nil, err
	}
	rep.Objectives = history.Report(rep.At, snapshot)
	return rep, cmd.writeHTML(history, rep)
}

func (cmd *burnCommand) writeHTML(history *burn.History, rep *burnReport) error {
	if cmd.HTML == "" {
		return nil
	}
	var page bytes.Buffer
	if err := history.WriteHTML(&page, rep.At, rep.Objectives); err != nil {
		return err
	}
	const mode = 0o644
	if err := os.WriteFile(cmd.HTML, page.Bytes(), mode); err != nil {
		return fmt.Errorf("write HTML report: %w", err)
	}
	return nil
}

// objectives returns the configuration that sets the objectives, read from the
// folder or from the platform.
func (cmd *burnCommand) objectives(ctx context.Context, c *invocation) (*config.Snapshot, error) {
	if cmd.Folder != "" {
		snapshot, _, err := readFolder(cmd.Folder)
		return snapshot, err
	}
	store, err := c.store()
	if err != nil {
		return nil, err
	}
	state, err := confstore.Load(ctx, store, nil)
	if err != nil {
		return nil, err
	}
	return state.Snapshot, nil
}

// targets returns the admin addresses to scrape. Without --metrics they are those of
// the platform's host list, with the port replaced by the admin port.
func (cmd *burnCommand) targets(ctx context.Context, c *invocation) ([]string, error) {
	if len(cmd.Metrics) > 0 {
		return cmd.Metrics, nil
	}
	hosts, err := c.platformHosts(ctx)
	if err != nil {
		return nil, err
	}
	var out []string
	for _, h := range hosts {
		ip, _, err := net.SplitHostPort(h.Address)
		if err != nil {
			return nil, fmt.Errorf("parse address of host %s: %w", h.Name, err)
		}
		out = append(out, net.JoinHostPort(ip, strconv.Itoa(cmd.AdminPort)))
	}
	return out, nil
}

// scrapeAll scrapes the targets concurrently, up to parallelHosts at a time. It adds
// the targets that fail to the report, and returns the counters of the others and the
// errors.
func scrapeAll(ctx context.Context, targets []string, snapshot *config.Snapshot, rep *burnReport) (map[string]burn.Counters, error) {
	counters, failures := make([]burn.Counters, len(targets)), make([]error, len(targets))
	semaphore := make(chan struct{}, parallelHosts)
	var wg sync.WaitGroup
	for i, t := range targets {
		semaphore <- struct{}{}
		wg.Go(func() {
			counters[i], failures[i] = scrape(ctx, t, snapshot)
			<-semaphore
		})
	}
	wg.Wait()
	out := map[string]burn.Counters{}
	for i, t := range targets {
		if err := failures[i]; err != nil {
			rep.Unreachable = append(rep.Unreachable, t)
			rep.Errors[t] = err.Error()
			continue
		}
		out[t] = counters[i]
	}
	return out, errors.Join(failures...)
}

// scrape reads the metrics of one host.
func scrape(ctx context.Context, address string, snapshot *config.Snapshot) (burn.Counters, error) {
	ctx, cancel := context.WithTimeout(ctx, hostTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return nil, fmt.Errorf("create request for metrics of %s: %w", address, err)
	}
	resp, err := hostHTTP.Do(req)
	if err != nil {
		return nil, fmt.Errorf("read metrics of %s: %w", address, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("read metrics of %s: unexpected status %s", address, resp.Status)
	}
	return burn.Parse(io.LimitReader(resp.Body, maxMetricsBytes), snapshot)
}

func (r *burnReport) writeText(w io.Writer) {
	table := newTable(w)
	fmt.Fprint(table, "SERVICE\tOBJECTIVE\tPROMISED\tLEVEL")
	for _, window := range burn.Windows {
		fmt.Fprintf(table, "\t%s", burn.WindowName(window))
	}
	fmt.Fprintln(table)
	for _, l := range r.Objectives {
		fmt.Fprintf(table, "%s\t%s\t%v\t%s", l.Service, l.Objective, l.Target, l.Level)
		for _, rate := range l.Rates {
			fmt.Fprintf(table, "\t%s", rate)
		}
		fmt.Fprintln(table)
	}
	table.Flush()
	fmt.Fprintln(w, "Burn rates: 1 uses up exactly the error budget. * marks a window that the history covers only partly.")
	for _, address := range r.Unreachable {
		fmt.Fprintf(w, "%s returned no metrics: %s\n", address, r.Errors[address])
	}
}
