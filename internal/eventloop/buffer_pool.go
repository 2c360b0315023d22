package eventloop

const (
	pooledBufferBytes    = 4 << 10  // initial capacity of a pooled buffer
	maxPooledBufferBytes = 32 << 10 // larger buffers are left to the garbage collector
	maxPooledBuffers     = 128      // buffers kept for reuse
)

// bufferPool keeps output buffers for reuse. The zero value is ready for use.
type bufferPool struct{ free [][]byte }

// get returns an empty buffer.
func (p *bufferPool) get() []byte {
	if n := len(p.free); n > 0 {
		buffer := p.free[n-1]
		p.free = p.free[:n-1]
		return buffer
	}
	return make([]byte, 0, pooledBufferBytes)
}

// put returns a buffer to the pool. The caller must not use the buffer afterwards. A nil buffer is ignored.
func (p *bufferPool) put(buffer []byte) {
	if cap(buffer) > 0 && cap(buffer) <= maxPooledBufferBytes && len(p.free) < maxPooledBuffers {
		p.free = append(p.free, buffer[:0])
	}
}
