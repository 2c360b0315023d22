package eventloop

const (
	pooledBufferBytes    = 4 << 10  // initial capacity of a pooled buffer
	maxPooledBufferBytes = 32 << 10 // larger buffers are left to the garbage collector
	maxPooledBytes       = 1 << 20  // of all buffers that are kept for reuse
)

// bufferPool keeps output buffers for reuse. The zero value is ready for use.
type bufferPool struct {
	free      [][]byte
	freeBytes int // capacity of free
}

// get returns an empty buffer. One for more bytes than a pooled buffer holds is new, and of just that size.
func (p *bufferPool) get(size int) []byte {
	if size > maxPooledBufferBytes {
		return make([]byte, 0, size)
	}
	if n := len(p.free); n > 0 {
		buffer := p.free[n-1]
		p.free = p.free[:n-1]
		p.freeBytes -= cap(buffer)
		return buffer
	}
	return make([]byte, 0, pooledBufferBytes)
}

// put returns a buffer to the pool. The caller must not use the buffer afterwards. A nil buffer is ignored.
func (p *bufferPool) put(buffer []byte) {
	if cap(buffer) > 0 && cap(buffer) <= maxPooledBufferBytes && p.freeBytes+cap(buffer) <= maxPooledBytes {
		p.free = append(p.free, buffer[:0])
		p.freeBytes += cap(buffer)
	}
}
