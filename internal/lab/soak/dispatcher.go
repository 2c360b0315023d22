package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	readyTimeout      = 20 * time.Second // longest time from the start of a dispatcher until it is ready
	readyPollInterval = 20 * time.Millisecond
)

// Dispatcher runs a dispatcher as a process, and restarts it after a fault.
type Dispatcher struct {
	Name string
	Addr string

	fleet      *Fleet
	faults     sync.Mutex // held during a fault, except pressure: a late one must not meet the next
	configFile string
	logFile    *os.File

	mu          sync.Mutex // guards the fields below, which clients read while a fault replaces the process
	process     *exec.Cmd  // nil before the first start
	incarnation int
	exited      chan error // holds the result of Wait once the process has ended
	terminated  Instant    // when SIGTERM was sent to the process; 0 = not yet
	ready       bool       // the process has been ready
	killTime    time.Time  // when it is to be killed if it has not exited; zero = no such plan
}

// AddDispatcher starts a dispatcher and waits until it is ready.
func (f *Fleet) AddDispatcher(name string) (*Dispatcher, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	d := &Dispatcher{Name: name, Addr: address, fleet: f, configFile: filepath.Join(f.directory, name+".json")}
	if d.logFile, err = os.Create(filepath.Join(f.directory, name+".log")); err != nil {
		return nil, err
	}
	f.Dispatchers = append(f.Dispatchers, d)
	return d, d.Start()
}

// Incarnation returns how many processes have been started for the dispatcher.
func (d *Dispatcher) Incarnation() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.incarnation
}

// lastProcess returns the last process that was started, and the channel that holds the result of its Wait.
func (d *Dispatcher) lastProcess() (*exec.Cmd, chan error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.process, d.exited
}

// beginTermination records that SIGTERM is about to be sent, and when SIGKILL is to follow.
func (d *Dispatcher) beginTermination(gracePeriod time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.terminated, d.killTime = Now(), time.Now().Add(gracePeriod)
}

// termination returns when SIGTERM was sent to the process, or 0, and when it is to be killed.
func (d *Dispatcher) termination() (terminated Instant, killTime time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.terminated, d.killTime
}

// Start starts a process of the dispatcher and waits until it is ready.
func (d *Dispatcher) Start() error {
	if err := d.startProcess(); err != nil {
		return err
	}
	return d.waitReady()
}

// startProcess starts a process of the dispatcher.
func (d *Dispatcher) startProcess() error {
	if err := d.writeConfig(); err != nil {
		return err
	}
	process := d.fleet.dispatcherProgram("node", "--log", "debug", "--counts-every", "500ms")
	process.Env = append(process.Env, "RELAY_CONFIG="+d.configFile)
	process.Stdout, process.Stderr = d.logFile, d.logFile
	if err := process.Start(); err != nil {
		return err
	}
	exited := make(chan error, 1)
	go func() { exited <- process.Wait() }()
	d.mu.Lock()
	d.process, d.exited = process, exited
	d.incarnation++
	d.terminated, d.killTime, d.ready = 0, time.Time{}, false
	d.mu.Unlock()
	return nil
}

// isReady reports whether the process has been ready.
func (d *Dispatcher) isReady() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ready
}

// waitReady waits until the dispatcher's health check succeeds.
func (d *Dispatcher) waitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(readyPollInterval) {
		response, err := http.Get("http://" + d.Addr + "/health/ready")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			d.mu.Lock()
			d.ready = true
			d.mu.Unlock()
			return nil
		}
	}
	return fmt.Errorf("dispatcher %s is not ready after %v", d.Name, readyTimeout)
}

// nodeConfig is the content of a dispatcher's configuration file.
type nodeConfig struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"`
	Limits    nodeLimits      `json:"limits"`
	Known     endpointList    `json:"known"`
	Settings  json.RawMessage `json:"settings"`
}

type nodeLimits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// writeConfig writes the configuration file of the next process.
func (d *Dispatcher) writeConfig() error {
	f := d.fleet
	f.mu.Lock()
	config := nodeConfig{
		Name: d.Name, Listen: d.Addr, Discovery: f.discovery.Addr().String(),
		Seed:     fmt.Sprintf("%x", hash(d.Name)+uint64(d.Incarnation())),
		Limits:   nodeLimits{Cores: 1, MemoryMB: f.MemoryMB, Sockets: f.MaxDescriptors},
		Known:    f.endpointList(),
		Settings: json.RawMessage(f.settings),
	}
	f.mu.Unlock()
	text, err := json.Marshal(config)
	if err != nil {
		return err
	}
	return os.WriteFile(d.configFile, text, 0o600)
}

// Signal sends a signal to the process.
func (d *Dispatcher) Signal(signal syscall.Signal) {
	process, _ := d.lastProcess()
	_ = process.Process.Signal(signal) // an error means that the process has ended
}

// Kill kills the process if it runs. The oracle exempts its requests from the invariants, after SIGTERM only those that
// came before rejectionDeadline: whatever came later has to be answered before the kill.
func (d *Dispatcher) Kill() {
	process, exited := d.lastProcess()
	if process == nil {
		return
	}
	select {
	case err := <-exited:
		exited <- err
		return
	default:
	}
	at, exemptUntil := Now(), Forever
	if terminated, _ := d.termination(); terminated > 0 {
		exemptUntil = terminated + Instant(rejectionDeadline)
	}
	d.fleet.Oracle.DispatcherKilled(at, d.Name, exemptUntil)
	_ = process.Process.Kill() // an error means that the process has ended
	exited <- <-exited
	d.fleet.Oracle.DispatcherKilled(at, d.Name, exemptUntil) // exempts the requests sent in the meantime
}

// WaitExit waits for the end of the process. It reports whether the process ended within the timeout, and the error of
// its Wait.
func (d *Dispatcher) WaitExit(timeout time.Duration) (ended bool, err error) {
	_, exited := d.lastProcess()
	select {
	case err := <-exited:
		exited <- err
		return true, err
	case <-time.After(timeout):
		return false, nil
	}
}

// ProgramErrors returns the lines of the dispatcher's log that record errors or panics of the program.
func (d *Dispatcher) ProgramErrors() ([]string, error) {
	return d.LogLines("level=ERROR", "panic", "fatal error")
}

// LogLines returns the lines of the dispatcher's log that contain any of the texts.
func (d *Dispatcher) LogLines(texts ...string) ([]string, error) {
	log, err := os.ReadFile(d.logFile.Name())
	if err != nil {
		return nil, err
	}
	var lines []string
	for line := range strings.Lines(string(log)) {
		for _, text := range texts {
			if strings.Contains(line, text) {
				lines = append(lines, strings.TrimSpace(line))
				break
			}
		}
	}
	return lines, nil
}
