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
	readyTimeout      = 20 * time.Second // from the start of a dispatcher until it is ready
	readyPollInterval = 20 * time.Millisecond
)

// Dispatcher is a dispatcher's process, or the last one of several.
type Dispatcher struct {
	Name string
	Addr string

	fleet      *Fleet
	configFile string
	logFile    *os.File

	mu          sync.Mutex // clients look at the process while a fault ends it
	process     *exec.Cmd  // nil before the first start
	incarnation int
	exited      chan error // holds the process's end once it has ended
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

// Incarnation returns how many processes the dispatcher has had so far.
func (d *Dispatcher) Incarnation() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.incarnation
}

// lastProcess returns the process that was started last, and the channel that holds its end once it has ended.
func (d *Dispatcher) lastProcess() (*exec.Cmd, chan error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.process, d.exited
}

// Start starts the dispatcher's process and waits until it is ready.
func (d *Dispatcher) Start() error {
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
	d.mu.Unlock()
	return d.waitReady()
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
			return nil
		}
	}
	return fmt.Errorf("dispatcher %s is not ready after %v", d.Name, readyTimeout)
}

// nodeConfig is the configuration file of a dispatcher.
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

// writeConfig writes the configuration file for the next process.
func (d *Dispatcher) writeConfig() error {
	f := d.fleet
	f.mu.Lock()
	config := nodeConfig{
		Name: d.Name, Listen: d.Addr, Discovery: f.discovery.Addr().String(),
		Seed:     fmt.Sprintf("%x", hash(d.Name)+uint64(d.Incarnation())),
		Limits:   nodeLimits{Cores: 1, MemoryMB: 96, Sockets: f.MaxDescriptors},
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

// Signal sends the process a signal.
func (d *Dispatcher) Signal(signal syscall.Signal) {
	process, _ := d.lastProcess()
	_ = process.Process.Signal(signal) // an error means that it has ended
}

// Kill kills the process, if it runs. Its requests are excused.
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
	at := Now()
	d.fleet.Oracle.DispatcherKilled(at, d.Name)
	_ = process.Process.Kill() // an error means that it has ended
	exited <- <-exited
	d.fleet.Oracle.DispatcherKilled(at, d.Name) // what came in the meantime is excused too
}

// WaitExit waits for the end of the process. It reports whether the process has ended in time, and the error with
// which it did.
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

// ProgramErrors returns the lines of the dispatcher's log that record faults of the program.
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
