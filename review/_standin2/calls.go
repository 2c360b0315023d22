package main

import (
	"context"
	"io"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	pb "docksail/api/docksail/v1"
)

// ending says how a call ended for its client.
type ending string

const (
	served    ending = "served"            // OK
	rejected  ending = "rejected"          // UNAVAILABLE or RESOURCE_EXHAUSTED with the time after which to retry
	failed    ending = "failed"            // ABORTED
	cancelled ending = "cancelled by us"   // the client left
	lost      ending = "NO FINAL ANSWER"   // none of these: the connection ended, or the client's time was up
	invalid   ending = "called invalid"    // INVALID_ARGUMENT
	notSent   ending = "not sent"          // no connection
	brokenOff ending = "failed, was begun" // ABORTED after the first token
)

// result is the end of one call.
type result struct {
	sentAt time.Time
	ending ending
	tokens int
	detail string
}

// dial returns a connection of one client process: all its calls share it.
func dial(addr string) (*grpc.ClientConn, error) {
	return grpc.NewClient(
		addr, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithDisableServiceConfig(),
	)
}

// call sends one request and waits for its end.
func call(ctx context.Context, conn *grpc.ClientConn, request *pb.GenerateRequest) result {
	r := result{sentAt: time.Now()}
	left := ctx
	ctx, cancel := context.WithTimeout(ctx, time.Duration(request.PatienceNs)+20*time.Second)
	defer cancel()
	stream, err := pb.NewGenerationClient(conn).Generate(ctx, request)
	if err == nil {
		for {
			var tokens *pb.Tokens
			if tokens, err = stream.Recv(); err != nil {
				break
			}
			r.tokens += len(tokens.Tokens)
		}
	}
	var trailer metadata.MD
	if stream != nil && err != nil {
		trailer = stream.Trailer()
	}
	r.ending = endingOf(left, err, trailer, r.tokens)
	if err != nil && err != io.EOF {
		r.detail = status.Convert(err).Code().String() + ": " + status.Convert(err).Message()
	}
	return r
}

func endingOf(left context.Context, err error, trailer metadata.MD, tokens int) ending {
	if err == io.EOF {
		return served
	}
	code := status.Code(err)
	advised := len(trailer.Get("grpc-retry-pushback-ms")) > 0
	switch {
	case (code == codes.Unavailable || code == codes.ResourceExhausted) && advised:
		return rejected
	case code == codes.Aborted && advised && tokens > 0:
		return brokenOff
	case code == codes.Aborted && advised:
		return failed
	case code == codes.InvalidArgument:
		return invalid
	case left.Err() != nil:
		return cancelled
	}
	return lost
}

// tally counts results by their ends.
type tally struct {
	mu      sync.Mutex
	results []result
}

func (t *tally) add(r result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.results = append(t.results, r)
}

func (t *tally) count(e ending) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, r := range t.results {
		if r.ending == e {
			n++
		}
	}
	return n
}

func (t *tally) report(r *record, who string) {
	for _, e := range []ending{served, rejected, failed, brokenOff, cancelled, invalid, notSent, lost} {
		if n := t.count(e); n > 0 {
			r.sayf("%s: %d %s", who, n, e)
		}
	}
}
