package config_test

import (
	"bytes"
	"fmt"
	"os"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/gypsumgap/gypsumgap/core/config"
)

func loadGood(t *testing.T) []config.Service {
	t.Helper()
	services, _, err := config.Load(os.DirFS("testdata/good"))
	if err != nil {
		t.Fatal(err)
	}
	return services
}

// Guards against a difference that Diff leaves out, so that an operator applies it
// unseen, and against a verifier in the output.
func TestDiffNamesEveryChange(t *testing.T) {
	from := config.NewSnapshot(1, loadGood(t))
	services := loadGood(t)
	planting, werkplaats := &services[0], &services[1]
	planting.Name = "planting-new"
	werkplaats.CommitTimeout *= 2
	werkplaats.Failover.Misses = 5
	werkplaats.Callers[0].Verifier = "another secret"
	werkplaats.Databases[0].ConnectionLimit = 50
	werkplaats.Databases[0].Slots[1].Zone = "brabant-a"
	werkplaats.Databases[1].Name = "werkplaats-1-c"
	werkplaats.Classes = werkplaats.Classes[1:]

	var out bytes.Buffer
	for _, c := range config.Diff(from, config.NewSnapshot(2, services)) {
		fmt.Fprintln(&out, c)
	}
	goldie.New(t).Assert(t, "diff", out.Bytes())
}

// Guards against an apply that writes although nothing has changed.
func TestDiffOfEqualFoldersIsEmpty(t *testing.T) {
	from := config.NewSnapshot(1, loadGood(t))
	to := config.NewSnapshot(0, loadGood(t))
	if changes := config.Diff(from, to); len(changes) != 0 {
		t.Errorf("got changes %v for equal services, want none", changes)
	}
}

// Guards against indexes of databases and callers that do not follow a change of
// the services, and against a change of the snapshot that With is called on.
func TestWithReplacesAndRemoves(t *testing.T) {
	s := config.NewSnapshot(1, loadGood(t))
	changed := *s.Service("werkplaats-db")
	changed.Databases = changed.Databases[:1]
	next := s.With(2, []*config.Service{&changed}, []string{"planting-ledger"})

	if _, ok := next.Database("werkplaats-1-b"); ok {
		t.Error("removed database werkplaats-1-b is still indexed")
	}
	if _, ok := next.Database("planting-a"); ok {
		t.Error("database planting-a of a removed service is still indexed")
	}
	if _, ok := next.Caller("werkplaats-1-a", "mechanic"); !ok {
		t.Error("caller mechanic of a changed service is missing")
	}
	if got := next.CallerServices("crew"); len(got) != 0 {
		t.Errorf("caller crew of a removed service still has services %v", got)
	}
	if _, ok := s.Database("planting-a"); !ok {
		t.Error("database planting-a is missing from the original snapshot")
	}
}
