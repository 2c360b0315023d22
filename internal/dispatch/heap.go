package dispatch

import (
	"runtime/metrics"

	"docksail/internal/eventloop"
)

// heapSampleInterval is the minimum time between two readings of the heap's size, in nanoseconds. A reading takes too
// long to be made in each iteration of the event loop.
const heapSampleInterval = 100e6

// heapMonitor samples the size of the heap if it is limited.
type heapMonitor struct {
	maxBytes  uint64 // 0 = not limited
	lastBytes uint64
	sampledAt eventloop.Nanos
	sample    [1]metrics.Sample
}

// bytesInUse returns the size of the heap at the last sample; 0 if the heap is not limited.
func (m *heapMonitor) bytesInUse(now eventloop.Nanos) uint64 {
	if m.maxBytes > 0 && (m.sampledAt == 0 || now-m.sampledAt >= heapSampleInterval) {
		m.sampledAt, m.sample[0].Name = now, "/memory/classes/heap/objects:bytes"
		metrics.Read(m.sample[:])
		m.lastBytes = m.sample[0].Value.Uint64()
	}
	return m.lastBytes
}
