package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// CommandFunc makes a command that runs docksail with arguments.
type CommandFunc func(args ...string) *exec.Cmd

// Server is a stand-in model server: its process, and the proxy by which dispatchers reach it.
type Server struct {
	Name    string
	Prefill bool
	Proxy   *Proxy

	fleet   *Fleet
	process *exec.Cmd
	started int64 // milliseconds, Unix
	state   string
}

// Dispatcher is a dispatcher's process.
type Dispatcher struct {
	Name string
	Addr string

	fleet   *Fleet
	config  string
	logFile *os.File

	mu      sync.Mutex // clients look at the process while a fault ends it
	process *exec.Cmd
	life    int // processes so far
	done    chan error
}

// Incarnation counts the dispatcher's processes so far.
func (d *Dispatcher) Incarnation() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.life
}

// running gives the process that was started last, and where its end is told.
func (d *Dispatcher) running() (*exec.Cmd, chan error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.process, d.done
}

// Fleet is all that runs: dispatchers, servers, discovery, and the ledger between them.
type Fleet struct {
	Oracle      *Oracle
	Servers     []*Server
	Dispatchers []*Dispatcher
	// AttemptPlan makes the plan of an attempt, ReleaseStatus the answer to a release; both may be called from several
	// goroutines.
	AttemptPlan    func(id string, read bool, server string) AttemptPlan
	ReleaseStatus  func(id, server string) int
	MaxDescriptors int // descriptors of a dispatcher, as it is told

	program           CommandFunc
	dispatcherProgram CommandFunc
	folder            string
	settings          string
	reports           net.Listener
	discovery         net.Listener

	mu      sync.Mutex
	version int
	watches map[chan struct{}]bool
	away    bool // discovery says nothing
}

// NewFleet makes a fleet that keeps its files in a folder. settings is the settings object of dispatchers.
func NewFleet(program CommandFunc, folder, settings string, limits Limits) (*Fleet, error) {
	f := &Fleet{
		Oracle: NewOracle(limits), program: program, dispatcherProgram: program, folder: folder, settings: settings, version: 41, MaxDescriptors: usualSockets, watches: map[chan struct{}]bool{},
		AttemptPlan: func(string, bool, string) AttemptPlan { return AttemptPlan{} }, ReleaseStatus: func(string, string) int { return 0 },
	}
	var err error
	if f.reports, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	if f.discovery, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	go f.takeReports()
	go http.Serve(f.discovery, http.HandlerFunc(f.watch))
	return f, nil
}

// Close ends every process of the fleet.
func (f *Fleet) Close() {
	for _, d := range f.Dispatchers {
		d.Kill()
		if d.logFile != nil {
			d.logFile.Close()
		}
	}
	for _, s := range f.Servers {
		s.end()
		s.Proxy.Close()
	}
	f.reports.Close()
	f.discovery.Close()
}

// AddServer starts a stand-in server and puts it on the list.
func (f *Fleet) AddServer(name string, prefill bool) (*Server, error) {
	s := &Server{Name: name, Prefill: prefill, fleet: f, state: "Ready"}
	var err error
	if s.Proxy, err = NewProxy(name, f.Oracle); err != nil {
		return nil, err
	}
	f.Servers = append(f.Servers, s)
	return s, s.start()
}

func (s *Server) start() error {
	role := "decode"
	if s.Prefill {
		role = "prefill"
	}
	s.process = s.fleet.program("lab", "model-server", "--name", s.Name, "--role", role, "--ledger", s.fleet.reports.Addr().String())
	out, err := s.process.StdoutPipe()
	if err != nil {
		return err
	}
	if err := s.process.Start(); err != nil {
		return err
	}
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		return fmt.Errorf("server %s: %w", s.Name, err)
	}
	go io.Copy(io.Discard, out)
	s.Proxy.SetTarget(strings.TrimSpace(line))
	return nil
}

// end kills the server's process, also where it is stopped.
func (s *Server) end() {
	if s.process != nil && s.process.Process != nil {
		s.process.Process.Kill()
		s.process.Wait()
	}
}

