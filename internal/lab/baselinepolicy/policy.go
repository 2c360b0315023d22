// Package baselinepolicy has textbook load-balancing policies in place of the decision module, to measure against. They
// retry what is known not to have run and keep the invariants about side effects; slow start, unhealthy servers and
// cached prefixes mean nothing to them.
package baselinepolicy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"docksail/policy"
)

// LoadOracle returns the true load of a server, which only a simulation knows: prompt tokens that are not read yet, and
// requests that are queued or running.
type LoadOracle func(id policy.ServerID) (unreadTokens, requests int)

// Names of the policies, as settings have them.
const (
	roundRobin       = "round robin"
	randomServer     = "random"
	leastOutstanding = "least outstanding"
	trueLoad         = "full sight" // the least load by the LoadOracle
)

// Names lists the policies.
var Names = []string{roundRobin, randomServer, leastOutstanding, trueLoad}

const (
	maxAttempts = 3                   // of a stage of a request
	retryDelay  = policy.Nanos(500e6) // until the endpoint list is watched again, and the Retry-After of clients
)

// Policy is one of the policies. It implements dispatch.Module.
type Policy struct {
	name       string
	oracle     LoadOracle
	random     *rand.Rand
	servers    map[policy.ServerID]*server
	byID       []*server // the servers, by ID
	requests   map[policy.RequestID]*request
	decisions  []policy.Decision        // that NextDecision has not returned yet
	turn       int                      // counts selections
	watchAgain bool                     // the endpoint list is to be watched again when the timer fires
	listed     map[policy.ServerID]bool // servers in the complete list that is being received; nil: none is
}

// New returns the policy of the given name. oracle is needed by "full sight" alone.
func New(name string, seed uint64, oracle LoadOracle) (*Policy, error) {
	if !slices.Contains(Names, name) {
		return nil, fmt.Errorf("policy %q, want one of %s", name, strings.Join(Names, ", "))
	}
	if name == trueLoad && oracle == nil {
		return nil, fmt.Errorf("policy %q needs the true loads of a simulation", name)
	}
	return &Policy{
		name:     name,
		oracle:   oracle,
		random:   rand.New(rand.NewPCG(seed, 3)),
		servers:  map[policy.ServerID]*server{},
		requests: map[policy.RequestID]*request{},
	}, nil
}

// decide queues a decision for NextDecision.
func (p *Policy) decide(d policy.Decision) { p.decisions = append(p.decisions, d) }

// NextDecision returns the next decision, and false if there is none.
func (p *Policy) NextDecision(policy.Nanos) (policy.Decision, bool) {
	if len(p.decisions) == 0 {
		return policy.Decision{}, false
	}
	d := p.decisions[0]
	p.decisions = p.decisions[1:]
	return d, true
}
