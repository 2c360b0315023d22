package soak

import (
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Soak is one run under random faults.
type Soak struct {
	Seed    uint64
	Length  time.Duration // of traffic and faults
	Most    int           // processes; 0 = what the seed gives, 10 to 40
	Program CommandFunc
	// Dispatcher makes the dispatchers' commands; nil: Program does.
	Dispatcher CommandFunc
	Folder     string // keeps the logs of dispatchers
}

// Verdict is what a soak has found.
type Verdict struct {
	Seed      uint64
	Processes int
	Settings  string
	Schedule  []Fault
	Requests  int
	Served    int
	Left      int // clients that left
	Reads     int // that left a state
	Releases  int // that came to a server
	Broken    []string
}

// Sound tells that no rule was broken and that the run shows something.
func (v *Verdict) Sound() error {
	switch {
	case len(v.Broken) > 0:
		return fmt.Errorf("%d rules broken", len(v.Broken))
	case v.Served == 0 || v.Reads == 0:
		return errors.New("nothing was served: the run shows nothing")
	}
	return nil
}

// String is the verdict in one line.
func (v *Verdict) String() string {
	return fmt.Sprintf("seed %d: %d processes, %s, %d faults, %d requests, %d served, %d clients left, %d states, %d releases, %d rules broken", v.Seed, v.Processes, v.Settings,
		len(v.Schedule), v.Requests, v.Served, v.Left, v.Reads, v.Releases, len(v.Broken))
}

// shape is what the seed draws of a run.
type shape struct {
	prefill, decode, dispatchers, clients int
	release                               time.Duration
	cancel                                bool
	sockets                               int           // of a dispatcher
	takesAll                              bool          // releases take states from under attempts that wait
	every                                 time.Duration // a fault comes, on average
}

const (
	fewestProcesses = 10
	mostProcesses   = 40
	// clientsEach dispatcher has.
	clientsEach = 4
	// Descriptors of a dispatcher, as told.
	usualSockets = 1024
	fewSockets   = 60
)

func drawShape(rng *rand.Rand, most int) shape {
	if most <= 0 {
		most = mostProcesses
	}
	total := fewestProcesses + rng.IntN(max(most-fewestProcesses, 0)+1)
	s := shape{dispatchers: max(total/4, 2), release: time.Second, cancel: rng.IntN(3) > 0, every: span(rng, 60*time.Millisecond, 400*time.Millisecond)}
	switch rng.IntN(4) {
	case 0:
		s.release = 700 * time.Millisecond
	case 1:
		s.release = 400 * time.Millisecond
	}
	s.takesAll = rng.IntN(3) == 0
	s.sockets = usualSockets
	if rng.IntN(4) == 0 {
		s.sockets = fewSockets
	}
	s.prefill = max((total-s.dispatchers)/2, 3)
	s.decode = max(total-s.dispatchers-s.prefill, 3)
	s.clients = clientsEach * s.dispatchers
	return s
}

// Plan is what a seed draws of a run, for tests and for a look.
type Plan struct {
	Prefill, Decode, Dispatchers int
	Schedule                     []Fault
}

// DrawPlan draws what a soak of a seed and a length plays.
func DrawPlan(seed uint64, length time.Duration) Plan {
	shape, faults := draw(seed, 0, length)
	return Plan{shape.prefill, shape.decode, shape.dispatchers, faults}
}

// draw draws the fleet and the schedule of a seed.
func draw(seed uint64, most int, length time.Duration) (shape, []Fault) {
	rng := rand.New(rand.NewPCG(seed, 1))
	s := drawShape(rng, most)
	return s, schedule(rng, s.prefill, s.decode, s.dispatchers, length, s.every)
}

// settings is the settings object of the run's dispatchers.
func (s shape) settings() string {
	class := func(name string, window time.Duration) string {
		return fmt.Sprintf(`{"dedup_scope":"all","effect":%q,"give_up_ns":6000000000,"late_value":0.1,"name":%q,"on_time_ns":1500000000,"points":3,"window_ns":%d}`, name, name, window)
	}
	return fmt.Sprintf(`{"family_info":{"release_ns":%d,"role_by_kind":["read","write"],"token_aim_ns":[60000000,60000000,60000000],
"aim_us_per_1000_prompt_tokens":[40000,40000,40000]},"limits":{"cancel":%v,"conn_idle_ns":15000000000,"connect_timeout_ns":250000000,
"max_attempts":6,"max_retry_after_ns":1000000000,"retry_after":true},"localities":["z"],"machine_types":["prefill","decode"],
"me":0,"siblings":%d,"zone":"z","membership_mode":"pushed","round_ns":4000000,"request_classes":[%s,%s,%s],
"rules":{"answer_slack_ns":16000000,"cold_from":0.5,"cold_ns":500000000,"fall_multiple":2.5,"fall_ns":1000000000},"tenants":[]}`,
		s.release, s.cancel, s.dispatchers, class("idempotent", 5*time.Second), class("deduplicated", 2*time.Second), class("at_most_once", 5*time.Second))
}

var effects = [...]string{"idempotent", "deduplicated", "at_most_once"}

// plan draws what a server does with an attempt, by the seed, the request and the server alone.
func plan(seed uint64, id string, read bool, server string) AttemptPlan {
	rng := rand.New(rand.NewPCG(seed, hash(id+server)))
	p := AttemptPlan{Work: span(rng, time.Millisecond, 150*time.Millisecond), TokenInterval: span(rng, time.Millisecond, 40*time.Millisecond)}
	if rng.IntN(10) == 0 { // a queue
		p.Work = span(rng, 400*time.Millisecond, 1600*time.Millisecond)
	}
	switch rng.IntN(40) {
	case 0:
		p.Status = http.StatusInternalServerError
	case 1:
		p.Reset = true
	case 2:
		if !read {
			p.Status = http.StatusServiceUnavailable
		}
	}
	return p
}

func hash(text string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(text))
	return h.Sum64()
}