// Stop holds the process up, Continue has it go on.
func (s *Server) Stop() { s.process.Process.Signal(syscall.SIGSTOP) }

// Continue has a process that was stopped go on.
func (s *Server) Continue() { s.process.Process.Signal(syscall.SIGCONT) }

// Restart kills the process and starts another, which the list tells.
func (s *Server) Restart() error {
	s.end()
	s.fleet.Oracle.ServerStopped(Now(), s.Name)
	if err := s.start(); err != nil {
		return err
	}
	s.fleet.change(func() { s.started = time.Now().UnixMilli() })
	return nil
}

// change changes the list and tells the watches.
func (f *Fleet) change(what func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	what()
	f.version++
	for w := range f.watches {
		select {
		case w <- struct{}{}:
		default:
		}
	}
}

// SetDiscoverySilent has discovery fall silent, or speak again.
func (f *Fleet) SetDiscoverySilent(yes bool) { f.change(func() { f.away = yes }) }

type listedServer struct {
	ID      string `json:"id"`
	Addr    string `json:"addr"`
	Zone    string `json:"zone"`
	Kind    string `json:"kind"`
	Cell    int    `json:"cell"`
	State   string `json:"state"`
	Started int64  `json:"started_ms"`
}

type list struct {
	Version int            `json:"version"`
	Full    bool           `json:"full"`
	Servers []listedServer `json:"servers"`
}

// list gives the whole list; the fleet is locked.
func (f *Fleet) list() list {
	l := list{Version: f.version, Full: true, Servers: []listedServer{}}
	for _, s := range f.Servers {
		kind := "decode"
		if s.Prefill {
			kind = "prefill"
		}
		l.Servers = append(l.Servers, listedServer{ID: s.Name, Addr: s.Proxy.Addr(), Zone: "z", Kind: kind, State: s.state, Started: s.started})
	}
	return l
}

// watch serves discovery.
func (f *Fleet) watch(w http.ResponseWriter, r *http.Request) {
	changes := make(chan struct{}, 1)
	f.mu.Lock()
	f.watches[changes] = true
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		delete(f.watches, changes)
		f.mu.Unlock()
	}()
	changes <- struct{}{}
	for {
		alive := false
		select {
		case <-changes:
		case <-time.After(time.Second):
			alive = true
		case <-r.Context().Done():
			return
		}
		f.mu.Lock()
		away, now := f.away, f.list()
		f.mu.Unlock()
		switch {
		case away:
			continue
		case alive:
			io.WriteString(w, "\n")
		default:
			json.NewEncoder(w).Encode(now)
		}
		w.(http.Flusher).Flush()
	}
}

// takeReports takes what server processes report.
func (f *Fleet) takeReports() {
	for {
		c, err := f.reports.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			in, out := json.NewDecoder(c), json.NewEncoder(c)
			var server string
			if in.Decode(&server) != nil {
				return
			}
			for {
				var r report
				if in.Decode(&r) != nil {
					return
				}
				f.take(server, &r)
				if out.Encode(r) != nil {
					return
				}
			}
		}()
	}
}

// take puts a report into the ledger and fills in the answer.
func (f *Fleet) take(server string, r *report) {
	on := connKey{server, r.Port}
	switch r.Op {
	case opArrived:
		f.Oracle.AttemptReceived(r.At, r.ID, r.Read, on)
		r.Plan = f.AttemptPlan(r.ID, r.Read, server)
	case opRead:
		f.Oracle.PrefillFinished(r.At, r.ID, on)
	case opOver:
		f.Oracle.AttemptFinished(r.At, r.ID, on, r.How)
	case opFetch:
		r.Held = f.Oracle.FetchState(r.At, r.ID, on)
	case opReleased:
		if r.Status = f.ReleaseStatus(r.ID, server); r.Status == 0 {
			f.Oracle.ReleaseReceived(r.At, r.ID, server)
		} else {
			f.Oracle.Note(r.At, r.ID, fmt.Sprintf("release refused by %s: %d", server, r.Status))
		}
	}
}

