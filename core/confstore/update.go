package confstore

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/gypsumgap/gypsumgap/core/config"
	"github.com/gypsumgap/gypsumgap/core/platform"
)

// Update is the transition from one version of the configuration to a later one.
type Update struct {
	// Base is the version of the snapshot before the update. It is 0 if there was
	// none or if the store no longer records that version.
	Base     uint64
	Snapshot *config.Snapshot
	// Touched holds the sorted names of all services that any version of the
	// update added, changed or removed, even if a later one reverted the change.
	Touched []string
	// Complete is false if the store no longer records what the intermediate
	// versions changed. Touched is then empty.
	Complete bool
}

// LoadUpdate loads the current configuration like Load and returns it with the
// names of the services changed since have, for a host that forwards changes to
// its peers.
func LoadUpdate(ctx context.Context, store platform.Store, have *config.Snapshot) (Update, error) {
	state, err := Load(ctx, store, have)
	if err != nil {
		return Update{}, err
	}
	return describeUpdate(ctx, store, state, have)
}

// describeUpdate returns the update from have to state. If the update spans
// several versions, it also reads the chunks that intermediate versions wrote
// and later ones replaced.
func describeUpdate(ctx context.Context, store platform.Store, state *State, have *config.Snapshot) (Update, error) {
	u := Update{Snapshot: state.Snapshot}
	if have == nil || have.Version() == 0 || !state.root.coversVersion(have.Version()) {
		return u, nil
	}
	u.Base = have.Version()
	touched, err := diffNames(have, state.Snapshot)
	if err != nil {
		return Update{}, err
	}
	intermediate, err := intermediateChanges(ctx, store, state, have)
	if errors.Is(err, platform.ErrNotFound) {
		// The chunks have been removed, so the intermediate changes are unknown.
		return u, nil
	}
	if err != nil {
		return Update{}, err
	}
	touched = append(touched, intermediate...)
	slices.Sort(touched)
	u.Touched = slices.Compact(touched)
	u.Complete = true
	return u, nil
}

// diffNames returns the sorted names of the services that differ.
func diffNames(from, to *config.Snapshot) ([]string, error) {
	names := slices.Concat(from.Names(), to.Names())
	slices.Sort(names)
	var out []string
	for _, name := range slices.Compact(names) {
		same, err := servicesEqual(from.Service(name), to.Service(name))
		if err != nil {
			return nil, err
		}
		if !same {
			out = append(out, name)
		}
	}
	return out, nil
}

// servicesEqual compares the encodings of services; nil means that a service
// does not exist.
func servicesEqual(a, b *config.Service) (bool, error) {
	if a == b {
		return true, nil
	}
	if a == nil || b == nil {
		return false, nil
	}
	encodedA, err := config.EncodeService(a)
	if err != nil {
		return false, err
	}
	encodedB, err := config.EncodeService(b)
	if err != nil {
		return false, err
	}
	return bytes.Equal(encodedA, encodedB), nil
}

// intermediateChanges returns the names of the services that differ between the
// last version of the update and an intermediate one.
func intermediateChanges(ctx context.Context, store platform.Store, state *State, have *config.Snapshot) ([]string, error) {
	var out []string
	for _, h := range state.root.History {
		if h.Version <= have.Version() {
			break
		}
		for b, c := range retiredChunks(h.Retired) {
			if c.Version <= have.Version() {
				continue
			}
			services, err := fetchChunk(ctx, store, b, c)
			if err != nil {
				return nil, err
			}
			names, err := differingNames(services, state.Snapshot)
			if err != nil {
				return nil, err
			}
			out = append(out, names...)
		}
	}
	return out, nil
}

func differingNames(services []*config.Service, from *config.Snapshot) ([]string, error) {
	var out []string
	for _, s := range services {
		same, err := servicesEqual(s, from.Service(s.Name))
		if err != nil {
			return nil, err
		}
		if !same {
			out = append(out, s.Name)
		}
	}
	return out, nil
}

// retiredChunks returns the chunks to which a version's retired keys belong, by
// bucket.
func retiredChunks(keys []string) map[int]chunk {
	out := map[int]chunk{}
	for _, key := range keys {
		var c chunk
		var b, part int
		if _, err := fmt.Sscanf(key, chunkPrefix+"%d/%02x-%16s-%d", &c.Version, &b, &c.Hash, &part); err != nil {
			continue
		}
		c.Parts = max(out[b].Parts, part+1)
		out[b] = c
	}
	return out
}
