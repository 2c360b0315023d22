package batchmodel

import (
	"testing"

	"pgregory.net/rapid"
)

// allocation holds the blocks allocated for a chain.
type allocation struct {
	blocks []int32
	chain  []BlockHash
}

// allocateRandom allocates a random chain and up to three blocks after it. It returns false if there is not enough
// memory.
func allocateRandom(t *rapid.T, m *Memory) (allocation, bool) {
	var chain []BlockHash
	h := BlockHash(0)
	for range rapid.IntRange(0, 6).Draw(t, "chain") {
		h = ChainHash(h, uint64(rapid.IntRange(1, 3).Draw(t, "key")))
		chain = append(chain, h)
	}
	n := len(chain) + rapid.IntRange(0, 3).Draw(t, "extra blocks")
	want, available := m.CachedBlocks(chain), m.Available()
	blocks, cached, ok := m.Allocate(nil, chain, n)
	if !ok {
		if len(blocks) > 0 || m.Available() != available {
			t.Fatal("a failed allocation changed the memory")
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
		t.Fatalf("%d blocks in use, want %d", m.InUse(), len(users))
	}
}

// TestMemoryProperties checks, for random allocations and releases, that counts are consistent, that blocks in use are
// shared only for the same content, and that cached content is found until it is evicted.
func TestMemoryProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewMemory(rapid.IntRange(4, 60).Draw(t, "blocks")*16, 16)
		var allocations []allocation
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			if len(allocations) == 0 || rapid.IntRange(0, 2).Draw(t, "operation") > 0 {
				a, ok := allocateRandom(t, m)
				if !ok {
					continue
				}
				allocations = append(allocations, a)
			} else {
				i := rapid.IntRange(0, len(allocations)-1).Draw(t, "released allocation")
				a := allocations[i]
				m.Release(a.blocks)
				if got := m.CachedBlocks(a.chain); got < len(a.chain) {
					t.Fatalf("%d of %d blocks cached right after their release", got, len(a.chain))
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
			t.Fatalf("%d of %d blocks available, %d cached, after releasing and evicting all",
				m.Available(), m.Blocks(), len(m.byHash))
		}
	})
}

// TestEvictsLeastRecentlyUsed checks that the least recently used prefix is evicted, starting with its last block.
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
		t.Errorf("%d and %d blocks cached after one allocation, want 3 of the most recent prefix and 2 of the other",
			m.CachedBlocks(chain(1)), m.CachedBlocks(chain(2)))
	}
	m.Release(blocks)
}
