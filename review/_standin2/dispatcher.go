package main

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/health/grpc_health_v1"
)

// dispatcher is `bin/docksail serve` or `bin/docksail node` as a process of its own.
type dispatcher struct {
	program, config, log string
	addr                 string
	command              *exec.Cmd
	done                 chan struct{}
	record               *record
}

// freeAddr returns a loopback address that nobody listens on.
func freeAddr() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return netip.MustParseAddrPort(listener.Addr().String()).String(), nil
}

// settings are what the cases set of the settings of `docksail serve`; the rest is as in deploy/docksail.json.
type settings struct {
	listen, zone, fleet, classes, batch string
}

func (s *settings) text() string {
	batch := ""
	if s.batch != "" {
		batch = `"batch": ` + s.batch + ",\n  "
	}
	return fmt.Sprintf(`{
  "listen": %q, "zone": %q, "number": 0, "count": 1, "hash_key": 20261201,
  "fleet": %s,
  "classes": %s,
  %s"tenants": [],
  "cold_start": {"from": 0.3, "warm_after": "13s", "overload_factor": 2.5, "overload_window": "2s"},
  "attempts": {"most": 5, "cancel": true, "decode_reads": false, "connect_within": "250ms"},
  "answers": {"ahead": "20ms", "round": "1ms", "advice": true, "most_advice": "60s"},
  "rules": {"release_within": "500ms", "drain_grace": "500ms"},
  "limits": {"requests": 20000, "connections": 20000, "streams": 10000, "stream_window": 65536,
             "message_bytes": 4194304, "header_bytes": 16384, "prompt_tokens": 1048576, "output_bytes": 4194304,
             "partial_bytes": 268435456, "requests_waiting": 10000, "clients_known": 16384},
  "drain_within": "30s"
}
`, s.listen, s.zone, s.fleet, s.classes, batch)
}

// newDispatcher writes the settings of a dispatcher into a folder.
func newDispatcher(r *record, program, folder string, s settings) (*dispatcher, error) {
	d := &dispatcher{
		program: program, config: filepath.Join(folder, "docksail.json"), log: filepath.Join(folder, "docksail.log"),
		addr: s.listen, record: r,
	}
	return d, os.WriteFile(d.config, []byte(s.text()), 0o600)
}

// start starts `docksail serve` and waits until it is ready.
func (d *dispatcher) start() error {
	if err := d.startProcess("serve", d.config); err != nil {
		return err
	}
	return d.waitUntilReady()
}

// startProcess starts the program with arguments.
func (d *dispatcher) startProcess(arguments ...string) error {
	log, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	d.command = exec.Command(d.program, arguments...)
	d.command.Env = append(os.Environ(), "RELAY_CONFIG="+d.config)
	d.command.Stderr, d.command.Stdout = log, log
	d.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.command.Start(); err != nil {
		return err
	}
	d.done = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) { _ = c.Wait(); close(done) }(d.command, d.done)
	d.record.addf("started: docksail %s, process %d", arguments[0], d.command.Process.Pid)
	return nil
}

func (d *dispatcher) waitUntilReady() error {
	conn, err := grpc.NewClient(d.addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return err
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	health := grpc_health_v1.NewHealthClient(conn)
	for {
		_, err := health.Check(ctx, &grpc_health_v1.HealthCheckRequest{}, grpc.WaitForReady(true))
		if err == nil {
			return nil
		}
		select {
		case <-time.After(50 * time.Millisecond):
		case <-d.done:
			return fmt.Errorf("docksail serve has ended, see %s", d.log)
		case <-ctx.Done():
			return err
		}
	}
}

// kill ends the process by SIGKILL and waits for its end.
func (d *dispatcher) kill() {
	if d.command == nil {
		return
	}
	_ = d.command.Process.Kill()
	<-d.done
	d.record.addf("killed: docksail, process %d", d.command.Process.Pid)
}

// hasEnded reports whether the process has ended by itself.
func (d *dispatcher) hasEnded() bool {
	select {
	case <-d.done:
		return true
	default:
		return false
	}
}
