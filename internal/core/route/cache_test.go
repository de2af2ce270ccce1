package route

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"
)

// TestCacheBound guards against a cache index that grows with the number of
// prompts, whether requests end or not, and against one whose capacity does not
// follow the cached-token counts of responses.
func TestCacheBound(t *testing.T) {
	const capacity = 200 // blocks
	now := time.Unix(1e9, 0)
	for _, end := range []bool{true, false} {
		cfg := DefaultConfig("west")
		cfg.Cache = capacity * BlockTokens
		table := NewTable(cfg, rand.New(rand.NewPCG(1, 1)))
		table.SetServers([]Server{{Addr: netip.MustParseAddrPort("127.0.0.1:9000")}}, now)
		c := table.cache
		for i := range 500 {
			prompt := fmt.Appendf(nil, "%-*d", MaxBlocks*BlockBytes, i)
			choice, err := table.Pick(&Request{Chain: Chain(prompt), Prompt: 4096, Regions: []string{"west"}}, now)
			if err != nil {
				t.Fatal(err)
			}
			limit := 2*capacity + MaxBlocks
			if end {
				table.Done(choice, Result{Aborted: i%2 == 0, Cached: -1}, now)
				limit = capacity
			}
			if int(c.caches[0].blocks) > limit || len(c.prefixByDigest) > limit || len(c.entryByKey) != len(c.prefixByDigest) || len(c.pool) > limit+2*MaxBlocks {
				t.Fatalf("ended %v, request %d: %d blocks, %d prefixes, %d entries, %d allocated; want at most %d",
					end, i, c.caches[0].blocks, len(c.prefixByDigest), len(c.entryByKey), len(c.pool), limit)
			}
		}
	}
	c := newCacheIndex(maxBlocks * BlockTokens)
	c.grow(64)
	c.divideCapacity(64)
	if got := c.caches[0].capacity * 64; got > maxBlocks {
		t.Errorf("64 servers have %d blocks, want at most %d", got, maxBlocks)
	}
	c = newCacheIndex(capacity * BlockTokens)
	c.grow(1)
	for range 100 {
		c.adjustCapacity(0, 10, 0)
	}
	if got := c.caches[0].capacity; got >= capacity/2 || got < 1 {
		t.Errorf("capacity %d after responses without cached tokens, want less than half of %d", got, capacity)
	}
	for range 400 {
		c.adjustCapacity(0, 10, 10)
	}
	if got := c.caches[0].capacity; got != capacity {
		t.Errorf("capacity %d after responses with the expected cached tokens, want %d", got, capacity)
	}
}
