package engine

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"docksail/internal/lab/eventlog"
)

// slotPollInterval is the interval at which a waiting attempt checks for a free slot.
const slotPollInterval = 2 * time.Millisecond

// capacityShare returns the fraction of its full capacity that the server has now, which grows during the warm-up. The
// lock must be held.
func (e *Engine) capacityShare() float64 {
	s := &e.Spec
	if s.InitialCapacity <= 0 || s.InitialCapacity >= 1 || s.WarmupTime <= 0 {
		return 1
	}
	progress := float64(time.Since(e.started)) / float64(s.WarmupTime)
	return min(1, s.InitialCapacity+(1-s.InitialCapacity)*progress)
}

// checkOverload records an attempt and reports whether the server has failed from overload. The lock must be held.
func (e *Engine) checkOverload(now time.Time) bool {
	if e.overloaded {
		return true
	}
	s := &e.Spec
	capacityShare := e.capacityShare()
	if capacityShare >= 1 || s.OverloadFactor <= 0 {
		return false
	}
	e.recentAttempts = append(e.recentAttempts, now)
	for len(e.recentAttempts) > 0 && now.Sub(e.recentAttempts[0]) > s.OverloadWindow {
		e.recentAttempts = e.recentAttempts[1:]
	}
	limit := s.OverloadFactor*capacityShare*s.RequestsPerSecond*s.OverloadWindow.Seconds() + OverloadTolerance
	if float64(len(e.recentAttempts)) <= limit {
		return false
	}
	e.overloaded = true
	e.log.Add(eventlog.Entry{Kind: eventlog.ServerOverloaded, Server: s.ID, Value: int64(len(e.recentAttempts))})
	return true
}

// checkAdmission returns the status error of an attempt that is rejected, or nil if it is admitted. The lock must be
// held.
func (e *Engine) checkAdmission() error {
	now := time.Now()
	if e.checkOverload(now) {
		return status.Error(codes.Internal, "fallen over")
	}
	if e.faults.Draining || e.batch == nil && e.waiting+e.running >= e.Spec.Slots+e.Spec.Queue {
		return status.Error(codes.ResourceExhausted, "full")
	}
	if e.faults.FailFast > 0 && float64(now.UnixNano()%1000)/1000 < e.faults.FailFast {
		return status.Error(codes.Internal, "failing fast")
	}
	return nil
}

// admit counts an attempt as waiting, or rejects it with a status error. The returned context is canceled when ctx or
// the process ends. The caller must call leave when the attempt ends.
func (e *Engine) admit(ctx context.Context) (attemptCtx context.Context, leave func(), err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkAdmission(); err != nil {
		return nil, nil, err
	}
	e.waiting++
	process := e.process
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(process, cancel)
	return ctx, func() {
		stop()
		cancel()
		e.mu.Lock()
		if e.process == process {
			e.waiting--
		}
		e.mu.Unlock()
	}, nil
}

// acquireSlot waits for a free slot and takes it. It returns the error of the context if that ends first.
func (e *Engine) acquireSlot(ctx context.Context) error {
	for !e.tryAcquireSlot() {
		select {
		case <-time.After(slotPollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func (e *Engine) tryAcquireSlot() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running >= e.Spec.Slots {
		return false
	}
	e.running++
	e.waiting--
	return true
}

// releaseSlot frees the slot of an attempt, which counts as waiting again until it ends.
func (e *Engine) releaseSlot() {
	e.mu.Lock()
	if e.running > 0 {
		e.running--
		e.waiting++
	}
	e.mu.Unlock()
}
