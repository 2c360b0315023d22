package soak

import (
	"fmt"
	"os"
	"strconv"
	"strings"
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
