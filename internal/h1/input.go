package h1

const (
	// maxIdleBufferBytes is the largest capacity that an empty InputBuffer keeps.
	maxIdleBufferBytes = 1 << 10
	// shrinkDivisor divides the capacity of an InputBuffer into the size of its content below which it shrinks.
	shrinkDivisor = 4
)

// InputBuffer keeps the bytes that a decoder has not consumed until more arrive. The zero value is ready for use.
type InputBuffer struct{ pending []byte }

// Len returns the number of kept bytes.
func (b *InputBuffer) Len() int { return len(b.pending) }

// Bytes returns the kept bytes, which are valid until the next call of another method.
func (b *InputBuffer) Bytes() []byte { return b.pending }

// Cap returns the size of the memory that the buffer holds.
func (b *InputBuffer) Cap() int { return cap(b.pending) }

// Append keeps p behind the bytes that are kept already.
func (b *InputBuffer) Append(p []byte) { b.pending = append(b.pending, p...) }

// Truncate drops all but the first n kept bytes, and the memory that they do not need.
func (b *InputBuffer) Truncate(n int) {
	if n == 0 {
		b.clear()
		return
	}
	b.pending = append(make([]byte, 0, n), b.pending[:n]...)
}

// Process calls consume with the kept bytes followed by p. consume returns how many bytes it has consumed from the
// front; the rest is kept for the next call.
func (b *InputBuffer) Process(p []byte, consume func(p []byte) int) {
	if len(b.pending) > 0 {
		b.pending = append(b.pending, p...)
		p = b.pending
	}
	consumed := consume(p)
	switch {
	case consumed == len(p):
		b.clear()
	case len(b.pending) > 0:
		b.keep(b.pending[consumed:])
	default:
		b.pending = append(b.pending, p[consumed:]...)
	}
}

// keep keeps rest, which is the end of the buffer. It frees most of a large buffer that rest does not need.
func (b *InputBuffer) keep(rest []byte) {
	if cap(b.pending) > maxIdleBufferBytes && len(rest) < cap(b.pending)/shrinkDivisor {
		b.pending = append(make([]byte, 0, len(rest)), rest...)
		return
	}
	b.pending = b.pending[:copy(b.pending, rest)]
}

// clear empties the buffer and frees its memory if it exceeds maxIdleBufferBytes.
func (b *InputBuffer) clear() {
	if cap(b.pending) > maxIdleBufferBytes {
		b.pending = nil
	}
	b.pending = b.pending[:0]
}
