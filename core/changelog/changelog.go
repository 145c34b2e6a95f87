// Package changelog keeps the objects of one kind and their latest changes, so that
// a host can pass on to other hosts what it follows in the platform's store.
//
// A reader names the version that it has, and gets the changes since, or all
// objects if the log does not reach back so far. Versions count the changes that
// one Log has applied; they mean nothing to another Log. Revisions are those of the
// store and let a reader that changes its source refuse older data.
package changelog

import (
	"slices"

	"github.com/gypsumgap/gypsumgap/core/objects"
)

// maxChanges is the number of changes kept. A reader that lags more gets all
// objects.
const maxChanges = 256

// Entry is an object in an encoded form, or the deletion of one.
type Entry struct {
	Name    string
	Value   []byte
	Deleted bool
}

// Log holds the objects of one kind. It is not safe for concurrent use. The zero
// value is empty and has revision 0.
type Log struct {
	objects map[string]Entry
	// changes holds the latest changes, the last of which has the number version.
	changes  []Entry
	version  uint64
	revision objects.Revision
}

// Version returns the number of changes applied so far.
func (l *Log) Version() uint64 { return l.version }

// Revision returns the revision of the store up to which the log is complete; 0 if
// nothing was applied yet.
func (l *Log) Revision() objects.Revision { return l.revision }

// Replace sets all objects as of a revision of the store. Objects that are missing
// count as deleted, and equal ones as unchanged.
func (l *Log) Replace(revision objects.Revision, entries []Entry) {
	present := map[string]bool{}
	var changed []Entry
	for _, e := range entries {
		present[e.Name] = true
		changed = append(changed, e)
	}
	for name := range l.objects {
		if !present[name] {
			changed = append(changed, Entry{Name: name, Deleted: true})
		}
	}
	l.Apply(revision, changed)
}

// Apply records changes up to a revision of the store.
func (l *Log) Apply(revision objects.Revision, changes []Entry) {
	if l.objects == nil {
		l.objects = map[string]Entry{}
	}
	for _, e := range changes {
		old, exists := l.objects[e.Name]
		if e.Deleted && !exists || exists && !e.Deleted && slices.Equal(old.Value, e.Value) {
			continue
		}
		if e.Deleted {
			delete(l.objects, e.Name)
		} else {
			l.objects[e.Name] = e
		}
		l.version++
		l.changes = append(l.changes, e)
	}
	if n := len(l.changes) - maxChanges; n > 0 {
		l.changes = slices.Delete(l.changes, 0, n)
	}
	l.revision = max(l.revision, revision)
}

// Since returns the changes after a version, oldest first, or all objects and true
// if the version is unknown or too old.
func (l *Log) Since(version uint64) (entries []Entry, full bool) {
	if behind := l.version - version; version <= l.version && behind <= uint64(len(l.changes)) {
		return slices.Clone(l.changes[uint64(len(l.changes))-behind:]), false
	}
	return l.All(), true
}

// All returns all objects in the order of their names.
func (l *Log) All() []Entry {
	out := make([]Entry, 0, len(l.objects))
	for _, e := range l.objects {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Entry) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return out
}
