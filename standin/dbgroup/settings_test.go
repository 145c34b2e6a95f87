package dbgroup_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/sirupsen/logrus/hooks/test"

	"github.com/gypsumgap/gypsumgap/standin/dbgroup"
)

// TestServe guards against settings that are read and have no effect. The slots have
// links with latency.
func TestServe(t *testing.T) {
	settings, err := dbgroup.ReadSettings("testdata/standin.yaml")
	if err != nil {
		t.Fatal(err)
	}
	logger, _ := test.NewNullLogger()
	server, err := dbgroup.Serve(settings, logger)
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	states, err := dbgroup.AdminClient{URL: "http://" + server.AdminAddress}.Groups(background)
	if err != nil || len(states) != 2 || len(states[0].Slots) != 3 || len(states[1].Slots) != 5 {
		t.Fatalf("got groups %+v, error %v; want two with 3 and 5 slots", states, err)
	}
	slots := states[0].Slots
	if slots[0].ID != "werkplaats-1-a/0" || slots[1].ID != "werkplaats-1-a/second" || slots[1].Zone != "gelderland-a" || slots[2].Zone != "randstad-a" {
		t.Fatalf("got slots %+v, want the IDs and zones of the settings", slots)
	}
	if slots[0].Status.ConnectionLimit != 45 {
		t.Fatalf("got status %+v, want connection limit 45", slots[0].Status)
	}
	g := server.Groups[0]
	exec(t, connect(t, g.Slot(0)), insertJob, 1, "a")
	awaitApplied(t, g.Slot(1), g.Slot(0).Status().Received)
}

// TestReadSettingsRefusesUnknownKeys guards against a misspelt key that is ignored.
func TestReadSettingsRefusesUnknownKeys(t *testing.T) {
	path := filepath.Join(t.TempDir(), "standin.yaml")
	if err := os.WriteFile(path, []byte("groups:\n  - nmae: x\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := dbgroup.ReadSettings(path); err == nil {
		t.Fatal("settings with an unknown key were accepted, want an error")
	}
}
