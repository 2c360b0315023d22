// Package baselinepolicy implements textbook load-balancing policies that replace the decision module, as baselines
// for comparison. They retry prefills, and those decodes that are known not to have run, which keeps the invariants
// about side effects. They ignore slow start, unhealthy servers and cached prefixes.
package baselinepolicy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"docksail/policy"
)

// LoadOracle returns the true load of a server, which only a simulation knows: the number of prompt tokens that
// are not prefilled yet, and the number of queued and running requests.
type LoadOracle func(id policy.ServerID) (queuedTokens, requests int)

// Names of the policies in settings.
const (
	roundRobin       = "round robin"
	randomServer     = "random"
	leastOutstanding = "least outstanding"
	trueLoad         = "full sight" // the least loaded server according to the LoadOracle
)

// Names lists the names of all policies.
var Names = []string{roundRobin, randomServer, leastOutstanding, trueLoad}

const (
	maxAttempts = 3                   // per stage of a request: prefill or decode
	retryDelay  = policy.Nanos(500e6) // before the next watch of the endpoint list, and Retry-After for clients
)

// Policy is a load-balancing policy. It implements dispatch.Module.
type Policy struct {
	name           string
	oracle         LoadOracle
	random         *rand.Rand
	servers        map[policy.ServerID]*server
	byID           []*server // the same servers, sorted by ID
	requests       map[policy.RequestID]*request
	decisions      []policy.Decision        // not yet returned by NextDecision
	selectionCount int                      // number of servers selected so far; rotates the preferred server
	watchPending   bool                     // a watch of the endpoint list starts when the timer fires
	listedServers  map[policy.ServerID]bool // servers in the complete list being received; nil if none is
}

// New returns the policy of the given name. Only "full sight" needs an oracle; for the others it may be nil.
func New(name string, seed uint64, oracle LoadOracle) (*Policy, error) {
	if !slices.Contains(Names, name) {
		return nil, fmt.Errorf("policy %q is unknown, must be one of %s", name, strings.Join(Names, ", "))
	}
	if name == trueLoad && oracle == nil {
		return nil, fmt.Errorf("policy %q requires a load oracle, which only a simulation has", name)
	}
	return &Policy{
		name:     name,
		oracle:   oracle,
		random:   rand.New(rand.NewPCG(seed, 3)),
		servers:  map[policy.ServerID]*server{},
		requests: map[policy.RequestID]*request{},
	}, nil
}

// queueDecision queues a decision for NextDecision.
func (p *Policy) queueDecision(d policy.Decision) { p.decisions = append(p.decisions, d) }

// NextDecision returns the next decision, or false if there is none.
func (p *Policy) NextDecision(policy.Nanos) (policy.Decision, bool) {
	if len(p.decisions) == 0 {
		return policy.Decision{}, false
	}
	d := p.decisions[0]
	p.decisions = p.decisions[1:]
	return d, true
}

// Estimate returns no estimate of the work: these policies have none.
func (p *Policy) Estimate(policy.Nanos, policy.Request) policy.Estimate {
	return policy.Estimate{RetryAfter: retryDelay}
}
