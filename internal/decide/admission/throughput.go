package admission

import "math"

const (
	// throughputTimeConstant is the time constant of the throughput measurement, in latency objectives. It is long
	// enough that a single gap has little effect.
	throughputTimeConstant = 4
	// minBusyFraction is the fraction of the time constant for which requests must have waited before there is a
	// measurement.
	minBusyFraction = 1.0 / 64
)

// throughputMeter measures the cost of the requests sent per nanosecond while others wait. Only then is it determined
// by the capacity of the fleet behind the queue rather than by the arrival rate. Older measurements decay
// exponentially with the time in which requests wait.
type throughputMeter struct {
	timeConstant   Nanos
	isBusy         bool    // requests wait
	accountedUntil Nanos   // time up to which busyTime and cost are accounted for, if isBusy
	busyTime       float64 // nanoseconds in which requests waited, decayed
	cost           float64 // cost of the requests sent in that time, decayed
}

// start records that the queue is no longer empty.
func (m *throughputMeter) start(now Nanos) { m.isBusy, m.accountedUntil = true, now }

// stop records that the queue is empty.
func (m *throughputMeter) stop(now Nanos) {
	m.advance(now)
	m.isBusy = false
}

// advance accounts for the time up to now, in which requests waited.
func (m *throughputMeter) advance(now Nanos) {
	if !m.isBusy || now <= m.accountedUntil {
		return
	}
	elapsed := float64(now - m.accountedUntil)
	decay := math.Exp(-elapsed / float64(m.timeConstant))
	m.busyTime = m.busyTime*decay + elapsed
	m.cost *= decay
	m.accountedUntil = now
}

// record accounts for the cost of a request that was sent. It does nothing while no request waits.
func (m *throughputMeter) record(now Nanos, cost float64) {
	if !m.isBusy {
		return
	}
	m.advance(now)
	m.cost += cost
}

// costPerNano returns the throughput; 0 if requests have not waited long enough for a measurement.
func (m *throughputMeter) costPerNano(now Nanos) float64 {
	m.advance(now)
	if m.busyTime < float64(m.timeConstant)*minBusyFraction {
		return 0
	}
	return m.cost / m.busyTime
}

// estimatedWait returns how long a new request of the given cost would wait in flow f of tenant t: the time in which
// it and the requests ahead of it in its flow are admitted at the flow's share of the throughput, or in which all
// waiting requests are admitted if that is less. It returns 0 without a measurement of the throughput. f is nil if the
// flow does not exist yet.
func (q *fairQueue) estimatedWait(now Nanos, t *tenant, f *flow, cost float64) Nanos {
	throughput := q.throughput.costPerNano(now)
	if throughput <= 0 || len(q.requests) == 0 {
		return 0
	}
	flowCost, flowWeight := cost, 1.0
	if f != nil {
		flowWeight = f.weight
		for _, queued := range f.requests.Items() {
			flowCost += queued.cost
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
