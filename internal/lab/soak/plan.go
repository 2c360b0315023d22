package soak

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	minProcesses         = 10
	defaultMaxProcesses  = 40
	minServersPerRole    = 3
	minDispatchers       = 2
	clientsPerDispatcher = 8

	defaultMemoryMB       = 96   // that a dispatcher may use
	defaultMaxDescriptors = 1024 // file descriptors that a dispatcher may use
	reducedMaxDescriptors = 60
	defaultReleaseTime    = time.Second
)

// pressureLimits are the limits of dispatchers that may come under pressure, as the platform sets them together.
var pressureLimits = [...]struct{ memoryMB, descriptors int }{{80, 512}, {96, 768}, {192, 1024}}

// Plan is what a seed determines before a run: the fleet, its settings and the schedule of faults.
type Plan struct {
	Prefill     int // servers
	Decode      int // servers
	Dispatchers int
	Schedule    []Fault

	clients                     int
	longestDeadline             time.Duration // of any request of the run
	hasCrowds                   bool
	hasPressure                 bool
	memoryMB                    int // of a dispatcher
	releaseTime                 time.Duration
	cancelEnabled               bool
	maxDescriptors              int // of a dispatcher
	releasesRemoveAwaitedStates bool
	faultInterval               time.Duration // mean time between the starts of two faults
}

// NewPlan returns the plan of a seed for a run of the given duration. maxProcesses limits the fleet; 0 means 40.
func NewPlan(seed uint64, maxProcesses int, duration time.Duration) Plan {
	rng := rand.New(rand.NewPCG(seed, 1))
	p := drawFleet(rng, maxProcesses)
	p.Schedule = drawSchedule(rng, &p, duration)
	return p
}

// drawFleet draws the fleet and its settings. The order of the draws determines the plan of a seed.
func drawFleet(rng *rand.Rand, maxProcesses int) Plan {
	if maxProcesses <= 0 {
		maxProcesses = defaultMaxProcesses
	}
	processes := minProcesses + rng.IntN(max(maxProcesses-minProcesses, 0)+1)
	p := Plan{
		Dispatchers: max(processes/4, minDispatchers), releaseTime: defaultReleaseTime,
		cancelEnabled: rng.IntN(3) > 0,
		faultInterval: randomDuration(rng, 60*time.Millisecond, 400*time.Millisecond),
	}
	switch rng.IntN(4) {
	case 0:
		p.releaseTime = 700 * time.Millisecond
	case 1:
		p.releaseTime = 400 * time.Millisecond
	}
	p.releasesRemoveAwaitedStates = rng.IntN(3) == 0
	p.maxDescriptors = defaultMaxDescriptors
	if rng.IntN(4) == 0 {
		p.maxDescriptors = reducedMaxDescriptors
	}
	p.longestDeadline = randomDuration(rng, minDeadline, maxDeadline)
	if p.hasCrowds = rng.IntN(3) == 0; p.hasCrowds {
		p.maxDescriptors = reducedMaxDescriptors
	}
	p.memoryMB = defaultMemoryMB
	if p.hasPressure = rng.IntN(2) == 0; p.hasPressure && !p.hasCrowds {
		limits := pressureLimits[rng.IntN(len(pressureLimits))]
		p.memoryMB, p.maxDescriptors = limits.memoryMB, limits.descriptors
	}
	p.Prefill = max((processes-p.Dispatchers)/2, minServersPerRole)
	p.Decode = max(processes-p.Dispatchers-p.Prefill, minServersPerRole)
	p.clients = clientsPerDispatcher * p.Dispatchers
	return p
}

// processes returns the number of processes in the fleet.
func (p *Plan) processes() int { return p.Prefill + p.Decode + p.Dispatchers }

// description describes the fleet in the verdict.
func (p *Plan) description() string {
	return fmt.Sprintf(
		"%d prefill, %d decode, %d dispatchers, %d sockets, release %v, cancel %v, releases remove awaited states %v, "+
			"deadlines to %v, crowds %v, pressure %v, %d MB",
		p.Prefill, p.Decode, p.Dispatchers, p.maxDescriptors, p.releaseTime, p.cancelEnabled,
		p.releasesRemoveAwaitedStates, p.longestDeadline.Round(time.Millisecond), p.hasCrowds,
		p.hasPressure, p.memoryMB)
}

