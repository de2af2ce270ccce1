package fetch

import (
	"sync"

	"github.com/yuccalb/yuccalb/internal/core/config"
)

// Limits on the patches that are kept for peers.
const (
	maxPatches = 32
	// maxPatchOrgs is the largest number of organisations in all patches together. A
	// peer that is further behind gets the whole configuration.
	maxPatchOrgs = 2000
)

// current is the configuration in force with the patches from earlier versions to it.
// It is immutable.
type current struct {
	set *config.Set
	// patches lead from an earlier version to set, each applying to the result of the
	// one before.
	patches []*config.Patch
	// encoded returns the encoded set. It is computed when the first peer needs it.
	encoded func() []byte
}

// next returns the state after set was put in force. patch is nil if set was not
// received as a patch. A nil receiver stands for no configuration.
func (c *current) next(set *config.Set, patch *config.Patch) *current {
	n := &current{set: set, encoded: sync.OnceValue(set.Encode)}
	if c == nil {
		return n
	}
	if patch == nil || patch.From != c.set.Version() {
		patch = config.NewPatch(c.set, set)
	}
	n.patches = append(append(n.patches, c.patches...), patch)
	total := 0
	for i := len(n.patches) - 1; i >= 0; i-- {
		total += len(n.patches[i].Orgs) + len(n.patches[i].Removed)
		if total > maxPatchOrgs || len(n.patches)-i > maxPatches {
			n.patches = n.patches[i+1:]
			break
		}
	}
	return n
}

// patchFrom returns the patch from version have to the one in force, or nil if it is
// not available.
func (c *current) patchFrom(have uint64) *config.Patch {
	var composed *config.Patch
	for _, p := range c.patches {
		if composed == nil {
			if p.From == have {
				composed = p
			}
			continue
		}
		var err error
		if composed, err = composed.Compose(p); err != nil {
			return nil
		}
	}
	return composed
}
