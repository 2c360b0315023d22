package soak

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	minProcesses        = 10
	defaultMaxProcesses = 40
	minServersPerRole   = 3
	minDispatchers      = 2
	clientsByDispatcher = 4 // clients for each dispatcher

	defaultMaxDescriptors = 1024 // descriptors that a dispatcher may use
	scarceDescriptors     = 60
	defaultReleaseTime    = time.Second
)

// Plan is all that a seed decides before a run: the fleet, its settings and the schedule of faults.
type Plan struct {
	Prefill     int // servers
	Decode      int // servers
	Dispatchers int
	Schedule    []Fault

	clients                 int
	releaseTime             time.Duration
	cancelEnabled           bool
	maxDescriptors          int // of a dispatcher
	releasesAlwaysTakeState bool
	faultInterval           time.Duration // mean time between the starts of two faults
}

// NewPlan returns the plan of a seed for a run of that duration. maxProcesses limits the fleet; 0 means 40.
func NewPlan(seed uint64, maxProcesses int, duration time.Duration) Plan {
	rng := rand.New(rand.NewPCG(seed, 1))
	p := drawFleet(rng, maxProcesses)
	p.Schedule = drawSchedule(rng, &p, duration)
	return p
}

// drawFleet draws the fleet and its settings. The order of the draws decides what a seed plays.
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
	p.releasesAlwaysTakeState = rng.IntN(3) == 0
	p.maxDescriptors = defaultMaxDescriptors
	if rng.IntN(4) == 0 {
		p.maxDescriptors = scarceDescriptors
	}
	p.Prefill = max((processes-p.Dispatchers)/2, minServersPerRole)
	p.Decode = max(processes-p.Dispatchers-p.Prefill, minServersPerRole)
	p.clients = clientsByDispatcher * p.Dispatchers
	return p
}

// processes returns how many processes the fleet has.
func (p *Plan) processes() int { return p.Prefill + p.Decode + p.Dispatchers }

// description returns the fleet in words, for the verdict.
func (p *Plan) description() string {
	return fmt.Sprintf(
		"%d prefill, %d decode, %d dispatchers, %d sockets, release %v, cancel %v, releases take all %v",
		p.Prefill, p.Decode, p.Dispatchers, p.maxDescriptors, p.releaseTime, p.cancelEnabled,
		p.releasesAlwaysTakeState)
}

// settingsFormat is the settings object of the dispatchers. It takes the release time in nanoseconds, whether attempts
// are canceled, the number of dispatchers and three request classes.
const settingsFormat = `{"family_info":{"release_ns":%d,"role_by_kind":["read","write"],
"token_aim_ns":[60000000,60000000,60000000],
"aim_us_per_1000_prompt_tokens":[40000,40000,40000]},"limits":{"cancel":%v,"conn_idle_ns":15000000000,
"connect_timeout_ns":250000000,
"max_attempts":6,"max_retry_after_ns":1000000000,"retry_after":true},"localities":["z"],
"machine_types":["prefill","decode"],
"me":0,"siblings":%d,"zone":"z","membership_mode":"pushed","round_ns":4000000,"request_classes":[%s,%s,%s],
"rules":{"answer_slack_ns":16000000,"cold_from":0.5,"cold_ns":500000000,"fall_multiple":2.5,"fall_ns":1000000000},
"tenants":[]}`

// classFormat is one request class. It takes the effect, the name and the deduplication window in nanoseconds.
const classFormat = `{"dedup_scope":"all","effect":%q,"give_up_ns":6000000000,"late_value":0.1,"name":%q,` +
	`"on_time_ns":1500000000,"points":3,"window_ns":%d}`

// Request classes have the name of their effect.
const (
	effectIdempotent   = "idempotent"
	effectDeduplicated = "deduplicated"
	effectAtMostOnce   = "at_most_once"
)

var effects = [...]string{effectIdempotent, effectDeduplicated, effectAtMostOnce}

// settings returns the settings object of the run's dispatchers.
func (p *Plan) settings() string {
	class := func(effect string, window time.Duration) string {
		return fmt.Sprintf(classFormat, effect, effect, window)
	}
	return fmt.Sprintf(settingsFormat, p.releaseTime, p.cancelEnabled, p.Dispatchers,
		class(effectIdempotent, 5*time.Second),
		class(effectDeduplicated, 2*time.Second),
		class(effectAtMostOnce, 5*time.Second))
}

// AttemptPlan is what a stand-in server does with an attempt. The process that runs the soak makes it, so that it
// depends on the seed alone.
type AttemptPlan struct {
	Work          time.Duration // until a prefill ends, or a decode attempt fetches its state
	TokenInterval time.Duration // between the events of a stream
	// Status of the answer; 0 = as a healthy server. A prefill with another status leaves its state all the same.
	Status int
	Reset  bool // the connection is reset in place of an answer
}

// planAttempt returns what a server does with an attempt. It depends on the seed, the request and the server alone.
func planAttempt(seed uint64, id string, isPrefill bool, server string) AttemptPlan {
	rng := rand.New(rand.NewPCG(seed, hash(id+server)))
	p := AttemptPlan{
		Work:          randomDuration(rng, time.Millisecond, 150*time.Millisecond),
		TokenInterval: randomDuration(rng, time.Millisecond, 40*time.Millisecond),
	}
	if rng.IntN(10) == 0 { // as if it waited in a queue
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

// rejectedReleaseInterval: a server rejects one release of so many.
const rejectedReleaseInterval = 50

// planReleaseStatus returns the status with which a server rejects a release; 0 means that it takes it.
func planReleaseStatus(id, server string) int {
	if hash(id+server+"release")%rejectedReleaseInterval == 0 {
		return http.StatusServiceUnavailable
	}
	return 0
}

func hash(text string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(text))
	return h.Sum64()
}

// randomDuration draws a duration of at least low and less than high.
func randomDuration(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N(int64(high-low)))
}