// AddDispatcher starts a dispatcher.
func (f *Fleet) AddDispatcher(name string) (*Dispatcher, error) {
	port, err := freePort()
	if err != nil {
		return nil, err
	}
	d := &Dispatcher{Name: name, Addr: port, fleet: f, config: filepath.Join(f.folder, name+".json")}
	if d.logFile, err = os.Create(filepath.Join(f.folder, name+".log")); err != nil {
		return nil, err
	}
	f.Dispatchers = append(f.Dispatchers, d)
	return d, d.Start()
}

// freePort finds an address that nobody listens on.
func freePort() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// Start starts the dispatcher's process and waits until it is ready.
func (d *Dispatcher) Start() error {
	if err := d.writeConfig(); err != nil {
		return err
	}
	process := d.fleet.dispatcherProgram("node", "--log", "debug", "--counts-every", "500ms")
	process.Env = append(process.Env, "RELAY_CONFIG="+d.config)
	process.Stdout, process.Stderr = d.logFile, d.logFile
	if err := process.Start(); err != nil {
		return err
	}
	done := make(chan error, 1)
	go func() { done <- process.Wait() }()
	d.mu.Lock()
	d.process, d.done = process, done
	d.life++
	d.mu.Unlock()
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		res, err := http.Get("http://" + d.Addr + "/health/ready")
		if err != nil {
			continue
		}
		res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("dispatcher %s is not ready after %v", d.Name, readyTimeout)
}

// readyTimeout is what a dispatcher has until it is ready.
const readyTimeout = 20 * time.Second

// writeConfig writes the configuration for the next process.
func (d *Dispatcher) writeConfig() error {
	f := d.fleet
	f.mu.Lock()
	config, err := json.Marshal(map[string]any{
		"name": d.Name, "listen": d.Addr, "discovery": f.discovery.Addr().String(), "seed": fmt.Sprintf("%x", hash(d.Name)+uint64(d.Incarnation())),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 96, "sockets": f.MaxDescriptors}, "known": f.list(), "settings": json.RawMessage(f.settings),
	})
	f.mu.Unlock()
	if err != nil {
		return err
	}
	return os.WriteFile(d.config, config, 0o600)
}

// Signal sends the process a signal.
func (d *Dispatcher) Signal(s syscall.Signal) {
	process, _ := d.running()
	process.Process.Signal(s)
}

// Kill kills the process, if it runs; what it held is excused.
func (d *Dispatcher) Kill() {
	process, done := d.running()
	if process == nil {
		return
	}
	select {
	case err := <-done:
		done <- err
		return
	default:
	}
	at := Now()
	d.fleet.Oracle.DispatcherKilled(at, d.Name)
	process.Process.Kill()
	done <- <-done
	d.fleet.Oracle.DispatcherKilled(at, d.Name) // what came meanwhile, too
}

// WaitExit waits for the end of the process; false: it has not ended in time. An end with an error is one too.
func (d *Dispatcher) WaitExit(within time.Duration) (error, bool) {
	_, done := d.running()
	select {
	case err := <-done:
		done <- err
		return err, true
	case <-time.After(within):
		return nil, false
	}
}

// ProgramErrors gives the lines of the dispatcher's log that tell of faults of the program.
func (d *Dispatcher) ProgramErrors() (lines []string, err error) {
	text, err := os.ReadFile(d.logFile.Name())
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(text)) {
		if strings.Contains(line, "level=ERROR") || strings.Contains(line, "panic") || strings.Contains(line, "fatal error") {
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	return lines, nil
}

// Log gives the lines of the dispatcher's log about a request.
func (d *Dispatcher) Log(id string) string {
	text, err := os.ReadFile(d.logFile.Name())
	if err != nil {
		return err.Error()
	}
	var found strings.Builder
	for line := range strings.Lines(string(text)) {
		if strings.Contains(line, id) {
			found.WriteString(line)
		}
	}
	return found.String()
}
