package h1

// maxIdleBufferBytes is the capacity above which the buffer of an InputBuffer is freed when it becomes empty.
const maxIdleBufferBytes = 1 << 10

// InputBuffer keeps the bytes that a decoder has not consumed yet until more arrive. The zero value is ready for use.
type InputBuffer struct{ pending []byte }

// Len returns the number of bytes kept.
func (b *InputBuffer) Len() int { return len(b.pending) }

// Process calls consume with the bytes kept and p behind them. consume returns how many bytes from the front it has
// consumed; the others are kept for the next call.
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
		b.pending = b.pending[:copy(b.pending, b.pending[consumed:])]
	default:
		b.pending = append(b.pending, p[consumed:]...)
	}
}

// clear empties the buffer, and frees it if it has grown large.
func (b *InputBuffer) clear() {
	if cap(b.pending) > maxIdleBufferBytes {
		b.pending = nil
	}
	b.pending = b.pending[:0]
}
