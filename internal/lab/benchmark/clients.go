package benchmark

import (
	"context"
	"errors"
	"io"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	pb "docksail/api/docksail/v1"
	"docksail/internal/lab/baselinerelay"
)

// clientConnCount is the number of connections from the clients to a relay.
const clientConnCount = 4

// generateFunc sends request number n and calls onTokens for each message of its answer.
type generateFunc func(ctx context.Context, n uint64, request *pb.GenerateRequest, onTokens onTokensFunc) error

// onTokensFunc handles one message of an answer. If it returns an error, the answer ends.
type onTokensFunc func(*pb.Tokens) error

// clients sends requests to a relay, or directly to the engines.
type clients struct {
	conns    []*grpc.ClientConn
	generate generateFunc
}

func (c *clients) close() {
	for _, conn := range c.conns {
		conn.Close()
	}
}

// dial opens a connection that close will close.
func (c *clients) dial(address string) (*grpc.ClientConn, error) {
	conn, err := grpc.NewClient(address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return nil, err
	}
	c.conns = append(c.conns, conn)
	return conn, nil
}

// dialRelay returns clients that send requests to a relay.
func dialRelay(address string) (*clients, error) {
	c := &clients{}
	var stubs []pb.GenerationClient
	for range clientConnCount {
		conn, err := c.dial(address)
		if err != nil {
			c.close()
			return nil, err
		}
		stubs = append(stubs, pb.NewGenerationClient(conn))
	}
	c.generate = func(ctx context.Context, n uint64, request *pb.GenerateRequest, onTokens onTokensFunc) error {
		stream, err := stubs[int(n)%len(stubs)].Generate(ctx, request)
		if err != nil {
			return err
		}
		return receiveTokens(stream, onTokens)
	}
	return c, nil
}

// receiveTokens calls onTokens for each message until the stream ends.
func receiveTokens(stream grpc.ServerStreamingClient[pb.Tokens], onTokens onTokensFunc) error {
	for {
		tokens, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := onTokens(tokens); err != nil {
			return err
		}
	}
}

// dialEngines returns clients that call the engines directly, as the baseline relay does.
func dialEngines(addresses Addresses) (*clients, error) {
	c := &clients{}
	dialAll := func(targets []string) ([]pb.EngineClient, error) {
		var stubs []pb.EngineClient
		for _, address := range targets {
			conn, err := c.dial(address)
			if err != nil {
				return nil, err
			}
			stubs = append(stubs, pb.NewEngineClient(conn))
		}
		return stubs, nil
	}
	prefill, err := dialAll(addresses.PrefillServers)
	if err != nil {
		c.close()
		return nil, err
	}
	decode, err := dialAll(addresses.DecodeServers)
	if err != nil {
		c.close()
		return nil, err
	}
	incarnation := uint64(time.Now().UnixNano())
	c.generate = func(ctx context.Context, n uint64, request *pb.GenerateRequest, onTokens onTokensFunc) error {
		return baselinerelay.Generate(ctx, request, incarnation, n, prefill, addresses.PrefillServers, decode, onTokens)
	}
	return c, nil
}
