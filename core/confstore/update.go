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

// Update is a step from one version to a greater one.
type Update struct {
	// Base is the version of the snapshot before the step; 0 for none.
	Base     uint64
	Snapshot *config.Snapshot
	// Touched names, in order, every service that was added, changed or removed
	// by any version of the step, even if a later one undid the change.
	Touched []string
	// Complete is false if the store no longer tells what the versions within
	// the step changed. Touched is then empty.
	Complete bool
}

// LoadUpdate is Load for a host that passes changes on to its peers.
func LoadUpdate(ctx context.Context, store platform.Store, have *config.Snapshot) (Update, error) {
	state, err := Load(ctx, store, have)
	if err != nil {
		return Update{}, err
	}
	return describeUpdate(ctx, store, state, have)
}

// describeUpdate finds the services that the step from have to state touched. If
// the step spans several versions it also reads the chunks that were written
// and replaced within the step.
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
		// The chunks were removed meanwhile, so the step can't be described.
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

// diffNames returns the names of the services that differ.
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

// servicesEqual compares services; nil stands for a service that does not exist.
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

// intermediateChanges returns the names of services that a version within the step
// held in another form than the last version.
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

// retiredChunks returns the chunks that a version's retired keys belong to, by
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
