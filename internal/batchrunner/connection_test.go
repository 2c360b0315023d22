package batchrunner

import (
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"docksail/internal/decide/batchscheduler"
)

// gatedListener is a dispatcher's listener that can be made to reset every connection, as while a dispatcher restarts.
type gatedListener struct {
	net.Listener
	mu      sync.Mutex
	isAway  bool
	refused int // connections reset since the dispatcher went away
	conns   []net.Conn
}

// Accept implements net.Listener.
func (l *gatedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.mu.Lock()
		isAway := l.isAway
		if isAway {
			l.refused++
		} else {
			l.conns = append(l.conns, conn)
		}
		l.mu.Unlock()
		if !isAway {
			return conn, nil
		}
		conn.Close()
	}
}

// leave ends all connections and resets new ones.
func (l *gatedListener) leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isAway, l.refused = true, 0
	for _, conn := range l.conns {
		conn.Close()
	}
	l.conns = nil
}

// comeBack accepts connections again.
func (l *gatedListener) comeBack() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isAway = false
}

// waitForRefusals waits until connections were reset repeatedly.
func (l *gatedListener) waitForRefusals(t *testing.T) {
	t.Helper()
	const refusals = 5 // more than the attempts that a line may have which may have run
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		l.mu.Lock()
		refused := l.refused
		l.mu.Unlock()
		if refused >= refusals {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d connections in 20 s, want %d", refused, refusals)
		}
	}
}

// TestDispatcherAway guards against a call that was refused a connection counting as one that may have run: of every
// effect, a line that was not sent is sent once the dispatcher is back, and only what was in mid-stream may have run.
func TestDispatcherAway(t *testing.T) {
	for _, model := range []string{"draft", "labelled", "book"} {
		t.Run(model+" at the first call", func(t *testing.T) {
			f := newIdleFixture(t, t.TempDir())
			f.gate.leave()
			f.run()
			b := f.submit(line("one", model, "served", ""), time.Hour)
			f.gate.waitForRefusals(t)
			f.waitForLine(b.ID, 0, batchscheduler.LineWaiting)
			f.gate.comeBack()
			f.checkEnd(b.ID, 1, "")
		})
		t.Run(model+" between two calls", func(t *testing.T) {
			f := newFixture(t, t.TempDir())
			f.checkEnd(f.submit(line("one", model, "served", ""), time.Hour).ID, 1, "")
			f.gate.leave()
			b := f.submit(line("one", model, "served", ""), time.Hour)
			f.gate.waitForRefusals(t)
			f.gate.comeBack()
			f.checkEnd(b.ID, 1, "")
		})
		t.Run(model+" in mid-stream", func(t *testing.T) {
			f := newFixture(t, t.TempDir())
			b := f.submit(line("one", model, "hangs once", ""), time.Hour)
			f.dispatcher.waitForAttempt(t, b.ID+"/one")
			f.gate.leave()
			if model == "book" {
				f.checkEnd(b.ID, 1, `"code":"may_have_run"`)
				return
			}
			f.gate.waitForRefusals(t)
			f.gate.comeBack()
			f.checkEnd(b.ID, 2, "")
		})
	}
	t.Run("cancelled", func(t *testing.T) {
		f := newIdleFixture(t, t.TempDir())
		f.gate.leave()
		f.run()
		b := f.submit(line("one", "book", "served", ""), time.Hour)
		f.gate.waitForRefusals(t)
		if _, err := f.runner.Cancel("a", b.ID); err != nil {
			t.Fatal(err)
		}
		f.checkEnd(b.ID, 0, `"code":"batch_cancelled"`)
	})
	t.Run("until the deadline", func(t *testing.T) {
		f := newIdleFixture(t, t.TempDir())
		f.gate.leave()
		f.run()
		f.checkEnd(f.submit(line("one", "book", "served", ""), time.Second).ID, 0, `"code":"batch_expired"`)
	})
}

// checkEnd checks that a batch ends after the dispatcher has received a number of attempts of its line "one", completed
// or with a text in its error file.
func (f *fixture) checkEnd(id string, attempts int, failure string) {
	f.t.Helper()
	b := f.waitFor(id, isTerminal)
	if n := f.dispatcher.attemptCount(id + "/one"); n != attempts {
		f.t.Errorf("the line was sent %d times, want %d", n, attempts)
	}
	if failure == "" && (b.State != batchscheduler.StateCompleted || b.CompletedLines != 1) {
		f.t.Errorf("want the line completed: %s", f.describe(b))
	}
	if failure != "" && !strings.Contains(f.describe(b), failure) {
		f.t.Errorf("want %s: %s", failure, f.describe(b))
	}
}
