package benchmark

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// route is a path from the clients to the engines. Its value is the name in the printed tables.
type route string

const (
	routeDirect     route = "straight" // without a relay
	routeBaseline   route = "baseline" // the baseline relay
	routeDispatcher route = "docksail"
)

// dispatcherSettings is the format of the dispatcher's settings. Its arguments are the dispatcher's port and the
// address of the discovery server.
const dispatcherSettings = `{
  "listen": "127.0.0.1:%d", "zone": "a", "fleet": {"watch": "%s"},
  "classes": [{"name": "question", "target": "5s", "timeout": "60s", "token_gap": "1s", "effect": "idempotent"}],
  "cold_start": {"from": 1, "warm_after": "1s", "overload_factor": 100, "overload_window": "1s"},
  "rules": {"release_within": "60s"}
}`

const (
	requestClass = "question"             // the class in dispatcherSettings
	startupTime  = 500 * time.Millisecond // for the relays to start listening
)

// relay is a relay under measurement.
type relay struct {
	route   route
	address string
	process *process
}

// testbed holds the processes of a benchmark: the engines and the relays.
type testbed struct {
	directory  string // temporary directory of the settings
	engines    *process
	addresses  Addresses // addresses of the engines and the discovery server
	dispatcher relay
	baseline   relay
}

// startTestbed starts the engines and then the relays. The caller must call stop.
func startTestbed(config *Config) (*testbed, error) {
	b := &testbed{dispatcher: relay{route: routeDispatcher}, baseline: relay{route: routeBaseline}}
	for _, start := range []func(*Config) error{b.startEngines, b.startDispatcher, b.startBaseline} {
		if err := start(config); err != nil {
			b.stop()
			return nil, err
		}
	}
	time.Sleep(startupTime)
	return b, nil
}

func (b *testbed) stop() {
	for _, p := range []*process{b.baseline.process, b.dispatcher.process, b.engines} {
		if p != nil {
			p.stop()
		}
	}
	if b.directory != "" {
		os.RemoveAll(b.directory)
	}
}

func (b *testbed) startEngines(config *Config) error {
	var err error
	b.engines, err = startProcess(config.Program, "lab", "engines", "--gap", config.TokenInterval.String())
	if err != nil {
		return err
	}
	if err := json.NewDecoder(b.engines.output).Decode(&b.addresses); err != nil {
		return fmt.Errorf("read the addresses of the engines: %w", err)
	}
	return nil
}

func (b *testbed) startDispatcher(config *Config) error {
	var err error
	if b.directory, err = os.MkdirTemp("", "docksail-measure"); err != nil {
		return err
	}
	port, err := freePort()
	if err != nil {
		return err
	}
	settings := fmt.Appendf(nil, dispatcherSettings, port, b.addresses.Discovery)
	file := filepath.Join(b.directory, "settings.json")
	if err := os.WriteFile(file, settings, 0o600); err != nil {
		return err
	}
	b.dispatcher.address = fmt.Sprintf("127.0.0.1:%d", port)
	b.dispatcher.process, err = startProcess(config.Program, "serve", file)
	return err
}

func (b *testbed) startBaseline(config *Config) error {
	args := []string{"lab", "baseline-relay"}
	for _, address := range b.addresses.PrefillServers {
		args = append(args, "--reader", address)
	}
	for _, address := range b.addresses.DecodeServers {
		args = append(args, "--writer", address)
	}
	var err error
	if b.baseline.process, err = startProcess(config.Program, args...); err != nil {
		return err
	}
	line := make([]byte, 64)
	n, err := b.baseline.process.output.Read(line)
	if err != nil {
		return fmt.Errorf("read the address of the baseline relay: %w", err)
	}
	b.baseline.address = strings.TrimSpace(string(line[:n]))
	return nil
}

// relay returns the relay of a route, or nil for the direct route.
func (b *testbed) relay(r route) *relay {
	switch r {
	case routeBaseline:
		return &b.baseline
	case routeDispatcher:
		return &b.dispatcher
	case routeDirect:
	}
	return nil
}

// freePort returns a TCP port of the loopback interface that is not in use.
func freePort() (int, error) {
	listener, err := net.Listen("tcp", loopbackAddress)
	if err != nil {
		return 0, err
	}
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).Port, nil
}