// refusedReleases is one release in so many that a server refuses.
const refusedReleases = 50

// Run runs the soak. An error is one of the run itself, not of the rules.
func (s *Soak) Run() (v Verdict, err error) {
	shape, faults := draw(s.Seed, s.Most, s.Length)
	v = Verdict{
		Seed: s.Seed, Processes: shape.prefill + shape.decode + shape.dispatchers, Schedule: faults,
		Settings: fmt.Sprintf("%d prefill, %d decode, %d dispatchers, %d sockets, release %v, cancel %v, releases take all %v", shape.prefill, shape.decode, shape.dispatchers, shape.sockets, shape.release, shape.cancel, shape.takesAll),
	}
	if err := os.MkdirAll(s.Folder, 0o700); err != nil {
		return v, err
	}
	f, err := NewFleet(s.Program, s.Folder, shape.settings(), DefaultLimits(shape.release))
	if err != nil {
		return v, err
	}
	defer f.Close()
	f.MaxDescriptors, f.Oracle.ReleasesAlwaysTakeState = shape.sockets, shape.takesAll
	if s.Dispatcher != nil {
		f.dispatcherProgram = s.Dispatcher
	}
	f.AttemptPlan = func(id string, read bool, server string) AttemptPlan { return plan(s.Seed, id, read, server) }
	f.ReleaseStatus = func(id, server string) int {
		if hash(id+server+"release")%refusedReleases == 0 {
			return http.StatusServiceUnavailable
		}
		return 0
	}
	if err := f.populate(shape); err != nil {
		return v, err
	}
	if err := s.play(f, shape, &v); err != nil {
		return v, err
	}
	return v, s.conclude(f, shape, &v)
}

// populate starts all processes.
func (f *Fleet) populate(s shape) error {
	for n := range s.prefill {
		if _, err := f.AddServer(prefillName(n), true); err != nil {
			return err
		}
	}
	for n := range s.decode {
		if _, err := f.AddServer(decodeName(n), false); err != nil {
			return err
		}
	}
	for n := range s.dispatchers {
		if _, err := f.AddDispatcher(dispatcherName(n)); err != nil {
			return err
		}
	}
	return nil
}

