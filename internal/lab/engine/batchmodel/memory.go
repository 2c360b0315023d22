package batchmodel

import (
	"slices"

	"docksail/internal/indexedheap"
)

// BlockHash identifies the content of a block and of all blocks before it in the prompt. 0 means no known content.
type BlockHash uint64

// ChainHash returns the hash of a block that follows the block with hash previous and whose text is identified by
// key. It is never 0.
func ChainHash(previous BlockHash, key uint64) BlockHash {
	x := uint64(previous) ^ key*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	if x ^= x >> 31; x == 0 {
		x = 1
	}
	return BlockHash(x)
}

// block is the unit in which memory is allocated.
type block struct {
	hash       BlockHash // 0: not shareable, because it is only partly filled or belongs to an answer
	refs       int
	releasedAt uint64 // value of Memory.clock when the last reference was released
	heapIndex  int    // position in Memory.unused
}

// Memory is the KV memory of a server, in reference-counted blocks. Blocks with known content stay cached after their
// release until they are evicted to make room. Create it with NewMemory.
type Memory struct {
	BlockTokens int // number of tokens in a block
	blocks      []block
	free        []int32 // indexes of blocks without references and without content
	byHash      map[BlockHash]int32
	unused      indexedheap.Heap[*block] // cached blocks without references; the least recently used one is the minimum
	clock       uint64                   // number of times a block became unused; orders the unused blocks
	Evictions   uint64
}

// NewMemory returns memory for the given number of tokens, in blocks of blockTokens each.
func NewMemory(tokens, blockTokens int) *Memory {
	m := &Memory{
		BlockTokens: blockTokens,
		blocks:      make([]block, tokens/blockTokens),
		byHash:      make(map[BlockHash]int32),
	}
	m.unused.Less = func(a, b *block) bool { return a.releasedAt < b.releasedAt }
	m.unused.Index = func(b *block) *int { return &b.heapIndex }
	for i := range slices.Backward(m.blocks) {
		m.free = append(m.free, int32(i))
	}
	return m
}

// Available returns the number of blocks that can be allocated, which includes cached blocks without references.
func (m *Memory) Available() int { return len(m.free) + m.unused.Len() }

// Blocks returns the total number of blocks.
func (m *Memory) Blocks() int { return len(m.blocks) }

// InUse returns the number of blocks with references.
func (m *Memory) InUse() int { return len(m.blocks) - m.Available() }

// CachedBlocks returns the number of consecutive blocks from the start of the chain that are in memory.
func (m *Memory) CachedBlocks(chain []BlockHash) int {
	for i, hash := range chain {
		if _, ok := m.byHash[hash]; !ok {
			return i
		}
	}
	return len(chain)
}

// Allocate appends n blocks to dst, and returns dst and the number of them that were cached. Cached blocks at the
// start of the chain are shared; the others are free blocks, or replace the least recently used cached blocks. If
// there are not enough blocks, Allocate allocates none and returns false.
func (m *Memory) Allocate(dst []int32, chain []BlockHash, n int) ([]int32, int, bool) {
	cached := min(m.CachedBlocks(chain), n)
	unused := 0
	for _, hash := range chain[:cached] {
		if m.blocks[m.byHash[hash]].refs == 0 {
			unused++
		}
	}
	if n-cached > m.Available()-unused {
		return dst, 0, false
	}
	// Cached blocks are referenced first, so that allocating the others does not evict them.
	for _, hash := range chain[:cached] {
		i := m.byHash[hash]
		m.unused.Remove(&m.blocks[i])
		m.blocks[i].refs++
		dst = append(dst, i)
	}
	for range n - cached {
		dst = append(dst, m.allocateBlock())
	}
	return dst, cached, true
}

// allocateBlock returns a block with one reference and without content. At least one block must be available.
func (m *Memory) allocateBlock() int32 {
	var i int32
	if n := len(m.free); n > 0 {
		i, m.free = m.free[n-1], m.free[:n-1]
	} else {
		i = m.evictOldest()
		m.Evictions++
	}
	m.blocks[i] = block{refs: 1}
	return i
}

// evictOldest removes the least recently used cached block from the cache and returns its index.
func (m *Memory) evictOldest() int32 {
	oldest := m.unused.Min()
	m.unused.Remove(oldest)
	i := m.byHash[oldest.hash]
	delete(m.byHash, oldest.hash)
	return i
}

// SetContent sets the content of a block, so that later allocations can share it. It has no effect if the block
// already has content or if another block has the same content.
func (m *Memory) SetContent(i int32, hash BlockHash) {
	if _, ok := m.byHash[hash]; !ok && m.blocks[i].hash == 0 {
		m.blocks[i].hash = hash
		m.byHash[hash] = i
	}
}

// Release releases one reference to each block of a chain. Blocks with content stay cached after their last reference
// is released. The last blocks of the chain are evicted first, because they are useless without those before them.
func (m *Memory) Release(chain []int32) {
	for _, i := range slices.Backward(chain) {
		b := &m.blocks[i]
		b.refs--
		switch {
		case b.refs > 0:
		case b.hash == 0:
			m.free = append(m.free, i)
		default:
			m.clock++
			b.releasedAt = m.clock
			m.unused.PushOrFix(b)
		}
	}
}

// EvictUnused evicts all cached blocks without references, as after a restart of the process.
func (m *Memory) EvictUnused() {
	for m.unused.Len() > 0 {
		i := m.evictOldest()
		m.blocks[i] = block{}
		m.free = append(m.free, i)
	}
}
