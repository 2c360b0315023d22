package engine

import (
	"context"
	"time"

	"google.golang.org/grpc/status"
)

// Faults are the faults injected into a server. The zero value has none.
type Faults struct {
	Hanging      bool          // accepts attempts but does not answer them
	FailFast     float64       // fraction of the attempts that fail immediately
	Slowdown     float64       // multiple of the duration of work; 0 or 1: no slowdown
	SilentClass  string        // class whose requests are not answered
	StallAfter   int           // number of tokens after which answers stall; 0: answers do not stall
	LinkSlowdown float64       // multiple of the duration of transfers from this server; 0 or 1: no slowdown
	Paused       bool          // stops all work until the pause ends
	ReportDelay  time.Duration // added to the delay of load reports
	Draining     bool          // rejects new attempts
}

// SetFaults changes the faults. Running work is affected immediately.
func (e *Engine) SetFaults(change func(f *Faults)) {
	e.mu.Lock()
	change(&e.faults)
	close(e.faultsChanged)
	e.faultsChanged = make(chan struct{})
	e.mu.Unlock()
}

// blocks reports whether the faults stop all work of a class.
func (f *Faults) blocks(class string) bool {
	return f.Hanging || f.Paused || f.SilentClass != "" && f.SilentClass == class
}

// sleep waits for the duration of work of a class, which faults extend: by a slowdown, or for as long as they block
// the class. It returns the error of the context if that ends first.
func (e *Engine) sleep(ctx context.Context, class string, duration time.Duration) error {
	remaining := float64(duration)
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
		if remaining <= 0 {
			return ctx.Err()
		}
		slowdown := max(faults.Slowdown, 1)
		begin := time.Now()
		timer := time.NewTimer(time.Duration(remaining * slowdown))
		select {
		case <-timer.C:
			return ctx.Err()
		case <-changed:
			remaining -= float64(time.Since(begin)) / slowdown
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		timer.Stop()
	}
}

// stall waits for the end of the context and returns its status error, if answers stall at this position.
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
