// Package baselinerelay is a plain relay on grpc-go to measure against: the same front and engines, readers and writers
// in turn, no decisions. It keeps no rule under failures.
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

// Relay passes jobs on in turn.
type Relay struct {
	pb.UnimplementedGenerationServer
	readers, writers []pb.EngineClient
	addrs            []string // of the readers
	next             atomic.Uint64
	life             uint64
	srv              *grpc.Server
	Addr             string
}

// Start starts a relay to readers and writers on a free port of the loopback, or on the one that is named.
func Start(addr string, readers, writers []string) (*Relay, error) {
	r := &Relay{addrs: readers, life: uint64(time.Now().UnixNano())}
	for i, list := range [][]string{readers, writers} {
		for _, a := range list {
			c, err := grpc.NewClient(a, grpc.WithTransportCredentials(insecure.NewCredentials()))
			if err != nil {
				return nil, err
			}
			if i == 0 {
				r.readers = append(r.readers, pb.NewEngineClient(c))
			} else {
				r.writers = append(r.writers, pb.NewEngineClient(c))
			}
		}
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	r.Addr = ln.Addr().String()
	r.srv = grpc.NewServer(grpc.MaxConcurrentStreams(10000))
	pb.RegisterGenerationServer(r.srv, r)
	go r.srv.Serve(ln)
	return r, nil
}

// Stop ends it.
func (r *Relay) Stop() { r.srv.Stop() }

// Generate implements the Generation service.
func (r *Relay) Generate(req *pb.GenerateRequest, out grpc.ServerStreamingServer[pb.Tokens]) error {
	return Generate(out.Context(), req, r.life, r.next.Add(1), r.readers, r.addrs, r.writers, out.Send)
}

// Generate plays one job straight on engines: readers and writers in turn by n.
func Generate(ctx context.Context, req *pb.GenerateRequest, life, n uint64, readers []pb.EngineClient, addrs []string,
	writers []pb.EngineClient, send func(*pb.Tokens) error,
) error {
	l := &pb.Launch{Dispatcher: life, Job: n, Request: req}
	at := int(n) % len(readers)
	if _, err := readers[at].Read(ctx, l); err != nil {
		return status.Error(codes.Unavailable, err.Error())
	}
	l.Shot, l.StateAddress = 1, addrs[at]
	in, err := writers[int(n)%len(writers)].Write(ctx, l)
	if err != nil {
		return err
	}
	for {
		tok, err := in.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := send(tok); err != nil {
			return err
		}
	}
}
