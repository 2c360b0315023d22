package benchmark

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"time"
)

const (
	// clockTick is the unit of CPU times in /proc/PID/stat: USER_HZ is 100 on Linux.
	clockTick = 10 * time.Millisecond
	// userTimeField is the index of the user time among the fields of /proc/PID/stat after the command name. The system
	// time is the next field.
	userTimeField = 11
	// residentField is the index of the number of resident pages in /proc/PID/statm.
	residentField = 1
)

// process is a child process, which ends at the end of its input.
type process struct {
	cmd    *exec.Cmd
	input  io.WriteCloser
	output io.Reader
}

// startProcess starts a program with the given arguments.
func startProcess(program string, args ...string) (*process, error) {
	cmd := exec.Command(program, args...)
	input, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	output, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	cmd.Stderr = io.Discard
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	return &process{cmd: cmd, input: input, output: output}, nil
}

// stop kills the process.
func (p *process) stop() {
	p.input.Close()
	_ = p.cmd.Process.Kill() // fails only if the process has ended
	_ = p.cmd.Wait()         // reports only that the process was killed
}

// cpuTime returns the CPU time that the process has used, in user and in system mode together.
func (p *process) cpuTime() (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	text := string(data)
	fields := strings.Fields(text[strings.LastIndexByte(text, ')')+2:]) // the command name may contain spaces
	var ticks int64
	for _, field := range fields[userTimeField : userTimeField+2] {
		n, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return 0, err
		}
		ticks += n
	}
	return time.Duration(ticks) * clockTick, nil
}

// residentMemory returns the resident memory of the process in bytes.
func (p *process) residentMemory() (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	pages, err := strconv.ParseInt(strings.Fields(string(data))[residentField], 10, 64)
	return pages * int64(os.Getpagesize()), err
}
