package soak

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// rejectionDeadline is the time after SIGTERM from which a request has to be answered before SIGKILL, however it is:
	// by the platform's page, one that comes later and is found unanswered is lost.
	rejectionDeadline = 700 * time.Millisecond
	// maxCountedDeadline is the longest deadline that counts for the time of SIGKILL.
	maxCountedDeadline = 3 * time.Second

	maxExtraSignals   = 9
	maxSignalSpread   = 1500 * time.Millisecond // from the first signal of a series to the last
	maxSignalBurst    = time.Millisecond        // between signals that come together
	startSignalSpread = 60 * time.Millisecond   // of the signals during a start
)

// gracePeriod returns the shortest time from SIGTERM to SIGKILL where no client waits longer than longestDeadline.
func gracePeriod(longestDeadline time.Duration) time.Duration {
	return rejectionDeadline + min(longestDeadline, maxCountedDeadline)
}

// timedSignal is one signal of a series.
type timedSignal struct {
	at     time.Duration // since the start of the series
	signal syscall.Signal
}

func (s timedSignal) String() string {
	return fmt.Sprintf("%v at %v", s.signal, s.at.Round(time.Microsecond))
}

// drawSignals draws a series of SIGTERM and SIGHUP, or of SIGHUP alone, in any number, order and spacing; some come
// together. The series may hold the process up for a moment. If it has SIGTERM, the first comes at 0.
func drawSignals(rng *rand.Rand, spread time.Duration, withTerm bool) []timedSignal {
	var series []timedSignal
	if withTerm {
		series = append(series, timedSignal{0, syscall.SIGTERM})
	}
	at := time.Duration(0)
	for range rng.IntN(maxExtraSignals + 1) {
		if rng.IntN(2) == 0 {
			at = time.Duration(rng.Int64N(int64(spread)))
		} else {
			at += time.Duration(rng.Int64N(int64(maxSignalBurst)))
		}
		signal := syscall.SIGHUP
		if withTerm && rng.IntN(2) == 0 {
			signal = syscall.SIGTERM
		}
		series = append(series, timedSignal{at, signal})
	}
	if rng.IntN(3) == 0 {
		at := time.Duration(rng.Int64N(int64(spread)))
		heldUp := randomDuration(rng, time.Millisecond, maxSuspension)
		series = append(series, timedSignal{at, syscall.SIGSTOP}, timedSignal{at + heldUp, syscall.SIGCONT})
	}
	slices.SortStableFunc(series, func(a, b timedSignal) int { return cmp.Compare(a.at, b.at) })
	return series
}

// hasTerm reports whether the series has SIGTERM.
func hasTerm(series []timedSignal) bool {
	return slices.ContainsFunc(series, func(s timedSignal) bool { return s.signal == syscall.SIGTERM })
}

// sendSignals sends a series of signals to the process.
func (d *Dispatcher) sendSignals(series []timedSignal) {
	start := time.Now()
	for _, s := range series {
		time.Sleep(time.Until(start.Add(s.at)))
		d.Signal(s.signal)
	}
}

// terminate sends a series of signals that begins with SIGTERM. It kills the process if it has not exited after the
// grace period, and starts another one.
func (d *Dispatcher) terminate(series []timedSignal, gracePeriod time.Duration) error {
	d.beginTermination(gracePeriod)
	start := time.Now()
	d.sendSignals(series)
	ended, err := d.WaitExit(time.Until(start.Add(gracePeriod)))
	if ended && err != nil && !d.endedInStart(err) {
		return fmt.Errorf("dispatcher %s exited: %w", d.Name, err)
	}
	d.Kill()
	return d.Start()
}

// endedInStart reports whether SIGTERM has ended the process before it was ready, as it does before the program handles
// signals. By the platform's page a dispatcher that ends after SIGTERM has not crashed, and it had taken no request.
func (d *Dispatcher) endedInStart(exit error) bool {
	exitError, ok := errors.AsType[*exec.ExitError](exit)
	if !ok {
		return false
	}
	status, ok := exitError.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == syscall.SIGTERM && !d.isReady()
}

// programInitTime is the time after the Go runtime is up within which a dispatcher handles signals.
const programInitTime = 10 * time.Millisecond

// waitForRuntime waits until the Go runtime of the process catches signals, and for programInitTime. Before that a
// signal ends any program.
func (d *Dispatcher) waitForRuntime() error {
	process, _ := d.lastProcess()
	file := fmt.Sprintf("/proc/%d/status", process.Process.Pid)
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		status, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		_, caught, _ := strings.Cut(string(status), "SigCgt:\t")
		caught, _, _ = strings.Cut(caught, "\n")
		mask, err := strconv.ParseUint(caught, 16, 64)
		if err != nil {
			return fmt.Errorf("%s: caught signals %q: %w", file, caught, err)
		}
		if mask&(1<<(uint(syscall.SIGHUP)-1)) != 0 {
			time.Sleep(programInitTime)
			return nil
		}
	}
	return fmt.Errorf("dispatcher %s catches no signal after %v", d.Name, readyTimeout)
}

// signalInStart kills the process and sends a series of signals to the next one while it starts. If the series has
// SIGTERM, that process ends and a third one is started.
func (d *Dispatcher) signalInStart(series []timedSignal, gracePeriod time.Duration) error {
	d.Kill()
	if err := d.startProcess(); err != nil {
		return err
	}
	if err := d.waitForRuntime(); err != nil {
		return err
	}
	if !hasTerm(series) {
		d.sendSignals(series)
		return d.waitReady()
	}
	return d.terminate(series, gracePeriod)
}
