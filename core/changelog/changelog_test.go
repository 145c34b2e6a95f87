package changelog

import (
	"maps"
	"testing"

	"pgregory.net/rapid"

	"github.com/gypsumgap/gypsumgap/core/objects"
)

// Guards against readers that miss a change or keep a deleted object, whichever
// version they start from.
func TestReadersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log Log
		want := map[string]string{}
		reader, readerVersion := map[string]string{}, uint64(0)
		revision := objects.Revision(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			revision++
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
			value := rapid.SampledFrom([]string{"1", "2"}).Draw(t, "value")
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				want[name] = value
				log.Apply(revision, []Entry{{Name: name, Value: []byte(value)}})
			case 1:
				delete(want, name)
				log.Apply(revision, []Entry{{Name: name, Deleted: true}})
			case 2:
				want = map[string]string{name: value}
				log.Replace(revision, []Entry{{Name: name, Value: []byte(value)}})
			case 3:
				entries, full := log.Since(readerVersion)
				if full {
					clear(reader)
				}
				for _, e := range entries {
					if e.Deleted {
						delete(reader, e.Name)
					} else {
						reader[e.Name] = string(e.Value)
					}
				}
				readerVersion = log.Version()
				if !maps.Equal(reader, want) {
					t.Fatalf("reader has %v, want %v", reader, want)
				}
			}
		}
	})
}

// Guards against a log that grows without bound, and against a reader that lags
// too much and gets a part of the changes only.
func TestLaggingReaderGetsAllObjects(t *testing.T) {
	var log Log
	for i := range 3 * maxChanges {
		log.Apply(objects.Revision(i), []Entry{{Name: "a", Value: []byte{byte(i), byte(i >> 8)}}})
	}
	if entries, full := log.Since(1); !full || len(entries) != 1 {
		t.Errorf("got %d entries, full %t, want the one object", len(entries), full)
	}
	if entries, full := log.Since(log.Version() - maxChanges); full || len(entries) != maxChanges {
		t.Errorf("got %d entries, full %t, want the %d latest changes", len(entries), full, maxChanges)
	}
	if _, full := log.Since(log.Version() + 1); !full {
		t.Error("a version that the log has not reached must result in all objects")
	}
}

// Guards against changes that are reported although nothing changed, and against a
// revision that goes back.
func TestUnchangedObjectsAreNotReported(t *testing.T) {
	var log Log
	log.Replace(7, []Entry{{Name: "a", Value: []byte("1")}})
	version := log.Version()
	log.Replace(9, []Entry{{Name: "a", Value: []byte("1")}})
	log.Apply(8, nil)
	if log.Version() != version || log.Revision() != 9 {
		t.Errorf("got version %d and revision %d, want %d and 9", log.Version(), log.Revision(), version)
	}
}
