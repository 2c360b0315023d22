// Package baselinepolicy has textbook policies in the place of the decision module, to measure against. They try
// again after what is known not to have run, and keep what the rules ask about effects; cold starts, ailing hosts and
// kept beginnings mean nothing to them.
package baselinepolicy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"docksail/policy"
)

// LoadOracle is the true load of a host, which only a simulation can know: prompt tokens not read yet, and work at
// hand.
type LoadOracle func(id policy.ServerID) (unread, work int)

// Names of the policies.
var Names = []string{"round robin", "random", "least outstanding", "full sight"}

const (
	tries    = 3                   // launches of a stage, at most
	askAgain = policy.Nanos(500e6) // a lost list is asked for again
)

type host struct {
	id    policy.ServerID
	role  policy.Role
	there bool
	out   int
}

type job struct {
	given  policy.Request
	tried  []policy.ServerID
	reads  bool // a read is out, or the next launch is one
	out    policy.ServerID
	isOut  bool
	held   bool
	begun  bool
	answer bool
	shots  policy.AttemptNumber // launches so far
}

// Policy is such a policy; it stands where dispatch wants a module.
type Policy struct {
	name   string
	sight  LoadOracle
	rng    *rand.Rand
	hosts  map[policy.ServerID]*host
	order  []*host // by number
	jobs   map[policy.RequestID]*job
	queue  []policy.Decision
	turn   int
	watch  bool
	listed map[policy.ServerID]bool
}

// New makes a policy by its name; sight is for the one that needs it.
func New(name string, seed uint64, sight LoadOracle) (*Policy, error) {
	if !slices.Contains(Names, name) || name == "full sight" && sight == nil {
		return nil, fmt.Errorf("policy %q, want one of %s", name, strings.Join(Names, ", "))
	}
	return &Policy{name: name, sight: sight, rng: rand.New(rand.NewPCG(seed, 3)), hosts: map[policy.ServerID]*host{}, jobs: map[policy.RequestID]*job{}}, nil
}

func (m *Policy) ListUpdateStarted(full bool) {
	m.listed = nil
	if full {
		m.listed = map[policy.ServerID]bool{}
	}
}

func (m *Policy) ServerListed(id policy.ServerID, _ policy.ZoneID, kind policy.KindID, _ policy.CellID, health policy.Health, _ policy.Nanos) {
	h := m.hosts[id]
	if h == nil {
		h = &host{id: id}
		m.hosts[id] = h
		i, _ := slices.BinarySearchFunc(m.order, id, func(h *host, id policy.ServerID) int { return int(h.id) - int(id) })
		m.order = slices.Insert(m.order, i, h)
	}
	h.role, h.there = policy.Role(kind), health == policy.Serving
	if m.listed != nil {
		m.listed[id] = true
	}
}

func (m *Policy) ListUpdateEnded(policy.Nanos) {
	if m.listed != nil {
		for _, h := range m.order {
			h.there = h.there && m.listed[h.id]
		}
	}
}

func (m *Policy) ListUpdateFailed(policy.Nanos) {
	m.watch = true
	m.say(policy.Decision{Action: policy.SetTimer, Duration: askAgain})
}

func (m *Policy) TimerFired(policy.Nanos) {
	if m.watch {
		m.watch = false
		m.say(policy.Decision{Action: policy.WatchEndpoints})
	}
}

func (m *Policy) say(d policy.Decision) { m.queue = append(m.queue, d) }

func (m *Policy) RequestArrived(now policy.Nanos, given policy.Request) {
	m.jobs[given.ID] = &job{given: given, reads: true}
	m.launch(now, given.ID)
}

// launch sends a job to a host for its next stage.
func (m *Policy) launch(now policy.Nanos, id policy.RequestID) {
	j := m.jobs[id]
	h := m.pick(j)
	if h == nil || len(j.tried) >= tries || now >= j.given.Deadline {
		m.giveUp(id, true)
		return
	}
	h.out++
	j.tried, j.out, j.isOut = append(j.tried, h.id), h.id, true
	j.shots++
	m.say(policy.Decision{Action: policy.SendAttempt, Request: id, Server: h.id, Duration: j.given.Deadline - now})
}

func (m *Policy) pick(j *job) *host {
	var can []*host
	for _, h := range m.order {
		if h.there && (j.reads && h.role != policy.Decode || !j.reads && h.role == policy.Decode) && !slices.Contains(j.tried, h.id) {
			can = append(can, h)
		}
	}
	if len(can) == 0 {
		return nil
	}
	m.turn++
	first := can[m.turn%len(can)]
	switch m.name {
	case "random":
		return can[m.rng.IntN(len(can))]
	case "least outstanding":
		for _, h := range can {
			if h.out < first.out {
				first = h
			}
		}
	case "full sight":
		load := func(h *host) int {
			unread, work := m.sight(h.id)
			if j.reads {
				return unread
			}
			return work
		}
		least := load(first)
		for _, h := range can {
			if l := load(h); l < least {
				first, least = h, l
			}
		}
	}
	return first
}

// giveUp answers a job: nacked if trying again is harmless.
func (m *Policy) giveUp(id policy.RequestID, harmless bool) {
	j := m.jobs[id]
	if j.held {
		m.say(policy.Decision{Action: policy.ReleaseState, Request: id})
	}
	verb := policy.FailRequest
	if harmless {
		verb = policy.RejectRequest
	}
	m.say(policy.Decision{Action: verb, Request: id, Duration: askAgain})
	delete(m.jobs, id)
}

func (m *Policy) StreamStarted(_ policy.Nanos, id policy.RequestID, _ policy.AttemptNumber, _ policy.Nanos) {
	if j := m.jobs[id]; j != nil {
		j.begun, j.held = true, false
	}
}

func (m *Policy) StateHeldSince(policy.Nanos, policy.RequestID, policy.Nanos) {}

func (m *Policy) AttemptEnded(now policy.Nanos, id policy.RequestID, _ policy.AttemptNumber, how policy.Outcome, _ policy.Nanos, over bool, _ policy.LoadReport) {
	j := m.jobs[id]
	if j == nil || !j.isOut {
		return
	}
	j.isOut = false
	if h := m.hosts[j.out]; h != nil {
		h.out--
	}
	read := m.hosts[j.out].role == policy.Prefill
	switch {
	case over || j.answer:
		if j.held {
			m.say(policy.Decision{Action: policy.ReleaseState, Request: id})
		}
		delete(m.jobs, id)
	case how == policy.Prefilled:
		j.reads, j.held, j.tried = false, true, j.tried[:0]
		m.launch(now, id)
	case how == policy.StateMissing:
		j.reads, j.held, j.tried = true, false, j.tried[:0]
		m.launch(now, id)
	case read || how == policy.Rejected || how == policy.Unreachable || how == policy.NotSent:
		m.launch(now, id)
	default: // it may have run
		m.giveUp(id, false)
	}
}

func (m *Policy) RequestCanceled(_ policy.Nanos, id policy.RequestID) {
	j := m.jobs[id]
	if j == nil {
		return
	}
	j.answer = true
	if j.isOut && !j.begun {
		m.say(policy.Decision{Action: policy.CancelAttempt, Request: id, Attempt: j.shots - 1})
	}
	if !j.isOut {
		if j.held {
			m.say(policy.Decision{Action: policy.ReleaseState, Request: id})
		}
		delete(m.jobs, id)
	}
}

func (m *Policy) NextDecision(policy.Nanos) (policy.Decision, bool) {
	if len(m.queue) == 0 {
		return policy.Decision{}, false
	}
	d := m.queue[0]
	m.queue = m.queue[1:]
	return d, true
}
