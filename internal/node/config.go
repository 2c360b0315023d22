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
	Known    backend.List    `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// Load reads the file that RELAY_CONFIG names; the other variables stand in for what it leaves out.
func Load(getenv func(string) string) (*Config, error) {
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
	t := file.Config
	if len(file.Known) > 0 {
		if err := json.Unmarshal(file.Known, &t.Known); err != nil { // discovery is asked all the same
			t.Known = backend.List{Unreadable: []error{fmt.Errorf("%s: known: %w", name, err)}}
		}
	}
	if t.Name == "" {
		t.Name = getenv("RELAY_NAME")
	}
	for _, a := range []struct {
		to   *netip.AddrPort
		from string
	}{{&t.Listen, "RELAY_LISTEN"}, {&t.Discovery, "RELAY_DISCOVERY"}} {
		if a.to.IsValid() {
			continue
		}
		if *a.to, err = netip.ParseAddrPort(getenv(a.from)); err != nil {
			return nil, fmt.Errorf("%s: no address in the file, and %s: %w", name, a.from, err)
		}
	}
	if len(t.Settings) == 0 {
		return nil, fmt.Errorf("%s: no settings", name)
	}
	if t.Limits.Sockets <= 0 {
		t.Limits.Sockets = 256
	}
	if t.Limits.Memory <= 0 {
		t.Limits.Memory = 32
	}
	return &t, nil
}

// seed is the number that feeds all chance; a text that is no hexadecimal number stands for its hash.
func (t *Config) seed() uint64 {
	n, err := strconv.ParseUint(t.Seed, 16, 64)
	if err != nil {
		return xxhash.Sum64String(t.Seed)
	}
	return n
}
