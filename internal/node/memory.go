package node

import (
	"runtime/metrics"

	"docksail/internal/decide/memory"
	"docksail/internal/eventloop"
)

// memorySampleInterval is the time between two measurements of the memory in use, in nanoseconds.
const memorySampleInterval = 50e6

// memoryMonitor measures the memory that the process has in use and reports it to the budget.
type memoryMonitor struct {
	budget  *memory.Budget
	loop    *eventloop.Loop
	timer   eventloop.Timer
	samples [3]metrics.Sample // see inUse
}

// newMemoryMonitor returns the monitor of a process that may use the given memory, in bytes.
func newMemoryMonitor(loop *eventloop.Loop, memoryBytes int64) *memoryMonitor {
	m := &memoryMonitor{budget: memory.New(memoryBytes), loop: loop}
	m.budget.MeasureOutput(loop.OutputBytes)
	m.samples[0].Name = "/memory/classes/total:bytes"
	m.samples[1].Name = "/memory/classes/heap/released:bytes"
	m.samples[2].Name = "/memory/classes/heap/objects:bytes"
	m.measure(loop.Now())
	return m
}

// measure measures the memory in use, now and after each memorySampleInterval.
func (m *memoryMonitor) measure(now eventloop.Nanos) {
	metrics.Read(m.samples[:])
	m.budget.SetMeasured(int64(m.inUse()))
	m.loop.SetTimer(&m.timer, now+memorySampleInterval, m.measure)
}

// inUse returns the memory that the Go runtime has mapped and not returned to the system, at the last measurement. The
// program's text is not part of it.
func (m *memoryMonitor) inUse() uint64 {
	return m.samples[0].Value.Uint64() - m.samples[1].Value.Uint64()
}

// heapBytes returns the memory that objects occupied on the heap at the last measurement.
func (m *memoryMonitor) heapBytes() uint64 { return m.samples[2].Value.Uint64() }
