package soak

import (
	"bufio"
	"fmt"
	"io"
	"os/exec"
	"strings"
	"syscall"
	"time"
)

// healthyState is the state of every server on the endpoint list.
const healthyState = "Ready"

// Server is a stand-in model server: its process, and the proxy through which dispatchers reach it.
type Server struct {
	Name      string
	IsPrefill bool
	Proxy     *Proxy

	fleet     *Fleet
	process   *exec.Cmd
	startedMS int64 // in the endpoint list, Unix milliseconds; 0 = before the run
}

// AddServer starts a stand-in server and adds it to the endpoint list.
func (f *Fleet) AddServer(name string, isPrefill bool) (*Server, error) {
	s := &Server{Name: name, IsPrefill: isPrefill, fleet: f}
	var err error
	if s.Proxy, err = NewProxy(name, f.Oracle); err != nil {
		return nil, err
	}
	f.Servers = append(f.Servers, s)
	return s, s.start()
}

// role returns the name of the server's role in the endpoint list and on the command line.
func (s *Server) role() string {
	if s.IsPrefill {
		return "prefill"
	}
	return "decode"
}

// start starts the server's process and sets it as the target of the proxy.
func (s *Server) start() error {
	s.process = s.fleet.program("lab", "model-server", "--name", s.Name, "--role", s.role(),
		"--ledger", s.fleet.reports.Addr().String())
	out, err := s.process.StdoutPipe()
	if err != nil {
		return err
	}
	if err := s.process.Start(); err != nil {
		return err
	}
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		return fmt.Errorf("read address of server %s: %w", s.Name, err)
	}
	go func() { _, _ = io.Copy(io.Discard, out) }()
	s.Proxy.SetTarget(strings.TrimSpace(line))
	return nil
}

// kill kills the server's process, even if it is suspended.
func (s *Server) kill() {
	if s.process != nil && s.process.Process != nil {
		_ = s.process.Process.Kill() // an error means that the process has ended
		_ = s.process.Wait()         // returns the status of a killed process
	}
}

// Suspend suspends the server's process until Resume.
func (s *Server) Suspend() { s.signal(syscall.SIGSTOP) }

// Resume resumes a suspended process.
func (s *Server) Resume() { s.signal(syscall.SIGCONT) }

func (s *Server) signal(signal syscall.Signal) {
	_ = s.process.Process.Signal(signal) // an error means that the process has ended
}

// Restart kills the process, starts another and publishes its start time in the endpoint list.
func (s *Server) Restart() error {
	s.kill()
	s.fleet.Oracle.ServerStopped(Now(), s.Name)
	if err := s.start(); err != nil {
		return err
	}
	s.fleet.changeList(func() { s.startedMS = time.Now().UnixMilli() })
	return nil
}
