package admission

// estimatedWait returns how long a new request of the given cost would wait in flow f of tenant t. It returns 0 without
// a measurement of the throughput, or if no request waits. f is nil if the flow does not exist yet.
func (q *fairQueue) estimatedWait(t *tenant, f *flow, cost float64) Nanos {
	if len(q.requests) == 0 {
		return 0
	}
	return q.throughput.Wait(q.costUntil(t, f, cost))
}

// costUntil returns the cost of all that is admitted until a new request of the given cost in flow f of tenant t is: it
// and the requests ahead of it in its flow, divided by the flow's share of the throughput, or all waiting requests if
// that is less. f is nil if the flow does not exist yet.
func (q *fairQueue) costUntil(t *tenant, f *flow, cost float64) float64 {
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
	return min(q.waitingCost+cost, flowCost/share)
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
