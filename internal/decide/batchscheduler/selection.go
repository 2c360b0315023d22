package batchscheduler

// hasSendableLine reports whether a line of the batch may be sent now.
func (b *batchRecord) hasSendableLine(now Nanos) bool {
	if b.stopped || now >= b.Deadline {
		return false
	}
	return b.nextUnsent < len(b.sendOrder) || b.hasDueRetry(now)
}

// hasDueRetry reports whether the backoff of a line has ended and the line may be sent again.
func (b *batchRecord) hasDueRetry(now Nanos) bool {
	return b.retries.Len() > 0 && b.retries.Min().retryAt <= now && b.mayAttempt(now, b.retries.Min())
}

// requiredRate returns the cost per nanosecond that the batch needs to meet its deadline.
func (b *batchRecord) requiredRate(now Nanos) float64 {
	return b.remainingCost / float64(max(b.Deadline-now, 1))
}

// takeLine removes and returns the batch's next line: a retry that is due, otherwise the next line in sendOrder.
func (b *batchRecord) takeLine(now Nanos) *lineRecord {
	if b.hasDueRetry(now) {
		line := b.retries.Min()
		b.removeRetry(line)
		return line
	}
	index := b.sendOrder[b.nextUnsent]
	b.nextUnsent++
	return &b.lines[index]
}

// NextLine returns the next line to send and marks it as in flight, or returns false if no line may be sent now. It
// selects the tenant that has been charged the least cost relative to its weight, and of its batches the one with the
// highest required rate.
func (s *Scheduler) NextLine(now Nanos) (BatchID, LineIndex, bool) {
	if s.inFlight >= s.maxInFlight {
		return 0, 0, false
	}
	var next *batchRecord
	for _, b := range s.batches {
		if b.hasSendableLine(now) && (next == nil || s.precedes(b, next, now)) {
			next = b
		}
	}
	if next == nil {
		return 0, 0, false
	}
	line := next.takeLine(now)
	line.State, line.sentAt = LineInFlight, now
	next.waiting--
	next.inFlight++
	s.inFlight++
	s.chargeTenant(next.Tenant, line.Cost)
	return next.ID, line.index, true
}

// precedes reports whether a line of batch a is sent before one of batch b.
func (s *Scheduler) precedes(a, b *batchRecord, now Nanos) bool {
	if a.Tenant == b.Tenant {
		return a.requiredRate(now) > b.requiredRate(now)
	}
	startA, startB := s.virtualStart(a.Tenant), s.virtualStart(b.Tenant)
	return startA < startB || startA == startB && a.Tenant < b.Tenant
}

// virtualStart returns the virtual time at which a tenant's next line starts.
func (s *Scheduler) virtualStart(tenant int) float64 {
	return max(s.tenants[tenant].virtualFinish, s.virtualTime)
}

// chargeTenant advances the virtual time to the start of a tenant's line, and sets the tenant's virtual finish by the
// line's cost divided by the tenant's weight.
func (s *Scheduler) chargeTenant(index int, cost float64) {
	t := &s.tenants[index]
	s.virtualTime = s.virtualStart(index)
	t.virtualFinish = s.virtualTime + cost/t.weight
}