// play has clients ask and faults happen.
func (s *Soak) play(f *Fleet, shape shape, v *Verdict) error {
	end := time.Now().Add(s.Length)
	var clients, faults sync.WaitGroup
	var mu sync.Mutex
	var failed error
	for n := range shape.clients {
		clients.Go(func() {
			rng := rand.New(rand.NewPCG(s.Seed, uint64(1000+n)))
			c := NewClient(f)
			defer c.Close()
			for k := 0; time.Now().Before(end); k++ {
				served, left := c.askOnce(rng, fmt.Sprintf("%04x%04x%08x", s.Seed&0xffff, n, k))
				mu.Lock()
				v.Requests++
				v.Served += served
				v.Left += left
				mu.Unlock()
				time.Sleep(span(rng, time.Millisecond, 60*time.Millisecond))
			}
		})
	}
	began := time.Now()
	for _, fault := range v.Schedule {
		time.Sleep(time.Until(began.Add(fault.Start)))
		faults.Go(func() {
			if err := f.apply(fault); err != nil {
				mu.Lock()
				failed = errors.Join(failed, fmt.Errorf("%s: %w", fault, err))
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	faults.Wait()
	return failed
}

// conclude waits until everything has to be gone, ends the dispatchers and judges.
func (s *Soak) conclude(f *Fleet, shape shape, v *Verdict) error {
	time.Sleep(shape.release + f.Oracle.limits.HoldTolerance + 200*time.Millisecond)
	v.Broken = f.Oracle.Check(Now())
	for _, d := range f.Dispatchers {
		d.Signal(syscall.SIGTERM)
	}
	for _, d := range f.Dispatchers {
		if err, ended := d.WaitExit(20 * time.Second); !ended || err != nil {
			v.Broken = append(v.Broken, fmt.Sprintf("crash: dispatcher %s: ended %v, %v", d.Name, ended, err))
		}
		faults, err := d.ProgramErrors()
		if err != nil {
			return err
		}
		for _, line := range faults {
			v.Broken = append(v.Broken, fmt.Sprintf("violation counted by %s: %s", d.Name, line))
		}
	}
	v.Reads, v.Releases = f.Oracle.PrefillsCompleted, f.Oracle.ReleasesReceived
	return nil
}

const (
	leavers   = 5 // one request in so many has a client that leaves
	longLeave = 1200 * time.Millisecond
)

// askOnce sends one request to a dispatcher and judges its answer.
func (c *Client) askOnce(rng *rand.Rand, id string) (served, left int) {
	f := c.fleet
	d := f.Dispatchers[rng.IntN(len(f.Dispatchers))]
	if rng.IntN(3) > 0 && c.to != nil { // a client keeps its connection
		d = c.to
	}
	r := Request{ID: id, Session: fmt.Sprintf("%x", rng.IntN(40)), Remaining: span(rng, 600*time.Millisecond, 4800*time.Millisecond), Effect: effects[rng.IntN(len(effects))]}
	if rng.IntN(leavers) == 0 {
		r.LeaveIn = span(rng, time.Millisecond, longLeave)
	}
	if err := c.Send(d, r); err != nil { // its process is away
		c.Close()
		return 0, 0
	}
	if r.LeaveIn > 0 {
		time.Sleep(r.LeaveIn)
		c.CancelRequest(id)
		return 0, 1
	}
	o := c.ReceiveAnswer(r)
	f.Oracle.Note(Now(), id, fmt.Sprintf("client got %d, %v", o.Status, o.Err))
	switch {
	case o.Status == http.StatusOK && o.Err == nil:
		return 1, 0
	case o.Started, o.Err == nil: // refused or failed, or a stream that broke
		return 0, 0
	case c.used && !errors.Is(o.Err, os.ErrDeadlineExceeded): // the close of a resting connection crossed it
		return 0, 0
	}
	f.Oracle.AnswerMissing(id, o.Err.Error())
	return 0, 0
}

// Report is the verdict with all that a replay needs.
func (v *Verdict) Report() string {
	var b strings.Builder
	fmt.Fprintln(&b, v)
	if len(v.Broken) == 0 {
		return b.String()
	}
	for _, fault := range v.Schedule {
		fmt.Fprintln(&b, " ", fault)
	}
	for _, broken := range v.Broken {
		fmt.Fprintln(&b, broken)
	}
	return b.String()
}
