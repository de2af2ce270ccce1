package fetch

import (
	"sync"

	"github.com/yuccalb/yuccalb/internal/core/config"
)

// Bounds of the patches that are kept for peers.
const (
	maxPatches = 32
	// maxPatchOrgs is the largest number of organisations in all patches; a
	// peer that lacks more gets the whole configuration.
	maxPatchOrgs = 2000
)

// current is the configuration in force and the way to it. It is immutable.
type current struct {
	set *config.Set
	// patches lead from earlier versions to set, one after the other.
	patches []*config.Patch
	// whole encodes the set once, when the first peer without any asks.
	whole func() []byte
}

// next returns the state after set was put in force. The patch is nil when set
// did not come as one. A nil receiver has no configuration.
func (c *current) next(set *config.Set, patch *config.Patch) *current {
	n := &current{set: set, whole: sync.OnceValue(set.Encode)}
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

// patch returns the way from a version to the one in force, or nil.
func (c *current) patch(have uint64) *config.Patch {
	var sum *config.Patch
	for _, p := range c.patches {
		if sum == nil {
			if p.From == have {
				sum = p
			}
			continue
		}
		var err error
		if sum, err = sum.Compose(p); err != nil {
			return nil
		}
	}
	return sum
}
