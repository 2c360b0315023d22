package batchrunner

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/stats"
)

const (
	// minConnectTimeout is the minimum time that a connection attempt to the dispatcher is given.
	minConnectTimeout = time.Second
	// firstReconnectDelay and maxReconnectDelay bound the delay before the connection to a dispatcher that is away is
	// attempted again.
	firstReconnectDelay = 50 * time.Millisecond
	maxReconnectDelay   = time.Second
	// reconnectFactor is the ratio of each delay to the previous one, reconnectJitter the random part of a delay.
	reconnectFactor = 1.6
	reconnectJitter = 0.2
)

// dialDispatcher returns a connection to the dispatcher, which is established when it is first waited for.
func dialDispatcher(address string) (*grpc.ClientConn, error) {
	return grpc.NewClient(
		address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay: firstReconnectDelay, Multiplier: reconnectFactor, Jitter: reconnectJitter, MaxDelay: maxReconnectDelay,
			},
			MinConnectTimeout: minConnectTimeout,
		}),
		grpc.WithDisableServiceConfig(), // it could make the client repeat calls that may have run
		grpc.WithStatsHandler(sendObserver{}),
	)
}

// waitForConnection waits until the dispatcher is connected. It returns false if ctx ends before that.
func (r *Runner) waitForConnection(ctx context.Context) bool {
	for {
		state := r.conn.GetState()
		if state == connectivity.Ready {
			return ctx.Err() == nil
		}
		if state == connectivity.Idle {
			r.conn.Connect()
		}
		if !r.conn.WaitForStateChange(ctx, state) {
			return false
		}
	}
}

// callTrace records whether a call may have reached the dispatcher.
type callTrace struct {
	isSent bool // a stream was opened that the dispatcher has not refused
}

// callTraceKey is the key of a call's *callTrace in its context.
type callTraceKey struct{}

// withCallTrace returns a context for one call and the record of that call, which may be read once the call has ended.
func withCallTrace(ctx context.Context) (context.Context, *callTrace) {
	trace := &callTrace{}
	return context.WithValue(ctx, callTraceKey{}, trace), trace
}

// sendObserver updates the callTrace of each call. It implements stats.Handler.
type sendObserver struct{}

// HandleRPC implements stats.Handler.
func (sendObserver) HandleRPC(ctx context.Context, event stats.RPCStats) {
	trace, ok := ctx.Value(callTraceKey{}).(*callTrace)
	if !ok {
		return
	}
	switch event.(type) {
	case *stats.Begin: // of a repetition too: the client repeats a call only if its stream was certainly not processed
		trace.isSent = false
	case *stats.OutHeader:
		trace.isSent = true
	}
}

// TagRPC implements stats.Handler.
func (sendObserver) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// TagConn implements stats.Handler.
func (sendObserver) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (sendObserver) HandleConn(context.Context, stats.ConnStats) {}
