package config_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"testing"
	"testing/fstest"

	"github.com/sebdah/goldie/v2"

	"github.com/gypsumgap/gypsumgap/core/config"
)

// Guards against a problem in a folder that is not reported, is reported at the
// wrong position, or hides the problems after it.
func TestLoadBadFolders(t *testing.T) {
	for _, name := range []string{"bad-types", "bad-rules", "bad-merge", "bad-yaml", "empty", "no-content"} {
		t.Run(name, func(t *testing.T) {
			_, findings, err := config.Load(os.DirFS("testdata/" + name))
			if err != nil {
				t.Fatal(err)
			}
			if findings.Err() == nil {
				t.Error("the folder has no error, want at least one")
			}
			var out bytes.Buffer
			for _, f := range findings.All() {
				fmt.Fprintln(&out, f)
			}
			goldie.New(t).Assert(t, name, out.Bytes())
		})
	}
}

// Guards against a merge that loses or reorders parts of the configuration, and
// against an unintended change of the defaults.
func TestLoadGoodFolder(t *testing.T) {
	services, findings, err := config.Load(os.DirFS("testdata/good"))
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range findings.All() {
		t.Error(f)
	}
	out, err := json.MarshalIndent(services, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "good", out)
}

// Guards against a panic or a read error of Load on malformed files.
func FuzzLoad(f *testing.F) {
	for _, name := range []string{"good/10-werkplaats.yaml", "bad-types/a.yaml", "bad-yaml/10-broken.yaml"} {
		data, err := os.ReadFile("testdata/" + name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		_, findings, err := config.Load(fstest.MapFS{"a.yaml": {Data: data}})
		if err != nil {
			t.Fatal(err)
		}
		_ = findings.All()
	})
}
