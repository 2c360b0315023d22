package node

import (
	"log/slog"
	"runtime/metrics"

	"docksail/internal/decide/memory"
	"docksail/internal/eventloop"
)

const (
	// memorySampleInterval is the time between two measurements of the memory in use, in nanoseconds.
	memorySampleInterval = 50e6
	// memoryLogInterval is the least time between two records of refusals, in nanoseconds.
	memoryLogInterval = 1e9
)

// memoryMonitor measures the memory that the process has in use and reports it to the budget. It logs what the budget
// has refused.
type memoryMonitor struct {
	budget   *memory.Budget
	loop     *eventloop.Loop
	log      *slog.Logger
	timer    eventloop.Timer
	samples  [3]metrics.Sample // see inUse
	logged   memory.Status     // the state at the last record
	loggedAt eventloop.Nanos
}

// newMemoryMonitor returns the monitor of a process that may use the given memory, in bytes.
func newMemoryMonitor(loop *eventloop.Loop, log *slog.Logger, memoryBytes int64) *memoryMonitor {
	m := &memoryMonitor{budget: memory.New(memoryBytes), loop: loop, log: log}
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
	m.logRefusals(now)
	m.loop.SetTimer(&m.timer, now+memorySampleInterval, m.measure)
}

// logRefusals logs what was refused, and that answers were paused, since the last record.
func (m *memoryMonitor) logRefusals(now eventloop.Nanos) {
	status := m.budget.Status()
	changed := status.Refused != m.logged.Refused || status.Paused != m.logged.Paused
	if !changed || m.loggedAt > 0 && now-m.loggedAt < memoryLogInterval {
		return
	}
	refused := func(use memory.Use) uint64 { return status.Refused[use] - m.logged.Refused[use] }
	m.log.Warn("memory budget reached", "held_bytes", status.HeldBytes, "limit_bytes", status.LimitBytes,
		"measured_bytes", status.MeasuredBytes, "partial_requests_bytes", status.PartialRequests,
		"requests_bytes", status.Requests, "responses_bytes", status.Responses, "output_bytes", status.Output,
		"partial_requests_refused", refused(memory.PartialRequests), "requests_refused", refused(memory.Requests),
		"responses_refused", refused(memory.Responses), "answers_paused", status.Paused-m.logged.Paused)
	m.logged, m.loggedAt = status, max(now, 1)
}

// inUse returns the memory that the Go runtime has mapped and not returned to the system, at the last measurement. The
// program's text is not part of it.
func (m *memoryMonitor) inUse() uint64 {
	return m.samples[0].Value.Uint64() - m.samples[1].Value.Uint64()
}

// heapBytes returns the memory that objects occupied on the heap at the last measurement.
func (m *memoryMonitor) heapBytes() uint64 { return m.samples[2].Value.Uint64() }
