package fleet

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/gypsumgap/gypsumgap/core/catalog"
	"github.com/gypsumgap/gypsumgap/core/changelog"
	"github.com/gypsumgap/gypsumgap/core/lease"
	"github.com/gypsumgap/gypsumgap/core/objects"
	"github.com/gypsumgap/gypsumgap/core/peerapi"
)

const (
	// feedMaxAge is the age of the last proof that a feed is current above which
	// followers are told that it is not.
	feedMaxAge = relayWatchWait + 600*time.Millisecond
	// maxFollowWait bounds the wait for a change in one request.
	maxFollowWait = 2 * time.Second
	// unsyncedWait bounds the wait of a follower for a relay that has no proof, and
	// syncCheckInterval is the time between checks whether it still has one.
	unsyncedWait      = 500 * time.Millisecond
	syncCheckInterval = 100 * time.Millisecond
	// askedWindow is how long after the last request of a follower a host counts as
	// a relay.
	askedWindow = 10 * time.Second
	// missingMaxAge is how long the primaries that a follower cannot reach are
	// reported on its behalf.
	missingMaxAge = 3 * time.Second
	// maxEntryBytes bounds the size of an object that a relay passes on.
	maxEntryBytes = 8 << 20
)

// followedKinds are the kinds of objects that hosts follow.
var followedKinds = []objects.Kind{objects.Configurations, objects.Servers}

// feed holds what this host learned from the store by its own watches, for the
// hosts that follow it. It is safe for concurrent use.
type feed struct {
	// source identifies the process whose versions the logs count.
	source string
	now    func() time.Time

	mu   sync.Mutex
	logs map[string]*changelog.Log
	// provenAt is when the log was last known to be current, by kind.
	provenAt map[string]time.Time
	// changed is closed and replaced with each change.
	changed chan struct{}
	askedAt time.Time
	// asked receives a value when another host begins to follow this one.
	asked chan struct{}
	// missing holds the primaries that followers cannot reach, by host.
	missing       map[string]missingPrimaries
	lease         []byte
	leaseRevision objects.Revision
}

// missingPrimaries holds the IDs of unreachable primaries by service.
type missingPrimaries struct {
	primaries map[string]string
	seenAt    time.Time
}

func newFeed(source string, now func() time.Time) *feed {
	f := &feed{source: source, now: now, logs: map[string]*changelog.Log{}, provenAt: map[string]time.Time{}, changed: make(chan struct{}), missing: map[string]missingPrimaries{}, asked: make(chan struct{}, 1)}
	for _, kind := range followedKinds {
		f.logs[kind.String()] = &changelog.Log{}
	}
	return f
}

// apply records a change that a watcher of this host reported.
func (f *feed) apply(ch storeChange) {
	log := f.logs[ch.kind.String()]
	if log == nil || ch.err != nil {
		return
	}
	var entries []changelog.Entry
	for _, o := range ch.objects {
		if e, ok := encodeEntry(ch.kind, o); ok {
			entries = append(entries, e)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if ch.full {
		log.Replace(ch.revision, entries)
	} else {
		log.Apply(ch.revision, entries)
	}
	f.provenAt[ch.kind.String()] = ch.provenAt
	close(f.changed)
	f.changed = make(chan struct{})
}

// revision returns the revision of the store up to which this host followed it.
func (f *feed) revision(kind objects.Kind) objects.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.logs[kind.String()].Revision()
}

// setLease records the lease on promotions, to be passed on.
func (f *feed) setLease(record lease.Record, revision objects.Revision) {
	value, err := json.Marshal(record)
	if err != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lease, f.leaseRevision = value, revision
}

// isRelay reports whether other hosts follow this one.
func (f *feed) isRelay() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now().Sub(f.askedAt) < askedWindow
}

// countMissing adds the hosts that cannot reach a primary to the counts by service
// and primary.
func (f *feed) countMissing(counts map[string]map[string]int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	for host, m := range f.missing {
		if now.Sub(m.seenAt) >= missingMaxAge {
			delete(f.missing, host)
			continue
		}
		for service, primary := range m.primaries {
			addMissing(counts, service, primary, 1)
		}
	}
}

func addMissing(counts map[string]map[string]int, service, primary string, n int) {
	if counts[service] == nil {
		counts[service] = map[string]int{}
	}
	counts[service][primary] += n
}

