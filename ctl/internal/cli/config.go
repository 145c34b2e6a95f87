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

// folderReport is the result of checking a configuration folder.
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

// findingsError reports that a folder has findings of the severity error.
type findingsError struct {
	errors int
}

func (e *findingsError) Error() string {
	return fmt.Sprintf("configuration folder is invalid: %s", formatCount(e.errors, "error"))
}

// readFolder reads and checks a folder. The snapshot is valid only if the error is
// nil; the report is nil only if the folder could not be read.
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

// countErrors returns the number of findings of the severity error.
func countErrors(findings []finding.Finding) int {
	n := 0
	for _, f := range findings {
		if f.Severity == finding.Error {
			n++
		}
	}
	return n
}

// formatCount formats a number with a noun in the singular or plural.
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

// changeReport is the result of diff and apply.
type changeReport struct {
	folderReport
	// Version is the version that the changes are relative to, or the one that
	// an apply created.
	Version uint64          `json:"version"`
	Changes []config.Change `json:"changes"`
	// Applied reports whether the changes have been applied.
	Applied bool `json:"applied"`
	// Superseded reports whether another apply has already replaced this version.
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
		fmt.Fprintln(w, "another apply has already replaced this version")
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
	Base   *uint64 `arg:"--base" placeholder:"VERSION" help:"refuse unless this version is current"`
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
		return p.rep, fmt.Errorf("conflict: current version is %d, expected %d", p.base.Snapshot.Version(), *cmd.Base)
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

// comparison holds a checked folder (next), the current configuration (base) and
// the report of their differences.
type comparison struct {
	store platform.Store
	next  *config.Snapshot
	base  *confstore.State
	rep   *changeReport
}

// report returns the report, or nil if the comparison is nil, which is so if the
// folder or the current configuration could not be read.
func (p *comparison) report() report {
	if p == nil {
		return nil
	}
	return p.rep
}

// compareWithCurrent checks a folder and compares it with the current configuration.
// If the folder has errors, it returns a comparison that holds only the findings.
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
