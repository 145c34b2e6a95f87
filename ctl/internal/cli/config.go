package cli

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/gypsumgap/gypsumgap/core/config"
	"github.com/gypsumgap/gypsumgap/core/confstore"
	"github.com/gypsumgap/gypsumgap/core/finding"
	"github.com/gypsumgap/gypsumgap/core/platform"
)

// folderReport is what a check of a folder found.
type folderReport struct {
	Services  int               `json:"services"`
	Databases int               `json:"databases"`
	Findings  []finding.Finding `json:"findings"`
}

func (r *folderReport) writeFindings(w io.Writer) {
	for _, f := range r.Findings {
		fmt.Fprintln(w, f)
	}
}

func (r *folderReport) writeText(w io.Writer) {
	r.writeFindings(w)
	fmt.Fprintf(w, "%s, %s, %s\n", formatCount(r.Services, "service"), formatCount(r.Databases, "database"), formatCount(len(r.Findings), "finding"))
}

// findingsError reports that a folder has findings that prevent its use.
type findingsError struct {
	errors int
}

func (e *findingsError) Error() string {
	return fmt.Sprintf("the folder can't be used: %s", formatCount(e.errors, "error"))
}

// readFolder reads and checks a folder. The snapshot is usable only if the
// error is nil.
func readFolder(folder string) (*config.Snapshot, *folderReport, error) {
	services, findings, err := config.Load(os.DirFS(folder))
	if err != nil {
		return nil, nil, &commandLineError{fmt.Sprintf("folder %s: %v", folder, err)}
	}
	snapshot := config.NewSnapshot(0, services)
	rep := &folderReport{
		Services:  snapshot.Len(),
		Databases: snapshot.DatabaseCount(),
		Findings:  append([]finding.Finding{}, findings.All()...),
	}
	if findings.Err() != nil {
		return nil, rep, &findingsError{countErrors(rep.Findings)}
	}
	return snapshot, rep, nil
}

func countErrors(findings []finding.Finding) int {
	n := 0
	for _, f := range findings {
		if f.Severity == finding.Error {
			n++
		}
	}
	return n
}

// formatCount formats a number and the thing that it counts.
func formatCount(n int, thing string) string {
	if n == 1 {
		return "1 " + thing
	}
	return fmt.Sprintf("%d %ss", n, thing)
}

type checkCommand struct {
	Folder string `arg:"positional,required" help:"configuration folder"`
}

func (*checkCommand) example() string { return "gypsumctl check ./configuration" }

func (cmd *checkCommand) run(context.Context, *invocation) (report, error) {
	_, rep, err := readFolder(cmd.Folder)
	if rep == nil {
		return nil, err
	}
	return rep, err
}

// changeReport is what diff shows and apply did.
type changeReport struct {
	folderReport
	// Version is the version that the changes are against, or the one that an
	// apply made.
	Version uint64          `json:"version"`
	Changes []config.Change `json:"changes"`
	// Applied says that the changes are in force.
	Applied bool `json:"applied"`
	// Superseded says that another apply has followed already.
	Superseded bool   `json:"superseded,omitempty"`
	Warning    string `json:"warning,omitempty"`
}

func (r *changeReport) writeText(w io.Writer) {
	r.writeFindings(w)
	for _, c := range r.Changes {
		fmt.Fprintln(w, c)
	}
	switch {
	case len(r.Changes) == 0 && countErrors(r.Findings) == 0:
		fmt.Fprintf(w, "no change: version %d is current\n", r.Version)
	case r.Applied:
		fmt.Fprintf(w, "applied version %d with %s\n", r.Version, formatCount(len(r.Changes), "change"))
	case len(r.Changes) > 0:
		fmt.Fprintf(w, "%s against version %d\n", formatCount(len(r.Changes), "change"), r.Version)
	}
	if r.Superseded {
		fmt.Fprintln(w, "another apply has followed already")
	}
	if r.Warning != "" {
		fmt.Fprintln(w, "warning:", r.Warning)
	}
}

type diffCommand struct {
	Folder string `arg:"positional,required" help:"configuration folder"`
}

func (*diffCommand) example() string {
	return "gypsumctl diff ./configuration --platform http://127.0.0.1:5000"
}

func (cmd *diffCommand) run(ctx context.Context, c *invocation) (report, error) {
	p, err := compareWithCurrent(ctx, c, cmd.Folder)
	return p.report(), err
}

type applyCommand struct {
	Folder string  `arg:"positional,required" help:"configuration folder"`
	Base   *uint64 `arg:"--base" placeholder:"VERSION" help:"refuse if another version than this one is current"`
}

func (*applyCommand) example() string {
	return "gypsumctl apply ./configuration --platform http://127.0.0.1:5000 --base 41"
}

func (cmd *applyCommand) run(ctx context.Context, c *invocation) (report, error) {
	p, err := compareWithCurrent(ctx, c, cmd.Folder)
	if err != nil {
		return p.report(), err
	}
	if cmd.Base != nil && *cmd.Base != p.base.Snapshot.Version() {
		return p.rep, fmt.Errorf("conflict: version %d is current, not %d", p.base.Snapshot.Version(), *cmd.Base)
	}
	result, err := confstore.Apply(ctx, p.store, p.base, p.next)
	if err != nil {
		return p.rep, err
	}
	p.rep.Version = result.Version
	p.rep.Applied = len(result.Changes) > 0
	p.rep.Superseded = result.Superseded
	if result.CleanupErr != nil {
		p.rep.Warning = result.CleanupErr.Error()
	}
	return p.rep, nil
}

// comparison is a checked folder and the current configuration.
type comparison struct {
	store platform.Store
	next  *config.Snapshot
	base  *confstore.State
	rep   *changeReport
}

// report returns the report, or nil if the folder could not be read.
func (p *comparison) report() report {
	if p == nil {
		return nil
	}
	return p.rep
}

// compareWithCurrent checks a folder and compares it with the current configuration.
func compareWithCurrent(ctx context.Context, c *invocation, folder string) (*comparison, error) {
	next, folderRep, err := readFolder(folder)
	if folderRep == nil {
		return nil, err
	}
	p := &comparison{next: next, rep: &changeReport{folderReport: *folderRep, Changes: []config.Change{}}}
	if err != nil {
		return p, err
	}
	p.store, err = c.store()
	if err != nil {
		return nil, err
	}
	p.base, err = confstore.Load(ctx, p.store, nil)
	if err != nil {
		return nil, err
	}
	p.rep.Version = p.base.Snapshot.Version()
	p.rep.Changes = append(p.rep.Changes, config.Diff(p.base.Snapshot, next)...)
	return p, nil
}
