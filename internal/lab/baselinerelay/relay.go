// Package baselinerelay implements a plain relay on grpc-go as a baseline for the dispatcher: it serves the same
// clients with the same engines and selects prefill and decode servers round robin. It does not keep the invariants
// under faults.
package baselinerelay

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	pb "docksail/api/docksail/v1"
)

// maxConcurrentStreams limits the concurrent streams of one connection to the relay.
const maxConcurrentStreams = 10000

// Relay forwards requests to servers round robin.
type Relay struct {
	pb.UnimplementedGenerationServer
	Addr           string // address on which it listens
	prefillServers []pb.EngineClient
	prefillAddrs   []string
	decodeServers  []pb.EngineClient
	requests       atomic.Uint64 // number of requests received so far
	incarnation    uint64
	grpcServer     *grpc.Server
}

// Start starts a relay to the servers at the given addresses. It listens on addr; port 0 selects a free port.
func Start(addr string, prefillAddrs, decodeAddrs []string) (*Relay, error) {
	r := &Relay{prefillAddrs: prefillAddrs, incarnation: uint64(time.Now().UnixNano())}
	var err error
	if r.prefillServers, err = newClients(prefillAddrs); err != nil {
		return nil, err
	}
	if r.decodeServers, err = newClients(decodeAddrs); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	r.Addr = listener.Addr().String()
	r.grpcServer = grpc.NewServer(grpc.MaxConcurrentStreams(maxConcurrentStreams))
	pb.RegisterGenerationServer(r.grpcServer, r)
	go func() { _ = r.grpcServer.Serve(listener) }() // fails only after Stop
	return r, nil
}

func newClients(addrs []string) ([]pb.EngineClient, error) {
	var clients []pb.EngineClient
	for _, addr := range addrs {
		conn, err := grpc.NewClient(addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
		if err != nil {
			return nil, err
		}
		clients = append(clients, pb.NewEngineClient(conn))
	}
	return clients, nil
}

// Stop stops the relay.
func (r *Relay) Stop() { r.grpcServer.Stop() }

// Generate implements the Generation service.
func (r *Relay) Generate(req *pb.GenerateRequest, out grpc.ServerStreamingServer[pb.Tokens]) error {
	number := r.requests.Add(1)
	return Generate(out.Context(), req, r.incarnation, number, r.prefillServers, r.prefillAddrs, r.decodeServers, out.Send)
}

// Generate runs a request on the prefill and the decode server that number selects round robin, and passes the tokens
// of the answer to send. incarnation and number identify the request to the servers.
func Generate(
	ctx context.Context, req *pb.GenerateRequest, incarnation, number uint64,
	prefillServers []pb.EngineClient, prefillAddrs []string, decodeServers []pb.EngineClient,
	send func(*pb.Tokens) error,
) error {
	attempt := &pb.Launch{Dispatcher: incarnation, Job: number, Request: req}
	i := int(number) % len(prefillServers)
	if _, err := prefillServers[i].Read(ctx, attempt); err != nil {
		return status.Error(codes.Unavailable, err.Error())
	}
	attempt.Shot, attempt.StateAddress = 1, prefillAddrs[i]
	stream, err := decodeServers[int(number)%len(decodeServers)].Write(ctx, attempt)
	if err != nil {
		return err
	}
	for {
		tokens, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := send(tokens); err != nil {
			return err
		}
	}
}
