// Package engine is a stand-in for a model server, on grpc-go. It reads prompts, holds their KV states, hands these
// over and streams answers, with slots, a bounded queue, memory, cached prefixes, slow starts and the faults that a
// scenario asks for. How long work takes comes from a simple model behind the Model interface, or from the batch model;
// the figures measure no real server.
package engine

import (
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	orca "github.com/cncf/xds/go/xds/data/orca/v3"
	"google.golang.org/grpc"

	pb "docksail/api/docksail/v1"
	"docksail/internal/lab/engine/batchmodel"
	"docksail/internal/lab/eventlog"
)

// Spec describes a server. Times are real.
type Spec struct {
	ID                int
	Role              pb.Role
	Zone, Cell        string
	Slots             int           // prompts or answers that run at once
	Queue             int           // further ones that may wait
	MemoryTokens      int64         // tokens of KV state that fit in memory
	PrefillRate       float64       // prompt tokens a second
	TokenGap          time.Duration // between the tokens of an answer that runs alone
	RequestsPerSecond float64       // capacity when warm
	InitialCapacity   float64       // share of the capacity at the start; 1: no slow start
	WarmupTime        time.Duration // until it has its full capacity
	OverloadFactor    float64       // a server that warms up fails when it gets this multiple of its capacity ...
	OverloadWindow    time.Duration // ... within this time
	TransferRate      float64       // tokens of state a second to another server
	MaxHoldTime       time.Duration // a state that is not fetched is released after this
	ReportInterval    time.Duration // how often the load report is refreshed; 0: for every answer
	ReportDelay       time.Duration // how old the load report is when it is sent
	ReportNoise       float64       // spread of the errors of the load report; batch model only
	BatchModel        bool          // uses the batch model in place of Model
}

// Figures that all stand-ins for servers share.
const (
	OverloadTolerance  = 3                     // attempts above the overload limit that are allowed for random bursts
	PauseCheckInterval = 10 * time.Millisecond // how often a paused server looks whether it may go on
	CellLinkFactor     = 3                     // capacity of a cell's link, in multiples of a server's TransferRate
	CrossZoneFactor    = 2                     // how many times as long a token takes to another zone
)

// Engine is one server. It can crash and be started again on the same address.
type Engine struct {
	pb.UnimplementedEngineServer
	Spec  Spec
	Links *Links // over which states move; nil: each transfer takes Model's time alone. Set it before Start
	model Model
	log   *eventlog.Log

	mu       sync.Mutex
	addr     string
	server   *grpc.Server // nil while the process does not run
	listener net.Listener

	started        time.Time
	process        context.Context // canceled when the process ends
	endProcess     context.CancelFunc
	overloaded     bool        // failed from overload; every attempt is answered with an error until the next start
	recentAttempts []time.Time // within the overload window, while warming up
	waiting        int
	running        int

	faults        Faults
	faultsChanged chan struct{} // closed and replaced when faults change

	prefillSlot    chan struct{} // the simple model reads one prompt at a time
	unreadTokens   int64         // prompt tokens that are queued or being read in the simple model
	cancelPrefills map[string]cancelPrefill
	prefixes       prefixCache

	states     map[string]*heldState
	usedTokens int64 // tokens of all held states
	peers      map[string]*grpc.ClientConn

	report     *orca.OrcaLoadReport
	reportedAt time.Time

	batch    *batchRunner // nil: the simple model
	reporter *batchmodel.Reporter
}

// New returns a server that does not run yet. It adds entries to log, which may be nil.
func New(spec Spec, model Model, log *eventlog.Log) *Engine {
	return &Engine{Spec: spec, model: model, log: log, faultsChanged: make(chan struct{})}
}

// HeldStates returns how many KV states it holds.
func (e *Engine) HeldStates() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.states)
}

// Load returns how many attempts run and how many wait.
func (e *Engine) Load() (running, waiting int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running, e.waiting
}

// requestName returns the name under which a request stands in the event log.
func requestName(dispatcher, request uint64) string {
	return strconv.FormatUint(dispatcher, 16) + "." + strconv.FormatUint(request, 16)
}
