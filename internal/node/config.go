package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strconv"

	"github.com/cespare/xxhash/v2"

	backend "docksail/internal/backend/platform"
)

// Environment variables of the platform. configVariable names the configuration file; the others provide values that
// the file does not have.
const (
	configVariable    = "RELAY_CONFIG"
	nameVariable      = "RELAY_NAME"
	listenVariable    = "RELAY_LISTEN"
	discoveryVariable = "RELAY_DISCOVERY"
)

// Limits that apply if the configuration does not set them.
const (
	defaultDescriptors = 256
	defaultMemoryMB    = 32
)

// errNoConfigFile is returned if the environment names no configuration file.
var errNoConfigFile = errors.New(configVariable + " is not set")

// Config is the platform's configuration of one dispatcher.
type Config struct {
	Name        string               `json:"name"`
	Listen      netip.AddrPort       `json:"listen"`
	Discovery   netip.AddrPort       `json:"discovery"`
	Seed        string               `json:"seed"`
	Limits      Limits               `json:"limits"`
	InitialList backend.EndpointList `json:"known"`
	Settings    json.RawMessage      `json:"settings"`
}

// Limits are the resources that a dispatcher may use.
type Limits struct {
	Cores       float64 `json:"cores"`
	MemoryMB    int64   `json:"memory_mb"`
	Descriptors int     `json:"sockets"`
}

// LoadConfig reads the file that RELAY_CONFIG names and completes it from the other variables and the defaults. An
// invalid initial endpoint list is no error: the list is empty then, and its InvalidEntries hold the reason.
func LoadConfig(getenv func(string) string) (*Config, error) {
	name := getenv(configVariable)
	if name == "" {
		return nil, errNoConfigFile
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	var file struct {
		Config
		InitialList json.RawMessage `json:"known"`
	}
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	config := file.Config
	if len(file.InitialList) > 0 {
		if err := json.Unmarshal(file.InitialList, &config.InitialList); err != nil {
			invalid := fmt.Errorf("%s: known: %w", name, err)
			config.InitialList = backend.EndpointList{InvalidEntries: []error{invalid}}
		}
	}
	if err := config.complete(getenv); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return &config, nil
}

// complete sets the values that the file does not have. It returns an error if an address or the settings are missing.
func (c *Config) complete(getenv func(string) string) error {
	if c.Name == "" {
		c.Name = getenv(nameVariable)
	}
	if err := completeAddr(&c.Listen, listenVariable, getenv); err != nil {
		return err
	}
	if err := completeAddr(&c.Discovery, discoveryVariable, getenv); err != nil {
		return err
	}
	if len(c.Settings) == 0 {
		return errors.New("settings are missing")
	}
	if c.Limits.Descriptors <= 0 {
		c.Limits.Descriptors = defaultDescriptors
	}
	if c.Limits.MemoryMB <= 0 {
		c.Limits.MemoryMB = defaultMemoryMB
	}
	return nil
}

// completeAddr sets an address from an environment variable if the file does not have it.
func completeAddr(addr *netip.AddrPort, variable string, getenv func(string) string) error {
	if addr.IsValid() {
		return nil
	}
	parsed, err := netip.ParseAddrPort(getenv(variable))
	if err != nil {
		return fmt.Errorf("address is missing in the file, and missing or invalid in %s: %w", variable, err)
	}
	*addr = parsed
	return nil
}

// seed returns the seed of the random source: Seed as a hexadecimal number or, if it is not one, the hash of its text.
func (c *Config) seed() uint64 {
	n, err := strconv.ParseUint(c.Seed, 16, 64)
	if err != nil {
		return xxhash.Sum64String(c.Seed)
	}
	return n
}
