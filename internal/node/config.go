// Package node is one dispatcher in service on the platform: what it is told at its start, its loop with the front, the
// module and the way to the servers, and the signals that it takes.
package node

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"strconv"

	"github.com/cespare/xxhash/v2"

	backend "docksail/internal/backend/platform"
)

// Config is the platform's configuration of one dispatcher.
type Config struct {
	Name      string         `json:"name"`
	Listen    netip.AddrPort `json:"listen"`
	Discovery netip.AddrPort `json:"discovery"`
	Seed      string         `json:"seed"`
	Limits    struct {
		Cores   float64 `json:"cores"`
		Memory  int64   `json:"memory_mb"`
		Sockets int     `json:"sockets"`
	} `json:"limits"`
	InitialList backend.EndpointList `json:"known"`
	Settings    json.RawMessage      `json:"settings"`
}

// LoadConfig reads the file that RELAY_CONFIG names; the other variables stand in for what it leaves out.
func LoadConfig(getenv func(string) string) (*Config, error) {
	name := getenv("RELAY_CONFIG")
	if name == "" {
		return nil, fmt.Errorf("RELAY_CONFIG names no file")
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	var file struct {
		Config
		Known json.RawMessage `json:"known"`
	}
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	config := file.Config
	if len(file.Known) > 0 {
		if err := json.Unmarshal(file.Known, &config.InitialList); err != nil { // discovery is asked all the same
			config.InitialList = backend.EndpointList{InvalidEntries: []error{fmt.Errorf("%s: known: %w", name, err)}}
		}
	}
	if config.Name == "" {
		config.Name = getenv("RELAY_NAME")
	}
	for _, a := range []struct {
		to   *netip.AddrPort
		from string
	}{{&config.Listen, "RELAY_LISTEN"}, {&config.Discovery, "RELAY_DISCOVERY"}} {
		if a.to.IsValid() {
			continue
		}
		if *a.to, err = netip.ParseAddrPort(getenv(a.from)); err != nil {
			return nil, fmt.Errorf("%s: no address in the file, and %s: %w", name, a.from, err)
		}
	}
	if len(config.Settings) == 0 {
		return nil, fmt.Errorf("%s: no settings", name)
	}
	if config.Limits.Sockets <= 0 {
		config.Limits.Sockets = 256
	}
	if config.Limits.Memory <= 0 {
		config.Limits.Memory = 32
	}
	return &config, nil
}

// seed is the number that feeds all chance; a text that is no hexadecimal number stands for its hash.
func (c *Config) seed() uint64 {
	n, err := strconv.ParseUint(c.Seed, 16, 64)
	if err != nil {
		return xxhash.Sum64String(c.Seed)
	}
	return n
}