// settingsFormat formats the settings object of the dispatchers. Its arguments are the release time in nanoseconds,
// whether attempts are canceled, the number of dispatchers and three request classes.
const settingsFormat = `{"family_info":{"release_ns":%d,"role_by_kind":["read","write"],
"token_aim_ns":[60000000,60000000,60000000],
"aim_us_per_1000_prompt_tokens":[40000,40000,40000]},"limits":{"cancel":%v,"conn_idle_ns":15000000000,
"connect_timeout_ns":250000000,
"max_attempts":6,"max_retry_after_ns":1000000000,"retry_after":true},"localities":["z"],
"machine_types":["prefill","decode"],
"me":0,"siblings":%d,"zone":"z","membership_mode":"pushed","round_ns":4000000,"request_classes":[%s,%s,%s],
"rules":{"answer_slack_ns":16000000,"cold_from":0.5,"cold_ns":500000000,"fall_multiple":2.5,"fall_ns":1000000000},
"tenants":[]}`

// classFormat formats a request class. Its arguments are the effect, the name and the dedup window in nanoseconds.
const classFormat = `{"dedup_scope":"all","effect":%q,"give_up_ns":6000000000,"late_value":0.1,"name":%q,` +
	`"on_time_ns":1500000000,"points":3,"window_ns":%d}`

// Effects of request classes, which are also their names.
const (
	effectIdempotent   = "idempotent"
	effectDeduplicated = "deduplicated"
	effectAtMostOnce   = "at_most_once"
)

var effects = [...]string{effectIdempotent, effectDeduplicated, effectAtMostOnce}

// settings returns the settings object of the dispatchers.
func (p *Plan) settings() string {
	class := func(effect string, window time.Duration) string {
		return fmt.Sprintf(classFormat, effect, effect, window)
	}
	return fmt.Sprintf(settingsFormat, p.releaseTime, p.cancelEnabled, p.Dispatchers,
		class(effectIdempotent, 5*time.Second),
		class(effectDeduplicated, 2*time.Second),
		class(effectAtMostOnce, 5*time.Second))
}

// AttemptPlan is what a stand-in server does with an attempt. The process that runs the soak makes the plan, so that
// it depends on the seed and not on the state of the server's process.
type AttemptPlan struct {
	Work          time.Duration // time until a prefill ends, or a decode attempt fetches its state
	TokenInterval time.Duration // after each event of a stream, or each part of one
	Tokens        int           // events of a stream before the one that ends it; 0 = eventsPerStream - 1
	TokenBytes    int           // size of each of them; 0 = that of tokenEvent
	TokenPieces   int           // parts in which the events between the first and the last are written; 0 = 1
	// Status of the answer; 0 = that of a healthy server. A prefill with another status leaves its state as well.
	Status int
	Reset  bool // the connection is reset instead of answered
}

// planAttempt returns what a server does with an attempt. The plan depends only on the arguments.
func planAttempt(seed uint64, id string, isPrefill bool, server string) AttemptPlan {
	rng := rand.New(rand.NewPCG(seed, hash(id+server)))
	p := AttemptPlan{
		Work:          randomDuration(rng, time.Millisecond, 150*time.Millisecond),
		TokenInterval: randomDuration(rng, time.Millisecond, 40*time.Millisecond),
	}
	if rng.IntN(10) == 0 { // simulates time in the server's queue
		p.Work = randomDuration(rng, 400*time.Millisecond, 1600*time.Millisecond)
	}
	switch rng.IntN(40) {
	case 0:
		p.Status = http.StatusInternalServerError
	case 1:
		p.Reset = true
	case 2:
		if !isPrefill {
			p.Status = http.StatusServiceUnavailable
		}
	}
	return p
}

// releasesPerRejection is the mean number of releases of which a server rejects one.
const releasesPerRejection = 50

// planPressureAttempt returns what a server does with an attempt of a pressure: half of the large requests are not
// answered, and the answers to slow readers are long.
func planPressureAttempt(id string, isPrefill bool) AttemptPlan {
	switch {
	case isPrefill && IsPressureID(id, LargeRequests) && hash(id)%2 == 0:
		return AttemptPlan{Work: time.Hour}
	case isPrefill && IsPressureID(id, Deserters):
		return AttemptPlan{Work: 300 * time.Millisecond}
	case !isPrefill && IsPressureID(id, SlowReaders):
		return AttemptPlan{Tokens: 100, TokenBytes: 60 << 10, TokenInterval: time.Millisecond}
	}
	return AttemptPlan{Work: time.Millisecond, TokenInterval: time.Millisecond}
}

// planReleaseStatus returns the status with which a server rejects a release; 0 means that it accepts it.
func planReleaseStatus(id, server string) int {
	if hash(id+server+"release")%releasesPerRejection == 0 {
		return http.StatusServiceUnavailable
	}
	return 0
}

// hash returns the FNV-1a hash of a text.
func hash(text string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(text))
	return h.Sum64()
}

// randomDuration draws a duration of at least low and less than high.
func randomDuration(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N(int64(high-low)))
}
