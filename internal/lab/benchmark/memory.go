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
	// emptySettingsFrame follows the preface of an HTTP/2 client.
	emptySettingsFrame = "\x00\x00\x00\x04\x00\x00\x00\x00\x00"

	connSettleTime    = time.Second             // until a relay has allocated what connections need, or freed it
	requestSettleTime = 1500 * time.Millisecond // the same of requests
)

// measureMemory writes the resident memory that each relay needs for idle connections and for waiting requests.
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

// measureIdleConns measures connections that carry no stream.
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

// measureWaitingRequests measures requests whose prefill does not end.
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
			// It ends with the error of the canceled context.
			_ = c.generate(ctx, uint64(i), request, func(*pb.Tokens) error { return nil })
		})
	}
	time.Sleep(requestSettleTime)
	return r.printMemory(w, "requests waiting for a prefill", count, before)
}

// printMemory writes by how much the relay's memory has grown for a number of items.
func (r *relay) printMemory(w io.Writer, what string, count int, before int64) error {
	now, err := r.process.residentMemory()
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "%-9s %-22s %8d %14d %14.0f\n",
		r.route, what, count, now-before, float64(now-before)/float64(max(count, 1)))
	return nil
}
