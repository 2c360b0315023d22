package dispatch

import (
	"net/netip"

	"docksail/internal/decide/inflight"
	"docksail/internal/eventloop"
	"docksail/policy"
)

// Frontend accepts clients. It hands their requests to the dispatcher by Submit and is answered by the
// frontend.ResponseWriter that it passes.
type Frontend interface {
	// Listen starts to accept connections. It returns the address that it listens on.
	Listen(at netip.AddrPort, sharePort bool) (netip.AddrPort, error)
	// Flush writes the output of this iteration of the loop to the sockets.
	Flush()
	// ConnCount returns the number of open connections.
	ConnCount() int
	// IsIdle reports whether no connection has a request in progress or output to be written.
	IsIdle() bool
	// Drain stops accepting connections and requests.
	Drain()
}

// Backend connects to the servers and to the source of the endpoint list. It reports the list by
// Dispatcher.EndpointListUpdated and EndpointListFailed, and the progress of attempts by Dispatcher.RelayTokens,
// FinishAttempt and FailInvalidRequest.
type Backend interface {
	// Start asks for the endpoint list.
	Start(now eventloop.Nanos)
	// WatchEndpoints asks for the endpoint list again, after EndpointListFailed.
	WatchEndpoints(now eventloop.Nanos)
	// IsPrefill reports whether a server is a prefill server, and whether the server is known at all.
	IsPrefill(server policy.ServerID) (isPrefill, known bool)
	// ServerName returns the name by which a server is logged.
	ServerName(server policy.ServerID) string
	// StartAttempt sends a request to its Server. It returns nil if the attempt was not and will not be sent.
	StartAttempt(now eventloop.Nanos, req *Request, attempt policy.AttemptNumber) Attempt
	// Release has the KV state released that an attempt of a request left at a server and that is held since then.
	// The request may be done after the call.
	Release(now eventloop.Nanos, req *Request, server policy.ServerID, attempt policy.AttemptNumber,
		heldSince eventloop.Nanos)
	// Flush writes the output of this iteration of the loop to the sockets.
	Flush()
	// IsIdle reports whether nothing is left that still has to reach a server.
	IsIdle() bool
	// Close is called when the loop has ended.
	Close()
}

// Attempt is an outstanding attempt as its backend knows it.
type Attempt interface {
	// Finish is called once when the attempt has ended, whoever ended it. An attempt that the server has not ended is
	// canceled there. Finish reports whether the server may have received the complete request.
	Finish(now eventloop.Nanos) (mayHaveArrived bool)
	// AfterFinish follows Finish when the end of the attempt has been reported to the module.
	AfterFinish(now eventloop.Nanos)
	// CreditWindow says that the client has taken so many bytes for which the server was held back.
	CreditWindow(bytes int)
	// DeliveryState returns how far the attempt is known to have come.
	DeliveryState() inflight.DeliveryState
	// ServerResponsive reports whether the server has been heard since the attempt was sent, on any connection.
	ServerResponsive() bool
}

// BackendState is what a backend keeps with the record of a request.
type BackendState interface {
	// Reset is called when the record is used for a new request.
	Reset()
}

// EndpointListUpdated reports an update of the endpoint list to the module. full says that the update names all
// servers, hasServers that it names any. report is called to list the servers.
func (d *Dispatcher) EndpointListUpdated(now eventloop.Nanos, full, hasServers bool, report func(module Module)) {
	d.module.ListUpdateStarted(full)
	report(d.module)
	d.module.ListUpdateEnded(d.ModuleTime(now))
	d.intake.ListKnown = d.intake.ListKnown || hasServers
}

// EndpointListFailed reports to the module that the endpoint list is out of reach.
func (d *Dispatcher) EndpointListFailed(now eventloop.Nanos) {
	d.module.ListUpdateFailed(d.ModuleTime(now))
}

// HasEndpointList reports whether a list that names servers has come.
func (d *Dispatcher) HasEndpointList() bool { return d.intake.ListKnown }