// recordRequest records that a host follows this one.
func (f *feed) recordRequest(r *peerapi.FollowRequest) {
	primaries := map[string]string{}
	for _, m := range r.GetMissing() {
		primaries[m.GetService()] = m.GetPrimary()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	if now.Sub(f.askedAt) >= askedWindow {
		select {
		case f.asked <- struct{}{}:
		default:
		}
	}
	f.askedAt = now
	f.missing[r.GetHost()] = missingPrimaries{primaries, f.askedAt}
}

// answer returns the response to a follower, and whether it should be sent now
// rather than after a further change.
func (f *feed) answer(r *peerapi.FollowRequest) (response *peerapi.FollowResponse, ready bool, changed <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	response = &peerapi.FollowResponse{Synced: true, Source: f.source, Lease: f.lease, LeaseRevision: uint64(f.leaseRevision)}
	now := f.now()
	for _, known := range r.GetKnown() {
		log := f.logs[known.GetKind()]
		if log == nil {
			continue
		}
		if log.Revision() == 0 || log.Revision() < objects.Revision(known.GetRevision()) || now.Sub(f.provenAt[known.GetKind()]) >= feedMaxAge {
			return &peerapi.FollowResponse{Source: f.source}, false, f.changed
		}
		changes := &peerapi.KindChanges{Kind: known.GetKind(), Version: log.Version(), Revision: uint64(log.Revision())}
		var entries []changelog.Entry
		if known.GetSource() == f.source {
			entries, changes.Full = log.Since(known.GetVersion())
		} else {
			entries, changes.Full = log.All(), true
		}
		for _, e := range entries {
			changes.Entries = append(changes.Entries, &peerapi.StoredEntry{Name: e.Name, Deleted: e.Deleted, Value: e.Value})
		}
		ready = ready || changes.Full || len(entries) > 0
		response.Changes = append(response.Changes, changes)
	}
	return response, ready, f.changed
}

// Follow returns the changes that this host has learned from the store. The host
// begins to follow the store itself when it is asked.
func (s peerServer) Follow(ctx context.Context, r *peerapi.FollowRequest) (*peerapi.FollowResponse, error) {
	s.feed.recordRequest(r)
	startedAt := s.now()
	timeout := time.NewTimer(min(time.Duration(r.GetWaitMs())*time.Millisecond, maxFollowWait))
	defer timeout.Stop()
	for {
		response, ready, changed := s.feed.answer(r)
		if ready || !response.GetSynced() && s.now().Sub(startedAt) >= unsyncedWait {
			return response, nil
		}
		select {
		case <-changed:
		case <-time.After(syncCheckInterval):
		case <-timeout.C:
			return response, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// encodeEntry returns an object in the form that relays pass on. It returns false
// for a configuration that could not be decoded, so that the one before it stays.
func encodeEntry(kind objects.Kind, o objects.Object) (changelog.Entry, bool) {
	var value any
	switch {
	case o.Deleted, kind == objects.Servers && namesNoServer(o):
		return changelog.Entry{Name: o.Name, Deleted: true}, true
	case o.Err != nil:
		return changelog.Entry{}, false
	case o.Configuration != nil:
		value = o.Configuration
	default:
		value = o.Server
	}
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if json.NewEncoder(w).Encode(value) != nil || w.Close() != nil {
		return changelog.Entry{}, false
	}
	return changelog.Entry{Name: o.Name, Value: out.Bytes()}, true
}

// decodeEntry is the inverse of encodeEntry. A failure is reported in the object.
func decodeEntry(kind objects.Kind, e *peerapi.StoredEntry) objects.Object {
	o := objects.Object{Name: e.GetName(), Deleted: e.GetDeleted()}
	if o.Deleted {
		return o
	}
	r, err := gzip.NewReader(bytes.NewReader(e.GetValue()))
	if err != nil {
		o.Err = fmt.Errorf("decompress object: %w", err)
		return o
	}
	decoder := json.NewDecoder(io.LimitReader(r, maxEntryBytes))
	if kind == objects.Configurations {
		o.Configuration = &catalog.Configuration{}
		if o.Err = decoder.Decode(o.Configuration); o.Err == nil {
			o.Err = checkConfiguration(o.Configuration)
		}
		return o
	}
	o.Server = &catalog.Server{}
	if o.Err = decoder.Decode(o.Server); o.Err == nil && o.Server.ID != o.Name {
		o.Err = fmt.Errorf("%w: entry %q is of server %q", errMalformedMessage, o.Name, o.Server.ID)
	}
	return o
}

// checkConfiguration fails with errMalformedMessage if another host passed on a
// configuration that the store cannot hold.
func checkConfiguration(c *catalog.Configuration) error {
	if c.Version == 0 {
		return fmt.Errorf("%w: configuration without a version", errMalformedMessage)
	}
	for database, route := range c.Routes {
		if route == nil {
			return fmt.Errorf("%w: route of %q is missing", errMalformedMessage, database)
		}
	}
	return nil
}
