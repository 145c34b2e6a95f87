package confsync

import (
	"bytes"
	"cmp"
	"compress/gzip"
	"errors"
	"fmt"
	"io"
	"slices"

	"github.com/gypsumgap/gypsumgap/core/config"
	"github.com/gypsumgap/gypsumgap/core/confstore"
	"github.com/gypsumgap/gypsumgap/core/peerapi"
)

const (
	// maxTombstones is the greatest number of removed services that a node keeps
	// in its history.
	maxTombstones = 4096
	// maxEntryBytes is the greatest decompressed size of one service.
	maxEntryBytes = 256 << 20
)

// errInvalidResponse reports a response to a fetch that cannot be applied.
var errInvalidResponse = errors.New("invalid configuration response from a peer")

// Published is the configuration that a node holds, with the history from which
// it serves incremental fetches. It is immutable and safe for concurrent use.
type Published struct {
	snapshot *config.Snapshot
	// minSince is the lowest version since which the changes are known.
	minSince uint64
	entries  map[string]entry
	// tombstones maps the names of removed services to the version that removed them.
	tombstones map[string]uint64
}

// entry is one service in its wire format: gzip-compressed JSON.
type entry struct {
	body []byte
	// version is an upper bound of the version that last changed the service. It
	// is never greater than the node's version.
	version uint64
}

func emptyPublished() *Published {
	return &Published{snapshot: config.NewSnapshot(0, nil)}
}

// Snapshot returns the configuration.
func (p *Published) Snapshot() *config.Snapshot { return p.snapshot }

// Version returns the version of the configuration, 0 for none.
func (p *Published) Version() uint64 { return p.snapshot.Version() }

// Respond returns the response to a fetch: the changes since the requested
// version if the history covers it, else the full configuration. The changes
// include those that a later version reverted, because peers of the requester
// may hold the version in between.
func (p *Published) Respond(req *peerapi.FetchConfigRequest) *peerapi.FetchConfigResponse {
	resp := &peerapi.FetchConfigResponse{Version: p.Version()}
	if req.Since >= p.Version() {
		return resp
	}
	since := req.Since
	if since < p.minSince || since == 0 {
		resp.Full = true
		since = 0
	}
	for name, e := range p.entries {
		if e.version > since {
			resp.Entries = append(resp.Entries, &peerapi.ConfigEntry{Name: name, Body: e.body})
		}
	}
	slices.SortFunc(resp.Entries, func(a, b *peerapi.ConfigEntry) int { return cmp.Compare(a.Name, b.Name) })
	if resp.Full {
		return resp
	}
	for name, version := range p.tombstones {
		if version > since {
			resp.Removed = append(resp.Removed, name)
		}
	}
	slices.Sort(resp.Removed)
	return resp
}

// fromStore returns the configuration after an update read from the store. If
// the changes since the held version are unknown, the history starts anew.
func (p *Published) fromStore(u confstore.Update) (*Published, error) {
	if !u.Complete || u.Base > p.Version() {
		return p.replaceAll(u.Snapshot)
	}
	b := p.builder(u.Snapshot.Version())
	for _, name := range u.Touched {
		service := u.Snapshot.Service(name)
		if service == nil {
			b.remove(name)
			continue
		}
		body, err := encodeBody(service)
		if err != nil {
			return nil, err
		}
		b.put(service, body)
	}
	return b.build(), nil
}

// replaceAll returns the configuration s without history.
func (p *Published) replaceAll(s *config.Snapshot) (*Published, error) {
	out := &Published{snapshot: s, minSince: s.Version(), entries: make(map[string]entry, s.Len())}
	for _, name := range s.Names() {
		body, err := encodeBody(s.Service(name))
		if err != nil {
			return nil, err
		}
		out.entries[name] = entry{body: body, version: s.Version()}
	}
	return out, nil
}

// fromPeer returns the configuration after a peer's response to a fetch of the
// changes since a version. It fails with errInvalidResponse.
func (p *Published) fromPeer(since uint64, resp *peerapi.FetchConfigResponse) (*Published, error) {
	if !resp.Full && (since > p.Version() || since == 0) {
		return nil, fmt.Errorf("%w: changes since version %d, which the node does not hold", errInvalidResponse, since)
	}
	base := p
	if resp.Full {
		base = emptyPublished()
	}
	b := base.builder(resp.Version)
	if resp.Full {
		b.out.minSince = resp.Version
	}
	for _, e := range resp.Entries {
		service, err := decodeBody(e)
		if err != nil {
			return nil, err
		}
		b.put(service, e.Body)
	}
	for _, name := range resp.Removed {
		b.remove(name)
	}
	return b.build(), nil
}

// builder builds the next configuration from a base and a set of changes.
type builder struct {
	base    *config.Snapshot
	version uint64
	out     *Published
	changed []*config.Service
	removed []string
}

func (p *Published) builder(version uint64) *builder {
	out := &Published{
		minSince:   p.minSince,
		entries:    make(map[string]entry, len(p.entries)),
		tombstones: make(map[string]uint64, len(p.tombstones)),
	}
	for name, e := range p.entries {
		out.entries[name] = e
	}
	for name, v := range p.tombstones {
		out.tombstones[name] = v
	}
	return &builder{base: p.snapshot, version: version, out: out}
}

func (b *builder) put(s *config.Service, body []byte) {
	b.out.entries[s.Name] = entry{body: body, version: b.version}
	delete(b.out.tombstones, s.Name)
	b.changed = append(b.changed, s)
}

func (b *builder) remove(name string) {
	delete(b.out.entries, name)
	b.out.tombstones[name] = b.version
	b.removed = append(b.removed, name)
}

func (b *builder) build() *Published {
	b.out.snapshot = b.base.With(b.version, b.changed, b.removed)
	b.out.pruneTombstones()
	return b.out
}

// pruneTombstones drops the oldest tombstones in excess of maxTombstones and
// raises minSince to the version since which the remaining ones are complete.
func (p *Published) pruneTombstones() {
	excess := len(p.tombstones) - maxTombstones
	if excess <= 0 {
		return
	}
	names := make([]string, 0, len(p.tombstones))
	for name := range p.tombstones {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(p.tombstones[a], p.tombstones[b]), cmp.Compare(a, b))
	})
	for _, name := range names[:excess] {
		p.minSince = max(p.minSince, p.tombstones[name])
		delete(p.tombstones, name)
	}
}

func encodeBody(s *config.Service) ([]byte, error) {
	encoded, err := config.EncodeService(s)
	if err != nil {
		return nil, err
	}
	var buf bytes.Buffer
	w := gzip.NewWriter(&buf)
	if _, err := w.Write(encoded); err != nil {
		return nil, fmt.Errorf("compress service: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress service: %w", err)
	}
	return buf.Bytes(), nil
}

func decodeBody(e *peerapi.ConfigEntry) (*config.Service, error) {
	r, err := gzip.NewReader(bytes.NewReader(e.Body))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errInvalidResponse, err)
	}
	encoded, err := io.ReadAll(io.LimitReader(r, maxEntryBytes))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errInvalidResponse, err)
	}
	s, err := config.DecodeService(encoded)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errInvalidResponse, err)
	}
	if s.Name != e.Name {
		return nil, fmt.Errorf("%w: entry %q holds service %q", errInvalidResponse, e.Name, s.Name)
	}
	return s, nil
}
