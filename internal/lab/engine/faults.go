package engine

import (
	"context"
	"time"

	"google.golang.org/grpc/status"
)

// Faults are the faults that a server acts out now. The zero value has none.
type Faults struct {
	Hanging      bool    // accepts attempts and answers none
	FailFast     float64 // share of the attempts that are answered with an error at once
	Slowdown     float64 // multiple of the time that work takes; 0 or 1: none
	SilentClass  string  // requests of this class are not answered
	StallAfter   int     // each answer stalls after this many tokens; 0: none does
	LinkSlowdown float64 // multiple of the time that transfers of its states take
	Paused       bool    // does nothing, and goes on afterwards
	ReportDelay  time.Duration
	Draining     bool // rejects new attempts
}

// SetFaults changes the faults. Work that is under way follows at once.
func (e *Engine) SetFaults(change func(f *Faults)) {
	e.mu.Lock()
	change(&e.faults)
	close(e.faultsChanged)
	e.faultsChanged = make(chan struct{})
	e.mu.Unlock()
}

// blocks reports whether work of a class stands still.
func (f *Faults) blocks(class string) bool {
	return f.Hanging || f.Paused || f.SilentClass != "" && f.SilentClass == class
}

// sleep waits for the time that work of a class takes: longer while the server is slow, and not ending while it hangs
// or pauses. It returns the error of the context if that ends.
func (e *Engine) sleep(ctx context.Context, class string, duration time.Duration) error {
	left := float64(duration)
	for {
		e.mu.Lock()
		faults, changed := e.faults, e.faultsChanged
		e.mu.Unlock()
		if faults.blocks(class) {
			select {
			case <-changed:
				continue
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		if left <= 0 {
			return ctx.Err()
		}
		slowdown := max(faults.Slowdown, 1)
		begin := time.Now()
		timer := time.NewTimer(time.Duration(left * slowdown))
		select {
		case <-timer.C:
			return ctx.Err()
		case <-changed:
			left -= float64(time.Since(begin)) / slowdown
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		timer.Stop()
	}
}

// stall waits for the end of the context if answers stall at this position, and returns its error.
func (e *Engine) stall(ctx context.Context, position int) error {
	e.mu.Lock()
	stallAfter := e.faults.StallAfter
	e.mu.Unlock()
	if stallAfter <= 0 || position < stallAfter {
		return nil
	}
	<-ctx.Done()
	return status.FromContextError(ctx.Err()).Err()
}
