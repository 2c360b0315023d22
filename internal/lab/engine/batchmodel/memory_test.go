package batchmodel

import (
	"testing"

	"pgregory.net/rapid"
)

// TestMemory plays random takes and drops: counts add up, what is in use is never given twice unless it is the same
// text, and what is kept is found as long as it was not evicted.
func TestMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewMemory(rapid.IntRange(4, 60).Draw(t, "blocks")*16, 16)
		type holding struct {
			list  []int32
			chain []BlockHash
		}
		var held []holding
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			if len(held) == 0 || rapid.IntRange(0, 2).Draw(t, "what") > 0 {
				var chain []BlockHash
				h := BlockHash(0)
				for range rapid.IntRange(0, 6).Draw(t, "chain") {
					h = ChainHash(h, uint64(rapid.IntRange(1, 3).Draw(t, "text")))
					chain = append(chain, h)
				}
				n := len(chain) + rapid.IntRange(0, 3).Draw(t, "more")
				want, free := m.CachedBlocks(chain), m.Available()
				list, kept, ok := m.Allocate(nil, chain, n)
				if !ok {
					if len(list) > 0 || m.Available() != free {
						t.Fatal("a take that failed changed something")
					}
					continue
				}
				if kept != want || len(list) != n {
					t.Fatalf("%d blocks, %d kept, want %d and %d", len(list), kept, n, want)
				}
				for i, h := range chain {
					m.SetContent(list[i], h)
				}
				held = append(held, holding{list, chain})
			} else {
				k := rapid.IntRange(0, len(held)-1).Draw(t, "which")
				m.Release(held[k].list)
				if got := m.CachedBlocks(held[k].chain); got < len(held[k].chain) {
					t.Fatalf("%d of %d blocks found right after they were let go", got, len(held[k].chain))
				}
				held = append(held[:k], held[k+1:]...)
			}
			used := map[int32]int{}
			for _, h := range held {
				seen := map[int32]bool{}
				for i, b := range h.list {
					if seen[b] {
						t.Fatalf("block %d twice in one holding", b)
					}
					seen[b] = true
					used[b]++
					if i < len(h.chain) && m.CachedBlocks(h.chain[:i+1]) != i+1 {
						t.Fatal("a block in use was evicted")
					}
				}
			}
			for b, n := range used {
				if m.blocks[b].refs != n {
					t.Fatalf("block %d has %d users, counted %d", b, n, m.blocks[b].refs)
				}
				if n > 1 && m.blocks[b].hash == 0 {
					t.Fatalf("block %d of no name is shared", b)
				}
			}
			if m.InUse() != len(used) {
				t.Fatalf("%d blocks in use by count, want %d", m.InUse(), len(used))
			}
		}
		for _, h := range held {
			m.Release(h.list)
		}
		m.EvictUnused()
		if m.Available() != m.Blocks() || len(m.byHash) != 0 {
			t.Fatalf("%d of %d blocks free, %d names kept when all is gone", m.Available(), m.Blocks(), len(m.byHash))
		}
	})
}

// TestLeastRecentlyUsed: the beginning used least lately makes room, its end before its begin.
func TestLeastRecentlyUsed(t *testing.T) {
	m := NewMemory(6*16, 16)
	chain := func(key uint64) []BlockHash {
		a := ChainHash(0, key)
		return []BlockHash{a, ChainHash(a, key), ChainHash(ChainHash(a, key), key)}
	}
	use := func(key uint64) {
		c := chain(key)
		list, _, ok := m.Allocate(nil, c, 3)
		if !ok {
			t.Fatal("no room")
		}
		for i := range c {
			m.SetContent(list[i], c[i])
		}
		m.Release(list)
	}
	use(1)
	use(2)
	use(1)
	list, _, ok := m.Allocate(nil, nil, 1)
	if !ok || m.CachedBlocks(chain(1)) != 3 || m.CachedBlocks(chain(2)) != 2 {
		t.Errorf("after one block was needed %d and %d are kept, want 3 of the last used and 2 of the other", m.CachedBlocks(chain(1)), m.CachedBlocks(chain(2)))
	}
	m.Release(list)
}
