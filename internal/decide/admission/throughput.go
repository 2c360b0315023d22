package admission

import "math"

const (
	// throughputMemory is the time constant of the throughput measurement in latency objectives, long enough that a
	// single gap matters little.
	throughputMemory = 4
	// minBusyPart is the part of the time constant for which requests must have waited before there is a measurement.
	minBusyPart = 1.0 / 64
)

// throughputMeter measures the cost that is sent in a nanosecond while requests wait. Only then does it show what the
// fleet behind the queue can take. Older measurements decay exponentially.
type throughputMeter struct {
	timeConstant Nanos
	busySince    Nanos   // requests wait, and are accounted for up to then; 0 if none waits
	busyTime     float64 // nanoseconds in which requests waited, decayed
	cost         float64 // sent in that time, decayed
}

// start records that requests wait from now on.
func (m *throughputMeter) start(now Nanos) { m.busySince = now }

// stop records that no request waits any more.
func (m *throughputMeter) stop(now Nanos) {
	m.advance(now)
	m.busySince = 0
}

// advance accounts for the time up to now.
func (m *throughputMeter) advance(now Nanos) {
	if m.busySince == 0 || now <= m.busySince {
		return
	}
	elapsed := float64(now - m.busySince)
	decay := math.Exp(-elapsed / float64(m.timeConstant))
	m.busyTime = m.busyTime*decay + elapsed
	m.cost *= decay
	m.busySince = now
}

// record accounts for a request of the given cost that was sent; it is ignored while no request waits.
func (m *throughputMeter) record(now Nanos, cost float64) {
	if m.busySince == 0 {
		return
	}
	m.advance(now)
	m.cost += cost
}

// costPerNano returns the throughput up to now; 0 if requests have hardly had to wait yet.
func (m *throughputMeter) costPerNano(now Nanos) float64 {
	m.advance(now)
	if m.busyTime < float64(m.timeConstant)*minBusyPart {
		return 0
	}
	return m.cost / m.busyTime
}

// estimatedWait returns how long a new request of the given cost would wait in flow f of tenant t: until the requests
// before it in its flow are admitted at the flow's share of the throughput, but no longer than until all waiting
// requests are. f is nil if the flow does not exist yet.
func (q *fairQueue) estimatedWait(now Nanos, t *tenant, f *flow, cost float64) Nanos {
	throughput := q.throughput.costPerNano(now)
	if throughput <= 0 || len(q.requests) == 0 {
		return 0
	}
	flowCost, flowWeight := cost, 1.0
	if f != nil {
		flowWeight = f.weight
		for _, w := range f.requests.Items() {
			flowCost += w.cost
		}
	}
	otherFlowWeights := 0.0
	for _, other := range t.activeFlows.Items() {
		if other != f {
			otherFlowWeights += other.weight
		}
	}
	share := t.Weight / q.competingWeights(t) * flowWeight / (otherFlowWeights + flowWeight)
	return Nanos(min(q.waitingCost+cost, flowCost/share) / throughput)
}

// competingWeights returns the sum of the weights of t and of the other tenants with waiting requests.
func (q *fairQueue) competingWeights(t *tenant) float64 {
	weights := 0.0
	for _, other := range q.tenants {
		if other.waiting > 0 || other == t {
			weights += other.Weight
		}
	}
	return weights
}
