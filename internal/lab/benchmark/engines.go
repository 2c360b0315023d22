package benchmark

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	pb "docksail/api/docksail/v1"
	"docksail/internal/lab/baselinerelay"
	"docksail/internal/lab/discoveryserver"
	"docksail/internal/lab/engine"
)

const (
	engineCount        = 48
	prefillEngineCount = 8

	loopbackAddress = "127.0.0.1:0"
	zone            = "a"
	cell            = "a1"

	// endlessPromptTokens is the shortest prompt whose prefill does not end within a run.
	endlessPromptTokens = 1 << 20
	prefillTime         = time.Millisecond / 10
)

// Addresses holds the addresses of the discovery server and the engines.
type Addresses struct {
	Discovery                     string
	PrefillServers, DecodeServers []string
}

// RunEngines runs stand-in engines and a discovery server until in reaches its end. It writes their Addresses to out
// as JSON.
func RunEngines(tokenInterval time.Duration, in io.Reader, out io.Writer) error {
	discovery := discoveryserver.New(0, 0, nil)
	if err := discovery.Start(loopbackAddress); err != nil {
		return err
	}
	addresses := Addresses{Discovery: discovery.Addr()}
	for i := range engineCount {
		spec := engineSpec(i+1, tokenInterval)
		e := engine.New(spec, fixedTimes{tokenInterval}, nil)
		if err := e.Start(loopbackAddress); err != nil {
			return err
		}
		discovery.Set(&pb.Host{
			Id: uint32(spec.ID), Address: e.Addr(), Role: spec.Role, Zone: zone, Cell: cell,
			Health: pb.Health_HEALTH_SERVING,
		}, true)
		if spec.Role == pb.Role_ROLE_READER {
			addresses.PrefillServers = append(addresses.PrefillServers, e.Addr())
		} else {
			addresses.DecodeServers = append(addresses.DecodeServers, e.Addr())
		}
	}
	if err := json.NewEncoder(out).Encode(addresses); err != nil {
		return err
	}
	_, err := io.Copy(io.Discard, in)
	return err
}

// engineSpec returns the specification of an engine whose limits are never reached. The engines with the lowest IDs
// are prefill servers, the others decode servers.
func engineSpec(id int, tokenInterval time.Duration) engine.Spec {
	spec := engine.Spec{
		ID: id, Role: pb.Role_ROLE_READER, Zone: zone, Cell: cell,
		Slots: 20000, Queue: 20000, MemoryTokens: 1 << 40,
		PrefillRate: 1e9, TokenInterval: tokenInterval, RequestsPerSecond: 1e6, InitialCapacity: 1,
		TransferRate: 1e9, MaxHoldTime: time.Minute,
	}
	if id > prefillEngineCount {
		spec.Role, spec.Slots = pb.Role_ROLE_WRITER, 1<<30
	}
	return spec
}

// fixedTimes is an engine.Model whose times do not depend on the load.
type fixedTimes struct{ tokenInterval time.Duration }

// PrefillTime returns prefillTime, or an hour for an endless prompt.
func (m fixedTimes) PrefillTime(_ *engine.Spec, uncached int64, _ float64) time.Duration {
	if uncached >= endlessPromptTokens {
		return time.Hour
	}
	return prefillTime
}

// TokenInterval returns the configured interval.
func (m fixedTimes) TokenInterval(*engine.Spec, int, float64) time.Duration { return m.tokenInterval }

// TransferTime returns 0: transfers take no time.
func (m fixedTimes) TransferTime(*engine.Spec, int64, bool) time.Duration { return 0 }

// RunBaselineRelay runs the baseline relay until in reaches its end. It writes the relay's address to out as one line.
func RunBaselineRelay(addresses Addresses, in io.Reader, out io.Writer) error {
	relay, err := baselinerelay.Start(loopbackAddress, addresses.PrefillServers, addresses.DecodeServers)
	if err != nil {
		return err
	}
	fmt.Fprintln(out, relay.Addr)
	_, err = io.Copy(io.Discard, in)
	return err
}
