// Package engine is a stand-in for a model server, on grpc-go. It runs prefills, holds their KV states, transfers
// these to other servers and streams answers. It has slots, a bounded queue, memory, cached prefixes, a slow start
// and the faults of a scenario. The duration of work follows a simple model behind the Model interface, or the batch
// model; neither reproduces measurements of a real server.
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

// Spec describes a server. Durations are in real time.
type Spec struct {
	ID                int
	Role              pb.Role
	Zone, Cell        string
	Slots             int           // prompts or answers processed at once
	Queue             int           // prompts or answers that may wait for a slot
	MemoryTokens      int64         // tokens of KV state that fit in memory
	PrefillRate       float64       // prompt tokens per second
	TokenInterval     time.Duration // time between the tokens of an answer that runs alone
	RequestsPerSecond float64       // capacity after the warm-up
	InitialCapacity   float64       // fraction of the capacity at the start; 1: no slow start
	WarmupTime        time.Duration // time until the full capacity is reached
	OverloadFactor    float64       // a load above this multiple of the capacity during the warm-up makes the server fail
	OverloadWindow    time.Duration // time over which the load is measured for OverloadFactor
	TransferRate      float64       // state tokens per second to another server
	MaxHoldTime       time.Duration // time after which a state that was not fetched is released
	ReportInterval    time.Duration // interval between refreshes of the load report; 0: refreshed for each answer
	ReportDelay       time.Duration // minimum age of the load report when it is sent
	ReportNoise       float64       // noise of the load report, see batchmodel.NewReporter; batch model only
	BatchModel        bool          // use the batch model instead of Model
}

// Parameters shared by all stand-in servers, real and simulated.
const (
	OverloadTolerance  = 3                     // attempts allowed above the overload limit, for random bursts
	PauseCheckInterval = 10 * time.Millisecond // interval at which a paused server checks whether the pause is over
	CellLinkFactor     = 3                     // capacity of a cell's link, as a multiple of a server's TransferRate
	CrossZoneFactor    = 2                     // transfer time to another zone, as a multiple of that within a zone
)

// Engine is one stand-in server. It can crash and be restarted on the same address.
type Engine struct {
	pb.UnimplementedEngineServer
	Spec  Spec
	Links *Links // shared links for transfers of states; nil: transfers take the time of Model. Must be set before Start
	model Model
	log   *eventlog.Log

	mu       sync.Mutex
	addr     string
	server   *grpc.Server // nil while the process is not running
	listener net.Listener

	started        time.Time
	process        context.Context // canceled when the process ends
	endProcess     context.CancelFunc
	overloaded     bool        // failed from overload; all attempts fail until the next start
	recentAttempts []time.Time // times of the attempts within OverloadWindow, recorded during the warm-up
	waiting        int         // attempts without a slot
	running        int         // attempts with a slot

	faults        Faults
	faultsChanged chan struct{} // closed and replaced when the faults change

	prefillSlot        chan struct{}            // held by the one prefill that runs in the simple model
	queuedPromptTokens int64                    // prompt tokens of queued and running prefills in the simple model
	cancelPrefills     map[string]cancelPrefill // running prefills, by request name
	prefixes           prefixCache

	states     map[string]*heldState       // by request name
	usedTokens int64                       // tokens of all held states
	peers      map[string]*grpc.ClientConn // connections to other servers, by address

	report     *orca.OrcaLoadReport
	reportedAt time.Time

	batch    *batchRunner // nil in the simple model
	reporter *batchmodel.Reporter
}

// New returns an engine that is not started. It adds entries to log, which may be nil.
func New(spec Spec, model Model, log *eventlog.Log) *Engine {
	return &Engine{Spec: spec, model: model, log: log, faultsChanged: make(chan struct{})}
}

// HeldStates returns the number of KV states that the engine holds.
func (e *Engine) HeldStates() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.states)
}

// Load returns the numbers of attempts that run and that wait for a slot.
func (e *Engine) Load() (running, waiting int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running, e.waiting
}

// requestID returns the identifier of a request in the event log.
func requestID(dispatcher, request uint64) string {
	return strconv.FormatUint(dispatcher, 16) + "." + strconv.FormatUint(request, 16)
}
