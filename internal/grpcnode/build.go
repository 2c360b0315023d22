// Package grpcnode runs a dispatcher whose clients and engines speak gRPC: it connects the decision module, the
// frontend and the backend as the settings describe. Package node does the same for the platform's protocol.
package grpcnode

import (
	"fmt"
	"io"
	"log/slog"

	backend "docksail/internal/backend/grpc"
	"docksail/internal/config"
	"docksail/internal/decide/intake"
	"docksail/internal/decide/memory"
	"docksail/internal/dispatch"
	"docksail/internal/eventloop"
	frontend "docksail/internal/frontend/grpc"
	"docksail/internal/h2"
	"docksail/internal/state/endpointlist"
)

// Identity identifies one start of a dispatcher.
type Identity struct {
	// Seed seeds the module's random number generator.
	Seed uint64
	// Incarnation differs from one start of the dispatcher to the next.
	Incarnation uint64
	// Secrets is the source of secret keys: crypto/rand.Reader except in simulations.
	Secrets io.Reader
}

// ModuleWrapper wraps or replaces the module of a dispatcher. Tests and experiments use it.
type ModuleWrapper func(dispatch.Module) dispatch.Module

// NewDispatcher returns a dispatcher on a loop, configured by settings. The caller starts it by Dispatcher.Start. wrap
// may be nil.
func NewDispatcher(loop *eventloop.Loop, settings *config.Dispatcher, log *slog.Logger, identity Identity,
	wrap ModuleWrapper,
) (*dispatch.Dispatcher, error) {
	dispatcher, _, err := build(loop, settings, log, identity, wrap)
	return dispatcher, err
}

func build(loop *eventloop.Loop, settings *config.Dispatcher, log *slog.Logger, identity Identity, wrap ModuleWrapper,
) (*dispatch.Dispatcher, *frontend.Server, error) {
	list := endpointlist.New()
	router, err := settings.NewPolicy(identity.Seed, list.ZoneID(settings.Zone))
	if err != nil {
		return nil, nil, fmt.Errorf("decision module: %w", err)
	}
	dispatchConfig := newDispatchConfig(settings, router, identity.Incarnation)
	if wrap != nil {
		dispatchConfig.Module = wrap(router)
	}
	dispatcher, err := dispatch.NewQueued(loop, log, dispatchConfig, newQueueConfig(settings, identity.Secrets))
	if err != nil {
		return nil, nil, err
	}
	limits := h2Limits(settings)
	server, err := frontend.New(loop, dispatcher, frontend.Limits{
		HTTP2: limits, Connections: settings.Limits.MaxConnections, OutputBytes: settings.Limits.MaxOutputBytes,
		PartialMessageBytes: settings.Limits.MaxPartialBytes,
	})
	if err != nil {
		return nil, nil, err
	}
	dispatcher.Attach(server, backend.New(loop, dispatcher, log, &backend.Config{
		ConnectTimeout: int64(settings.Attempts.ConnectTimeout),
		Limits:         limits, List: list,
		Discovery: backend.DiscoveryConfig{
			Addr: settings.Discovery.Watch, File: settings.Discovery.File, CacheFile: settings.Discovery.CacheFile,
			MaxListInterval: int64(settings.Discovery.MaxListInterval),
		},
	}))
	return dispatcher, server, nil
}

func newDispatchConfig(settings *config.Dispatcher, module dispatch.Module, incarnation uint64) *dispatch.Config {
	dispatchConfig := &dispatch.Config{
		Module: module, Classes: settings.PolicyClasses(),
		Intake: intake.Limits{
			MaxRequests: settings.Limits.MaxRequests, MaxPromptTokens: int64(settings.Limits.MaxPromptTokens),
		},
		MaxRetryAfter: int64(settings.Responses.MaxRetryAfter), AnswerLeadTime: int64(settings.Responses.AnswerLeadTime),
		KeyHashSeed: settings.HashKey, Incarnation: incarnation,
	}
	if limit := settings.Limits.MaxMemoryBytes; limit > 0 {
		dispatchConfig.Memory = memory.NewForHeap(int64(limit))
	}
	for _, class := range settings.Classes {
		dispatchConfig.ClassNames = append(dispatchConfig.ClassNames, class.Name)
	}
	for _, tenant := range settings.Tenants {
		dispatchConfig.TenantNames = append(dispatchConfig.TenantNames, tenant.Name)
	}
	return dispatchConfig
}

func newQueueConfig(settings *config.Dispatcher, secrets io.Reader) *dispatch.QueueConfig {
	return &dispatch.QueueConfig{
		MaxWaiting: settings.Limits.MaxWaiting, MaxKnownClients: settings.Limits.MaxKnownClients, FIFO: settings.FIFO,
		IssueTickets: settings.Responses.SendRetryAfter, MaxHeapBytes: uint64(settings.Limits.MaxMemoryBytes),
		Tenants: Tenants(settings), Secrets: secrets,
	}
}

// Tenants returns the tenants of the admission queue. If the settings name none, it returns one tenant without a name,
// to which all requests belong.
func Tenants(settings *config.Dispatcher) []dispatch.Tenant {
	var tenants []dispatch.Tenant
	for i, limits := range settings.TenantLimits() {
		tenant := dispatch.Tenant{Limits: limits}
		if len(settings.Tenants) > 0 {
			tenant.Name = settings.Tenants[i].Name
		}
		tenants = append(tenants, tenant)
	}
	return tenants
}

func h2Limits(settings *config.Dispatcher) h2.Limits {
	return h2.Limits{
		MaxStreams: uint32(settings.Limits.MaxStreams), StreamWindow: uint32(settings.Limits.StreamWindowBytes),
		ConnWindow:         h2.DefaultLimits.ConnWindow,
		MaxHeaderListBytes: uint32(settings.Limits.MaxHeaderBytes), MaxMessageBytes: uint32(settings.Limits.MaxMessageBytes),
	}
}
