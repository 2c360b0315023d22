// Package batchmodel models a model host's inside: continuous batching in steps, memory in blocks with reference counts,
// kept beginnings shared by what stands in them, eviction of the least recently used, and preemption of the newest
// answer when memory runs out. It does no I/O and reads no clock, so it runs behind gRPC on the clock as well as in
// simulated time. Its figures are a model's and measure nothing real.
package batchmodel

import "docksail/internal/indexedheap"

// BlockHash names what stands in a block and all before it.
type BlockHash uint64

// ChainHash gives the hash of a block that follows another and holds a piece of text named by a key.
func ChainHash(before BlockHash, key uint64) BlockHash {
	x := uint64(before) ^ key*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	if x ^= x >> 31; x == 0 {
		x = 1
	}
	return BlockHash(x)
}

// block is one piece of memory.
type block struct {
	hash BlockHash // 0 = of no use to others: part of a block, or made by an answer
	refs int
	used uint64 // when it was last let go of, in order
	at   int    // place among those that may be evicted
}

// Memory is a host's blocks. Make it with NewMemory.
type Memory struct {
	BlockTokens int // tokens of a block
	blocks      []block
	free        []int32
	byHash      map[BlockHash]int32
	idle        indexedheap.Heap[*block] // kept, and nobody's: the least recently used first
	clock       uint64
	Evictions   uint64
}

// NewMemory makes memory for so many tokens in blocks of a size.
func NewMemory(tokens, size int) *Memory {
	m := &Memory{BlockTokens: size, blocks: make([]block, tokens/size), byHash: make(map[BlockHash]int32)}
	m.idle.Less = func(a, b *block) bool { return a.used < b.used }
	m.idle.Index = func(b *block) *int { return &b.at }
	for i := len(m.blocks) - 1; i >= 0; i-- {
		m.free = append(m.free, int32(i))
	}
	return m
}

// Available counts blocks that could be had now, kept ones that nobody uses included.
func (m *Memory) Available() int { return len(m.free) + m.idle.Len() }

// Blocks counts all blocks.
func (m *Memory) Blocks() int { return len(m.blocks) }

// InUse counts blocks that somebody uses.
func (m *Memory) InUse() int { return len(m.blocks) - m.Available() }

// CachedBlocks counts how many blocks of a chain, from its begin, are there.
func (m *Memory) CachedBlocks(chain []BlockHash) int {
	for i, h := range chain {
		if _, ok := m.byHash[h]; !ok {
			return i
		}
	}
	return len(chain)
}

// Allocate gives n blocks: those of the chain that are kept, and fresh ones for the rest, evicting what was used least
// lately. All or none: false if there are too few.
func (m *Memory) Allocate(into []int32, chain []BlockHash, n int) ([]int32, int, bool) {
	kept := min(m.CachedBlocks(chain), n)
	idle := 0
	for _, h := range chain[:kept] {
		if m.blocks[m.byHash[h]].refs == 0 {
			idle++
		}
	}
	if n-kept > m.Available()-idle {
		return into, 0, false
	}
	for _, h := range chain[:kept] { // first, lest they be evicted for the others
		i := m.byHash[h]
		m.idle.Remove(&m.blocks[i])
		m.blocks[i].refs++
		into = append(into, i)
	}
	for range n - kept {
		into = append(into, m.fresh())
	}
	return into, kept, true
}

func (m *Memory) fresh() int32 {
	var i int32
	if n := len(m.free); n > 0 {
		i, m.free = m.free[n-1], m.free[:n-1]
	} else {
		b := m.idle.Min()
		m.idle.Remove(b)
		i = m.byHash[b.hash]
		delete(m.byHash, b.hash)
		m.Evictions++
	}
	m.blocks[i] = block{refs: 1}
	return i
}

// SetContent says what stands in a block from now on, so that others can use it. If another block has the same, that
// one stays the known one.
func (m *Memory) SetContent(i int32, h BlockHash) {
	if _, ok := m.byHash[h]; !ok && m.blocks[i].hash == 0 {
		m.blocks[i].hash = h
		m.byHash[h] = i
	}
}

// Release lets go of blocks. Named ones that nobody uses any more are kept until their room is needed; of several let
// go at once the later in their chain go first, as they are of no use without the earlier.
func (m *Memory) Release(list []int32) {
	for k := len(list) - 1; k >= 0; k-- {
		i := list[k]
		b := &m.blocks[i]
		if b.refs--; b.refs > 0 {
			continue
		}
		if b.hash == 0 {
			m.free = append(m.free, i)
			continue
		}
		m.clock++
		b.used = m.clock
		m.idle.PushOrFix(b)
	}
}

// EvictUnused forgets all that is kept and nobody uses, as a new process has nothing.
func (m *Memory) EvictUnused() {
	for m.idle.Len() > 0 {
		b := m.idle.Min()
		m.idle.Remove(b)
		i := m.byHash[b.hash]
		delete(m.byHash, b.hash)
		m.blocks[i] = block{}
		m.free = append(m.free, i)
	}
}
