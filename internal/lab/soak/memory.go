package soak

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// PeakMemory returns the largest resident set size that the dispatcher's present process has had, in bytes. It returns
// 0 if the process has ended.
func (d *Dispatcher) PeakMemory() int64 {
	process, _ := d.lastProcess()
	if process == nil {
		return 0
	}
	peak, err := peakMemoryOf(process.Process.Pid)
	if err != nil {
		return 0
	}
	return peak
}

// memoryWatchInterval is the time between two looks at the memory of the dispatchers. A process that is killed may have
// had a higher peak since the last one.
const memoryWatchInterval = 20 * time.Millisecond

// watchMemory watches the memory of all dispatchers until stop is called, which returns the largest peak in bytes.
func (f *Fleet) watchMemory() (stop func() int64) {
	done, result := make(chan struct{}), make(chan int64)
	go func() {
		peak := int64(0)
		for {
			for _, d := range f.Dispatchers {
				peak = max(peak, d.PeakMemory())
			}
			select {
			case <-done:
				result <- peak
				return
			case <-time.After(memoryWatchInterval):
			}
		}
	}()
	return func() int64 {
		close(done)
		return <-result
	}
}

// nextPressure returns the number of the next pressure.
func (f *Fleet) nextPressure() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pressureCount++
	return f.pressureCount
}

// notePressure adds the answers of a pressure to those of the run.
func (f *Fleet) notePressure(p *Pressure) {
	statuses := p.Statuses()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.pressureAnswers == nil {
		f.pressureAnswers = map[int]int{}
	}
	for status, count := range statuses {
		f.pressureAnswers[status] += count
	}
}

// peakMemoryOf returns the largest resident set size of a process so far, in bytes.
func peakMemoryOf(pid int) (int64, error) {
	const bytesPerKB = 1024
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	_, line, found := strings.Cut(string(status), "VmHWM:")
	if !found { // a process that has ended has no memory
		return 0, nil
	}
	line, _, _ = strings.Cut(line, "kB")
	kilobytes, err := strconv.ParseInt(strings.TrimSpace(line), 10, 64)
	return kilobytes * bytesPerKB, err
}
