package batchmodel

import (
	"testing"

	"pgregory.net/rapid"
)

// allocation is a chain that a test has allocated.
type allocation struct {
	blocks []int32
	chain  []BlockHash
}

// allocateRandom allocates a random chain with some blocks after it. It returns false if there is not enough memory.
func allocateRandom(t *rapid.T, m *Memory) (allocation, bool) {
	var chain []BlockHash
	h := BlockHash(0)
	for range rapid.IntRange(0, 6).Draw(t, "chain") {
		h = ChainHash(h, uint64(rapid.IntRange(1, 3).Draw(t, "text")))
		chain = append(chain, h)
	}
	n := len(chain) + rapid.IntRange(0, 3).Draw(t, "more")
	want, available := m.CachedBlocks(chain), m.Available()
	blocks, cached, ok := m.Allocate(nil, chain, n)
	if !ok {
		if len(blocks) > 0 || m.Available() != available {
			t.Fatal("an allocation that failed changed something")
		}
		return allocation{}, false
	}
	if cached != want || len(blocks) != n {
		t.Fatalf("%d blocks, %d cached, want %d and %d", len(blocks), cached, n, want)
	}
	for i, h := range chain {
		m.SetContent(blocks[i], h)
	}
	return allocation{blocks, chain}, true
}

// checkReferences compares the reference counts of the memory with the allocations.
func checkReferences(t *rapid.T, m *Memory, allocations []allocation) {
	users := map[int32]int{}
	for _, a := range allocations {
		seen := map[int32]bool{}
		for i, b := range a.blocks {
			if seen[b] {
				t.Fatalf("block %d twice in one allocation", b)
			}
			seen[b] = true
			users[b]++
			if i < len(a.chain) && m.CachedBlocks(a.chain[:i+1]) != i+1 {
				t.Fatal("a block in use was evicted")
			}
		}
	}
	for b, n := range users {
		if m.blocks[b].refs != n {
			t.Fatalf("block %d has %d references, want %d", b, m.blocks[b].refs, n)
		}
		if n > 1 && m.blocks[b].hash == 0 {
			t.Fatalf("block %d without content is shared", b)
		}
	}
	if m.InUse() != len(users) {
		t.Fatalf("%d blocks in use by count, want %d", m.InUse(), len(users))
	}
}

// TestMemoryProperties plays random allocations and releases: counts add up, a block in use is shared only for the same
// content, and cached content is found as long as it was not evicted.
func TestMemoryProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewMemory(rapid.IntRange(4, 60).Draw(t, "blocks")*16, 16)
		var allocations []allocation
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			if len(allocations) == 0 || rapid.IntRange(0, 2).Draw(t, "what") > 0 {
				a, ok := allocateRandom(t, m)
				if !ok {
					continue
				}
				allocations = append(allocations, a)
			} else {
				i := rapid.IntRange(0, len(allocations)-1).Draw(t, "which")
				a := allocations[i]
				m.Release(a.blocks)
				if got := m.CachedBlocks(a.chain); got < len(a.chain) {
					t.Fatalf("%d of %d blocks found right after their release", got, len(a.chain))
				}
				allocations = append(allocations[:i], allocations[i+1:]...)
			}
			checkReferences(t, m, allocations)
		}
		for _, a := range allocations {
			m.Release(a.blocks)
		}
		m.EvictUnused()
		if m.Available() != m.Blocks() || len(m.byHash) != 0 {
			t.Fatalf("%d of %d blocks available, %d cached, after all was released and evicted",
				m.Available(), m.Blocks(), len(m.byHash))
		}
	})
}

// TestEvictsLeastRecentlyUsed checks that the prefix used least recently is evicted, its last block first.
func TestEvictsLeastRecentlyUsed(t *testing.T) {
	m := NewMemory(6*16, 16)
	chain := func(key uint64) []BlockHash {
		a := ChainHash(0, key)
		return []BlockHash{a, ChainHash(a, key), ChainHash(ChainHash(a, key), key)}
	}
	use := func(key uint64) {
		c := chain(key)
		blocks, _, ok := m.Allocate(nil, c, 3)
		if !ok {
			t.Fatal("no memory available")
		}
		for i := range c {
			m.SetContent(blocks[i], c[i])
		}
		m.Release(blocks)
	}
	use(1)
	use(2)
	use(1)
	blocks, _, ok := m.Allocate(nil, nil, 1)
	if !ok || m.CachedBlocks(chain(1)) != 3 || m.CachedBlocks(chain(2)) != 2 {
		t.Errorf("after one allocation %d and %d blocks are cached, want 3 of the last used prefix and 2 of the other",
			m.CachedBlocks(chain(1)), m.CachedBlocks(chain(2)))
	}
	m.Release(blocks)
}
