package dispatch

import (
	"runtime/metrics"

	"docksail/internal/eventloop"
)

// heapSampleInterval is the time between two readings of the heap's size, in nanoseconds. Each takes some microseconds.
const heapSampleInterval = 100e6

// heapMonitor samples the size of the heap if it is bounded.
type heapMonitor struct {
	maxBytes  uint64 // 0 = not bounded
	lastBytes uint64
	sampledAt eventloop.Nanos
	sample    [1]metrics.Sample
}

// bytesInUse returns the size of the heap at the last sample; 0 if the heap is not bounded.
func (m *heapMonitor) bytesInUse(now eventloop.Nanos) uint64 {
	if m.maxBytes > 0 && (m.sampledAt == 0 || now-m.sampledAt >= heapSampleInterval) {
		m.sampledAt, m.sample[0].Name = now, "/memory/classes/heap/objects:bytes"
		metrics.Read(m.sample[:])
		m.lastBytes = m.sample[0].Value.Uint64()
	}
	return m.lastBytes
}
