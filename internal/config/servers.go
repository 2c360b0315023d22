package config

import (
	"fmt"
	"net/netip"

	"docksail/internal/state/endpointlist"
	"docksail/policy"
)

// serverList is the content of a file with a list of engines.
type serverList struct {
	Servers []serverEntry `json:"servers" was:"hosts" need:"a list of servers"`
}

// serverEntry is one engine in a serverList.
type serverEntry struct {
	ID      int64          `json:"id" need:"a number above 0"`
	Address netip.AddrPort `json:"address" need:"an address and port"`
	Role    role           `json:"role" need:"prefill, decode or mixed"`
	Zone    string         `json:"zone"`
	Cell    string         `json:"cell"`
	Health  health         `json:"health"`
	Started int64          `json:"started_unix_ns"`
}

const maxServerID = 1<<32 - 1

// ParseServers decodes and checks a list of engines; name stands for the file in errors. It returns one warning for
// each former name that was read.
func ParseServers(name string, text []byte) (list []endpointlist.Endpoint, warnings []string, err error) {
	var file serverList
	decoder := newDecoder(name, text)
	decoder.decode(&file)
	seen := map[int64]bool{}
	for i, server := range file.Servers {
		if server.ID < 1 || server.ID > maxServerID || seen[server.ID] {
			decoder.addError(fmt.Sprintf("servers[%d].id", i),
				"%d is out of range or a duplicate, must be unique and at least 1", server.ID)
		}
		seen[server.ID] = true
		list = append(list, endpointlist.Endpoint{
			ID:               policy.ServerID(server.ID),
			Address:          server.Address,
			Role:             policy.Role(server.Role),
			Zone:             server.Zone,
			Cell:             server.Cell,
			Health:           policy.Health(server.Health),
			StartedUnixNanos: server.Started,
		})
	}
	if err := decoder.err(); err != nil {
		return nil, nil, err
	}
	return list, decoder.warnings, nil
}
