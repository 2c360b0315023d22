package benchmark

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"golang.org/x/net/http2"

	pb "docksail/api/docksail/v1"
)

const (
	// emptySettingsFrame is an HTTP/2 SETTINGS frame without settings, which must follow the client preface.
	emptySettingsFrame = "\x00\x00\x00\x04\x00\x00\x00\x00\x00"

	connSettleTime    = time.Second             // for a relay to allocate or free the memory of connections
	requestSettleTime = 1500 * time.Millisecond // for a relay to allocate the memory of requests
)

// measureMemory writes by how much idle connections and waiting requests increase the resident memory of each relay.
func (b *testbed) measureMemory(ctx context.Context, config *Config) error {
	fmt.Fprintf(config.Output, "%-9s %-22s %8s %14s %14s\n", "way", "what", "number", "bytes in all", "bytes for one")
	for _, r := range []*relay{&b.baseline, &b.dispatcher} {
		if err := r.measureIdleConns(config.Output, config.IdleConns); err != nil {
			return err
		}
		if err := r.measureWaitingRequests(ctx, config.Output, config.WaitingRequests); err != nil {
			return err
		}
	}
	return nil
}

// measureIdleConns measures the memory of connections without streams.
func (r *relay) measureIdleConns(w io.Writer, count int) error {
	before, err := r.process.residentMemory()
	if err != nil {
		return err
	}
	var conns []net.Conn
	defer func() {
		for _, conn := range conns {
			conn.Close()
		}
	}()
	for range count {
		conn, err := net.Dial("tcp", r.address)
		if err != nil {
			return err
		}
		conns = append(conns, conn)
		if _, err := conn.Write([]byte(http2.ClientPreface + emptySettingsFrame)); err != nil {
			return err
		}
	}
	time.Sleep(connSettleTime)
	return r.printMemory(w, "idle connections", len(conns), before)
}

// measureWaitingRequests measures the memory of requests whose prefill does not end.
func (r *relay) measureWaitingRequests(ctx context.Context, w io.Writer, count int) error {
	c, err := dialRelay(r.address)
	if err != nil {
		return err
	}
	defer c.close()
	time.Sleep(connSettleTime)
	before, err := r.process.residentMemory()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	var waiting sync.WaitGroup
	defer waiting.Wait()
	defer cancel()
	for i := range count {
		waiting.Go(func() {
			request := &pb.GenerateRequest{Track: requestClass, PromptTokens: endlessPromptTokens, MaxTokens: 1}
			// The error is that of the canceled context.
			_ = c.generate(ctx, uint64(i), request, func(*pb.Tokens) error { return nil })
		})
	}
	time.Sleep(requestSettleTime)
	return r.printMemory(w, "requests waiting for a prefill", count, before)
}

// printMemory writes by how much the relay's memory has grown, in total and per item.
func (r *relay) printMemory(w io.Writer, itemKind string, count int, before int64) error {
	after, err := r.process.residentMemory()
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "%-9s %-22s %8d %14d %14.0f\n",
		r.route, itemKind, count, after-before, float64(after-before)/float64(max(count, 1)))
	return nil
}
