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
	startedMS int64 // as the endpoint list says it, in milliseconds since 1970; 0 = since ever
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

// role returns the server's role, as the endpoint list and the command line name it.
func (s *Server) role() string {
	if s.IsPrefill {
		return "prefill"
	}
	return "decode"
}

// start starts the server's process and points the proxy at it.
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
		return fmt.Errorf("server %s: %w", s.Name, err)
	}
	go func() { _, _ = io.Copy(io.Discard, out) }()
	s.Proxy.SetTarget(strings.TrimSpace(line))
	return nil
}

// kill kills the server's process, even if it is suspended.
func (s *Server) kill() {
	if s.process != nil && s.process.Process != nil {
		_ = s.process.Process.Kill() // an error means that it has ended
		_ = s.process.Wait()         // its status is that of a killed process
	}
}

// Suspend stops the server's process until Resume.
func (s *Server) Suspend() { s.signal(syscall.SIGSTOP) }

// Resume lets a suspended process continue.
func (s *Server) Resume() { s.signal(syscall.SIGCONT) }

func (s *Server) signal(signal syscall.Signal) {
	_ = s.process.Process.Signal(signal) // an error means that it has ended
}

// Restart kills the process and starts another. The endpoint list says when it started.
func (s *Server) Restart() error {
	s.kill()
	s.fleet.Oracle.ServerStopped(Now(), s.Name)
	if err := s.start(); err != nil {
		return err
	}
	s.fleet.changeList(func() { s.startedMS = time.Now().UnixMilli() })
	return nil
}
