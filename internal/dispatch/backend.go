package dispatch

import (
	"net/netip"

	"docksail/internal/decide/inflight"
	"docksail/internal/eventloop"
	"docksail/policy"
)

// Frontend accepts clients. It passes their requests to Dispatcher.Submit, together with the frontend.ResponseWriter
// through which the dispatcher answers them.
type Frontend interface {
	// Listen starts to accept connections. It returns the address that the frontend listens on.
	Listen(addr netip.AddrPort, sharePort bool) (netip.AddrPort, error)
	// Flush writes the output of this iteration of the loop to the sockets.
	Flush()
	// ConnCount returns the number of open connections.
	ConnCount() int
	// IsIdle reports whether a draining frontend has finished: at least, no connection has a request in progress or
	// output to be written.
	IsIdle() bool
	// Drain begins to close the listener and the connections of clients. Until they are closed, the frontend may still
	// submit requests.
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
	// StartAttempt sends a request to the server that req.Server names. It returns nil if the attempt was not and will
	// not be sent.
	StartAttempt(now eventloop.Nanos, req *Request, attempt policy.AttemptNumber) Attempt
	// Release starts to release the KV state that an attempt of a request left at a server, where it has been held since
	// heldSince. The request may be removed once the call has returned.
	Release(now eventloop.Nanos, req *Request, server policy.ServerID, attempt policy.AttemptNumber,
		heldSince eventloop.Nanos)
	// Flush writes the output of this iteration of the loop to the sockets.
	Flush()
	// IsIdle reports whether no message is left that must still reach a server.
	IsIdle() bool
	// Close is called when the loop has ended.
	Close()
}

// Attempt is an outstanding attempt as its backend knows it.
type Attempt interface {
	// Finish is called once when the attempt has ended, for whatever reason. If the server has not ended the attempt,
	// Finish cancels it there. It reports whether the server may have received the complete request.
	Finish(now eventloop.Nanos) (mayHaveBeenReceived bool)
	// AfterFinish is called after Finish, when the end of the attempt has been reported to the module.
	AfterFinish(now eventloop.Nanos)
	// CreditWindow gives the server flow-control credit for bytes that the client has taken since the server was paused.
	CreditWindow(bytes int)
	// DeliveryState returns how far the delivery of the attempt to its server is known to have progressed.
	DeliveryState() inflight.DeliveryState
	// ServerResponsive reports whether data has come from the server since the attempt was sent, on any connection.
	ServerResponsive() bool
}

// BackendState is a backend's own data in the record of a request.
type BackendState interface {
	// Reset is called when the record is reused for a new request.
	Reset()
}

// EndpointListUpdated reports an update of the endpoint list to the module. full reports whether the update names all
// servers, hasServers whether it names any. The call to report passes the servers to the module.
func (d *Dispatcher) EndpointListUpdated(now eventloop.Nanos, full, hasServers bool, report func(module Module)) {
	d.module.ListUpdateStarted(full)
	report(d.module)
	d.module.ListUpdateEnded(d.ModuleTime(now))
	d.intake.EndpointListKnown = d.intake.EndpointListKnown || hasServers
}

// EndpointListFailed reports to the module that the endpoint list could not be fetched, or that the watch on it ended.
func (d *Dispatcher) EndpointListFailed(now eventloop.Nanos) {
	d.module.ListUpdateFailed(d.ModuleTime(now))
}

// HasEndpointList reports whether an endpoint list that names servers has been received.
func (d *Dispatcher) HasEndpointList() bool { return d.intake.EndpointListKnown }
