package userclient

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	pb "docksail/api/docksail/v1"
	"docksail/internal/lab/eventlog"
)

const (
	minConnectTimeout = 200 * time.Millisecond
	// zeroRateStep is the step in which nextArrival searches for a time at which the rate is above 0.
	zeroRateStep = 10 * time.Millisecond
	// maxArrivalStep limits the time between two arrivals, so that arrivals follow a changing rate.
	maxArrivalStep = 200 * time.Millisecond
)

// loadRunner is the state of one RunLoad call.
type loadRunner struct {
	load     Load
	log      *eventlog.Log
	clients  map[string][][]pb.GenerationClient // by class and dispatcher, one per connection
	nextConn atomic.Int64                       // selects the connections to a dispatcher round robin

	mu        sync.Mutex
	summaries map[string]*Summary // by class
}

// RunLoad runs a load to its end and returns its summaries by class. It adds entries to log, which may be nil.
func RunLoad(ctx context.Context, l Load, log *eventlog.Log) (map[string]*Summary, error) {
	r := &loadRunner{load: l, log: log, clients: map[string][][]pb.GenerationClient{}, summaries: map[string]*Summary{}}
	closeConns, err := r.connect()
	defer closeConns()
	if err != nil {
		return nil, err
	}
	for i := range l.Classes {
		r.summaries[l.Classes[i].Name] = &Summary{}
	}
	r.runSessions(ctx)
	return r.summaries, nil
}

// connect creates the clients of all classes. The caller must call closeConns, even after an error.
func (r *loadRunner) connect() (closeConns func(), err error) {
	var conns []*grpc.ClientConn
	closeConns = func() {
		for _, conn := range conns {
			conn.Close()
		}
	}
	for i := range r.load.Classes {
		class := &r.load.Classes[i]
		// The clients of each class use a source address of their own.
		dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, byte(2+i))}}
		for _, target := range r.load.Targets {
			var clients []pb.GenerationClient
			for range max(r.load.ConnsPerDispatcher, class.ConnsPerDispatcher, 1) {
				conn, err := newConn(target, dialer)
				if err != nil {
					return closeConns, fmt.Errorf("client of %s: %w", target, err)
				}
				conns = append(conns, conn)
				clients = append(clients, pb.NewGenerationClient(conn))
			}
			r.clients[class.Name] = append(r.clients[class.Name], clients)
		}
	}
	return closeConns, nil
}

func newConn(target string, dialer *net.Dialer) (*grpc.ClientConn, error) {
	dial := func(ctx context.Context, addr string) (net.Conn, error) { return dialer.DialContext(ctx, "tcp", addr) }
	return grpc.NewClient(target,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(dial),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: minConnectTimeout}))
}

// runSessions starts each session when it is due, and waits for the end of all sessions.
func (r *loadRunner) runSessions(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	rng := rand.New(rand.NewPCG(r.load.Seed, 1))
	begin := time.Now()
	at := time.Duration(0)
	for n := 0; ; n++ {
		var more bool
		if at, more = r.load.nextArrival(at, n, rng); !more || ctx.Err() != nil {
			return
		}
		s := &session{runner: r, index: n, class: r.load.drawClass(rng), promptFactor: 1}
		s.rng = rand.New(rand.NewPCG(rng.Uint64(), uint64(n)))
		if r.load.PromptFactor != nil {
			s.promptFactor = r.load.PromptFactor(at)
		}
		due := begin.Add(at)
		sleepUntil(ctx, due)
		wg.Go(func() { s.run(ctx, due) })
	}
}

// sleepUntil waits until the given time or the end of the context.
func sleepUntil(ctx context.Context, t time.Time) {
	sleep(ctx, time.Until(t))
}

// sleep waits for the given duration or the end of the context.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// drawClass returns a random class, weighted by the shares of the classes.
func (l *Load) drawClass(rng *rand.Rand) *Class {
	x := rng.Float64()
	for i := range l.Classes {
		if x -= l.Classes[i].Share; x < 0 {
			return &l.Classes[i]
		}
	}
	return &l.Classes[len(l.Classes)-1]
}

// nextArrival returns the arrival time of session n, given that of the session before it. It returns false if there
// are no more sessions.
func (l *Load) nextArrival(at time.Duration, n int, rng *rand.Rand) (time.Duration, bool) {
	if len(l.Arrivals) > 0 {
		if n >= len(l.Arrivals) {
			return 0, false
		}
		return l.Arrivals[n], true
	}
	for {
		rate := l.Rate(at)
		if rate <= 0 {
			at += zeroRateStep
		} else {
			at += min(time.Duration(rng.ExpFloat64()/rate*1e9), maxArrivalStep)
		}
		if at >= l.Duration || rate > 0 {
			return at, at < l.Duration
		}
	}
}
