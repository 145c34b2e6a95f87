package cli_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/gypsumgap/gypsumgap/core/platform"
	"github.com/gypsumgap/gypsumgap/core/platform/platformtest"
	"github.com/gypsumgap/gypsumgap/ctl/internal/cli"
)

// recorder runs gypsumctl against a store and a clock and records the output.
type recorder struct {
	store platform.Store
	now   func() time.Time
	out   bytes.Buffer
}

// run runs a command line and records its output and its exit status, which it also
// returns.
func (s *recorder) run(argv ...string) cli.Status {
	var stdout, stderr bytes.Buffer
	env := cli.Environment{
		Stdout:    &stdout,
		Stderr:    &stderr,
		OpenStore: func(string) (platform.Store, error) { return s.store, nil },
		Now:       s.now,
	}
	status := cli.Run(context.Background(), argv, env)
	fmt.Fprintf(&s.out, "$ gypsumctl %s\n%s", strings.Join(argv, " "), stdout.String())
	for line := range strings.Lines(stderr.String()) {
		fmt.Fprintf(&s.out, "stderr: %s", line)
	}
	fmt.Fprintf(&s.out, "exit status %d\n\n", status)
	return status
}

// assert compares the recorded output with a golden file.
func (s *recorder) assert(t *testing.T, name string) {
	t.Helper()
	goldie.New(t).Assert(t, name, s.out.Bytes())
}

func wantStatus(t *testing.T, got, want cli.Status) {
	t.Helper()
	if got != want {
		t.Errorf("got exit status %d, want %d", got, want)
	}
}

// Guards against changes of the output or the exit statuses of check, diff and apply,
// on which scripts of operators rely, and against writes by an apply that changes
// nothing.
func TestCheckDiffApply(t *testing.T) {
	store := platformtest.New(platformtest.Options{})
	s := &recorder{store: store}
	const at = "--platform=http://platform"
	wantStatus(t, s.run("check", "testdata/first"), cli.Done)
	wantStatus(t, s.run("check", "testdata/bad"), cli.Refused)
	wantStatus(t, s.run("check", "testdata/bad", "--output=json"), cli.Refused)
	wantStatus(t, s.run("diff", "testdata/first", at), cli.Done)
	wantStatus(t, s.run("apply", "testdata/bad", at), cli.Refused)
	wantStatus(t, s.run("apply", "testdata/first", at), cli.Done)
	writes := store.Counts().Writes()
	wantStatus(t, s.run("apply", "testdata/first", at), cli.Done)
	if got := store.Counts().Writes(); got != writes {
		t.Errorf("repeated apply made %d writes, want 0", got-writes)
	}
	wantStatus(t, s.run("diff", "testdata/second", at, "--output=json"), cli.Done)
	wantStatus(t, s.run("apply", "testdata/second", at, "--base=7"), cli.Refused)
	wantStatus(t, s.run("apply", "testdata/second", at, "--base=1", "--output=json"), cli.Done)
	s.assert(t, "session")
}

// Guards against an outage of the platform that is reported as a conflict, against an
// apply that fails although a retry finds it succeeded after lost responses, and
// against an unknown outcome that is reported as a failure.
func TestApplyWithFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformtest.New(platformtest.Options{})
		s := &recorder{store: store}
		const at = "--platform=http://platform"
		wantStatus(t, s.run("apply", "testdata/first", at), cli.Done)
		store.SetFaults(platformtest.Faults{Down: true})
		wantStatus(t, s.run("apply", "testdata/second", at), cli.Unreachable)
		store.SetFaults(platformtest.Faults{LoseResponses: 2})
		wantStatus(t, s.run("apply", "testdata/second", at), cli.Done)
		s.store = &outageAfterRootStore{Store: store}
		wantStatus(t, s.run("apply", "testdata/first", at), cli.Unknown)
		s.assert(t, "faults")
	})
}

// outageAfterRootStore executes an update of the root object, but loses the response
// and is unavailable from then on.
type outageAfterRootStore struct {
	*platformtest.Store
}

func (d *outageAfterRootStore) Put(ctx context.Context, key string, value []byte, expected platform.Version) (platform.Version, error) {
	v, err := d.Store.Put(ctx, key, value, expected)
	if key != "config/root" {
		return v, err
	}
	d.SetFaults(platformtest.Faults{Down: true})
	return 0, platform.ErrUnknown
}

// concurrentApplyStore applies another folder just before it executes the first write
// of the root object.
type concurrentApplyStore struct {
	*platformtest.Store
	done bool
}

func (i *concurrentApplyStore) Put(ctx context.Context, key string, value []byte, expected platform.Version) (platform.Version, error) {
	if key == "config/root" && !i.done {
		i.done = true
		other := &recorder{store: i.Store}
		if status := other.run("apply", "testdata/third", "--platform=http://platform"); status != cli.Done {
			return 0, fmt.Errorf("concurrent apply failed: %s", other.out.String())
		}
	}
	return i.Store.Put(ctx, key, value, expected)
}

// Guards against a conflict error that does not name what the concurrent apply
// changed.
func TestConflictNamesTheOtherChange(t *testing.T) {
	store := platformtest.New(platformtest.Options{})
	s := &recorder{store: store}
	const at = "--platform=http://platform"
	wantStatus(t, s.run("apply", "testdata/first", at), cli.Done)
	s.store = &concurrentApplyStore{Store: store}
	wantStatus(t, s.run("apply", "testdata/second", at), cli.Refused)
	s.assert(t, "conflict")
}

// Guards against commands without a help text or an example, and against invalid
// command lines that are not reported as usage errors.
func TestHelpAndUsage(t *testing.T) {
	s := &recorder{}
	wantStatus(t, s.run(), cli.Usage)
	wantStatus(t, s.run("--help"), cli.Done)
	for _, name := range []string{"check", "diff", "apply", "status", "switchover", "drain"} {
		wantStatus(t, s.run(name, "--help"), cli.Done)
	}
	wantStatus(t, s.run("unknown"), cli.Usage)
	wantStatus(t, s.run("apply"), cli.Usage)
	wantStatus(t, s.run("apply", "testdata/first"), cli.Usage)
	wantStatus(t, s.run("check", "testdata/first", "--output=xml"), cli.Usage)
	wantStatus(t, s.run("check", "testdata/missing"), cli.Usage)
	s.assert(t, "help")
}
