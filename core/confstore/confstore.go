// Package confstore stores the configuration in the platform store: immutable
// chunk objects, and one root object whose conditional update makes a whole
// version current atomically.
//
// A service belongs to one of 256 buckets by the hash of its name. A bucket
// with services is a chunk: the services' JSON, compressed with gzip, in as
// many objects as the value limit requires. A chunk's key holds the version
// that wrote it and the hash of its content:
//
//	config/chunks/VERSION/BUCKET-HASH-PART
//
// The root lists the chunk of each bucket, so a reader that holds version v
// fetches only the chunks with a greater version. An apply that makes version
// v writes the buckets that differ from its base as chunks of version v, and
// then puts the root on condition that the root is still that of its base. Hence
//   - one of two concurrent applies wins, and the other gets a *ConflictError;
//   - a chunk whose version is at most the root's, and that the root does not
//     reference, can no longer become current. It is removed unless one of the
//     last historyLength roots referenced it, which may still have readers.
//
// Each apply has a random ID that the root keeps for several versions. An
// apply whose response was lost reads the root and finds its ID there, or
// repeats the conditional put, which cannot take effect twice.
package confstore

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/gypsumgap/gypsumgap/core/config"
	"github.com/gypsumgap/gypsumgap/core/platform"
)

const (
	// RootKey is the key of the root object.
	RootKey = "config/root"

	chunkPrefix = "config/chunks/"
	bucketCount = 256
	// partBytes is the greatest size of a chunk object. It is below the
	// platform's value limit, with room for the platform's overhead.
	partBytes = 900_000
	// historyLength is the number of earlier versions that the root records.
	// Their chunks are kept, so that a slow reader can finish.
	historyLength = 8
	// hashBytes is the length to which chunk hashes are truncated. It suffices to
	// distinguish chunks of the same bucket and version.
	hashBytes = 8
	// format is the version of the stored format.
	format = 1
	// maxBucketBytes is the greatest decompressed size of one bucket.
	maxBucketBytes = 256 << 20
)

// ErrCorrupt reports that stored objects are inconsistent or cannot be decoded.
var ErrCorrupt = errors.New("stored configuration is corrupt")

// State is a version of the configuration as read from the store.
type State struct {
	// Snapshot is the configuration; its version is 0 if the store has none.
	Snapshot *config.Snapshot
	root     root
	// object is the store's version of the root object, on which an apply
	// conditions its update.
	object platform.Version
}

// root is the content of the root object.
type root struct {
	Format  int    `json:"format"`
	Version uint64 `json:"version"`
	ApplyID string `json:"apply_id"`
	// Chunks holds the chunk of each bucket that has services.
	Chunks map[int]chunk `json:"chunks"`
	// History holds the last historyLength earlier versions, latest first.
	History []historyEntry `json:"history,omitempty"`
}

// chunk references the objects of one bucket.
type chunk struct {
	// Version is the version that wrote the chunk.
	Version uint64 `json:"v"`
	// Hash is the truncated hash of the content in hexadecimal; see hashOf.
	Hash string `json:"h"`
	// Parts is the number of objects that hold the chunk.
	Parts int `json:"n"`
}

// historyEntry is an earlier version.
type historyEntry struct {
	Version uint64 `json:"version"`
	ApplyID string `json:"apply_id"`
	// Retired holds the keys that the version referenced and its successor does not.
	Retired []string `json:"retired,omitempty"`
}

// key returns the key of one part of a chunk.
func (c chunk) key(bucket, part int) string {
	return fmt.Sprintf("%s%d/%02x-%s-%d", chunkPrefix, c.Version, bucket, c.Hash, part)
}

// keyVersion returns the version in a chunk's key, and false for another key.
func keyVersion(key string) (uint64, bool) {
	var v uint64
	n, err := fmt.Sscanf(strings.TrimPrefix(key, chunkPrefix), "%d/", &v)
	return v, err == nil && n == 1
}

// chunkKeys returns the keys of all chunks that the root references.
func (r root) chunkKeys() map[string]bool {
	out := make(map[string]bool, len(r.Chunks))
	for b, c := range r.Chunks {
		for p := range c.Parts {
			out[c.key(b, p)] = true
		}
	}
	return out
}

// containsApply reports whether the apply with the given id made this version or one
// of those in the root's history.
func (r root) containsApply(id string) bool {
	if r.ApplyID == id {
		return true
	}
	for _, h := range r.History {
		if h.ApplyID == id {
			return true
		}
	}
	return false
}

// coversVersion reports whether the root knows which apply made version v.
func (r root) coversVersion(v uint64) bool {
	if v >= r.Version {
		return v == r.Version
	}
	return len(r.History) > 0 && r.History[len(r.History)-1].Version <= v
}

// bucketOf returns the bucket of the service with the given name.
func bucketOf(service string) int {
	sum := sha256.Sum256([]byte(service))
	return int(sum[0])
}

func hashOf(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:hashBytes])
}

// encodeBucket returns the compressed JSON of services.
func encodeBucket(services []*config.Service) ([]byte, error) {
	return compressJSON(services)
}

func decodeBucket(b []byte) ([]*config.Service, error) {
	var services []*config.Service
	if err := decompressJSON(b, &services); err != nil {
		return nil, err
	}
	return services, nil
}

func compressJSON(v any) ([]byte, error) {
	var buf bytes.Buffer
	w := gzip.NewWriter(&buf)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress configuration: %w", err)
	}
	return buf.Bytes(), nil
}

func decompressJSON(b []byte, out any) error {
	r, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	if err := json.NewDecoder(io.LimitReader(r, maxBucketBytes)).Decode(out); err != nil {
		return fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return nil
}

func decodeRoot(obj platform.Object) (root, error) {
	var r root
	if err := decompressJSON(obj.Value, &r); err != nil {
		return root{}, fmt.Errorf("root: %w", err)
	}
	if r.Format != format {
		return root{}, fmt.Errorf("root: %w: format %d, expected %d", ErrCorrupt, r.Format, format)
	}
	return r, nil
}
