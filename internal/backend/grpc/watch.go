package grpc

import (
	"fmt"
	"net/netip"

	"golang.org/x/net/http2"
	"google.golang.org/grpc/codes"
	"google.golang.org/protobuf/proto"

	pb "docksail/api/docksail/v1"
	"docksail/internal/decide/keepalive"
	"docksail/internal/eventloop"
	"docksail/internal/h2"
	"docksail/internal/state/endpointlist"
	"docksail/policy"
)

// connect connects to the discovery server to open a watch, unless there is a connection or the list comes from a
// file. Failures are reported to the module, which requests another watch by Backend.WatchEndpoints.
func (w *endpointWatcher) connect(now eventloop.Nanos) {
	if w.file != "" || w.conn != nil {
		return
	}
	b := w.backend
	w.http2 = h2.NewClientConn(b.limits, w)
	conn, err := b.loop.Dial(w.addr, b.connectTimeout, w)
	if err != nil {
		b.log.Warn("discovery connect failed", "error", err)
		b.dispatcher.EndpointListFailed(now)
		return
	}
	w.conn = conn
}

// checkKeepalive pings a discovery server that is silent and closes its connection if the ping is not answered: on a
// half-open connection no update would ever arrive.
func (w *endpointWatcher) checkKeepalive(now eventloop.Nanos) {
	if w.conn == nil {
		return
	}
	verdict, nextCheck := keepalive.Policy{PingTimeout: w.checkInterval}.Check(now, keepalive.ConnStatus{
		Ready: true, StreamCount: 1, LastReceivedAt: w.lastReceivedAt,
		LastPingAt: w.lastPingAt, PingsWithoutData: w.pingsWithoutData,
	})
	switch verdict {
	case keepalive.SendPing:
		w.lastPingAt = now
		w.pingsWithoutData++
		w.http2.Ping()
		w.conn.Write(w.http2.TakeOutput())
	case keepalive.CloseDead:
		w.backend.log.Warn("discovery keepalive failed")
		w.conn.Close()
		return
	default:
	}
	w.backend.loop.SetTimer(&w.timer, nextCheck, w.checkKeepalive)
}

// Opened implements eventloop.Handler. It opens the watch on the new connection.
func (w *endpointWatcher) Opened(now eventloop.Nanos) {
	w.now, w.lastReceivedAt, w.lastPingAt, w.pingsWithoutData, w.isOpen = now, now, 0, 0, true
	s := w.http2.OpenStream(pathWatch, w.addr.String(), 0)
	request, err := proto.Marshal(&pb.WatchRequest{})
	if err != nil {
		panic(err)
	}
	s.SendMessage(request, true)
	w.conn.Write(w.http2.TakeOutput())
	w.backend.loop.SetTimer(&w.timer, now+w.checkInterval, w.checkKeepalive)
}

// Received implements eventloop.Handler.
func (w *endpointWatcher) Received(now eventloop.Nanos, p []byte) {
	w.now, w.lastReceivedAt = now, now
	_ = w.http2.Feed(now, p) // the error is checked by Err below
	w.conn.Write(w.http2.TakeOutput())
	if w.http2.Err() != nil {
		w.conn.CloseAfterFlush()
	}
}

// PeerHalfClosed implements eventloop.Handler.
func (w *endpointWatcher) PeerHalfClosed(eventloop.Nanos) { w.conn.Close() }

// OutputFlushed implements eventloop.Handler.
func (w *endpointWatcher) OutputFlushed(eventloop.Nanos) {}

// Closed implements eventloop.Handler. The watch is lost or could not be opened.
func (w *endpointWatcher) Closed(now eventloop.Nanos, err error) {
	b := w.backend
	b.loop.CancelTimer(&w.timer)
	if w.isOpen {
		b.log.Warn("discovery connection lost", "error", err)
	}
	w.conn, w.http2, w.isOpen = nil, nil, false
	b.dispatcher.EndpointListFailed(now)
}

// HeadersReceived implements h2.Handler.
func (w *endpointWatcher) HeadersReceived(*h2.Stream, *h2.Header) {}

// MessageReceived implements h2.Handler. It applies an update of the list. After an invalid one it closes the
// connection: the next watch begins with the full list.
func (w *endpointWatcher) MessageReceived(_ *h2.Stream, p []byte) bool {
	w.pingsWithoutData = 0
	var update pb.FleetNews
	err := proto.Unmarshal(p, &update)
	if err == nil {
		var endpoints []endpointlist.Endpoint
		if endpoints, err = endpointsOf(&update); err == nil {
			err = w.apply(w.now, update.Version, update.Full, endpoints)
		}
	}
	if err != nil {
		w.backend.log.Warn("endpoint list update rejected", "version", update.Version, "error", err)
		w.conn.Close()
	}
	return false
}

// RequestEnded implements h2.Handler.
func (w *endpointWatcher) RequestEnded(*h2.Stream) {}

// StreamFinished implements h2.Handler. The discovery server has ended the watch.
func (w *endpointWatcher) StreamFinished(_ *h2.Stream, code codes.Code, message string, _ *h2.Header) {
	w.backend.log.Warn("discovery watch ended", "code", code.String(), "message", message)
	w.conn.Close()
}

// StreamReset implements h2.Handler.
func (w *endpointWatcher) StreamReset(*h2.Stream, http2.ErrCode, bool) {
	if w.conn != nil {
		w.conn.Close()
	}
}

// StreamFlushed implements h2.Handler.
func (w *endpointWatcher) StreamFlushed(*h2.Stream) {}

// GoAwayReceived implements h2.Handler.
func (w *endpointWatcher) GoAwayReceived() {}

// PingAcked implements h2.Handler.
func (w *endpointWatcher) PingAcked() {}

var healthFromProto = map[pb.Health]policy.Health{
	pb.Health_HEALTH_SERVING:  policy.Serving,
	pb.Health_HEALTH_DRAINING: policy.Draining,
	pb.Health_HEALTH_GONE:     policy.Gone,
}

var roleFromProto = map[pb.Role]policy.Role{
	pb.Role_ROLE_READER: policy.Prefill,
	pb.Role_ROLE_WRITER: policy.Decode,
	pb.Role_ROLE_MIXED:  policy.Mixed,
}

// InvalidEndpointError reports an invalid endpoint in an update of the list.
type InvalidEndpointError struct {
	Address string
	Reason  string
}

// Error implements error.
func (e *InvalidEndpointError) Error() string {
	return fmt.Sprintf("endpoint %q is invalid: %s", e.Address, e.Reason)
}

// endpointsOf converts the endpoints of an update.
func endpointsOf(update *pb.FleetNews) ([]endpointlist.Endpoint, error) {
	var endpoints []endpointlist.Endpoint
	for _, host := range update.Hosts {
		role, ok := roleFromProto[host.Role]
		if !ok {
			return nil, &InvalidEndpointError{host.Address, fmt.Sprintf("role %v is unknown", host.Role)}
		}
		health, ok := healthFromProto[host.Health]
		if !ok {
			return nil, &InvalidEndpointError{host.Address, fmt.Sprintf("health %v is unknown", host.Health)}
		}
		addr, err := netip.ParseAddrPort(host.Address)
		if err != nil {
			return nil, &InvalidEndpointError{host.Address, err.Error()}
		}
		endpoints = append(endpoints, endpointlist.Endpoint{
			ID: policy.ServerID(host.Id), Address: addr, Role: role, Zone: host.Zone,
			Cell: host.Cell, Health: health, StartedUnixNanos: host.StartedUnixNs,
		})
	}
	return endpoints, nil
}
