package policy

import (
	"errors"
	"fmt"
)

// Config holds the settings of a Router.
type Config struct {
	Seed        uint64 // seed of all random choices
	Self        Identity
	Classes     []Class
	Tenants     []Tenant
	Roles       []Role // the role of each kind of machine, by KindID
	SlowStart   SlowStart
	Attempts    AttemptLimits
	Responses   ResponseSettings
	Discovery   Discovery
	ReleaseTime Nanos // longest time for which a KV state may be held for a request
}

// Class describes one class of requests. The targets and values say what an answer is worth, not how long the work
// takes: they are for the router's callers, and decisions do not depend on them.
type Class struct {
	LatencyTarget      Nanos   // time within which the first token should arrive ...
	LatencyTargetPer1k Nanos   // ... plus this time for each 1,000 prompt tokens
	Timeout            Nanos   // time after which the client gives up, including its retries
	Value              float64 // value of an answer within the latency target
	LateValue          float64 // share of Value that a later answer has
	InterTokenTarget   Nanos   // time within which each further token should follow
	Idempotency        Idempotency
	DedupScope         DedupScope
	DedupWindow        Nanos // how long the servers of DedupScope remember a Deduplicated request
}

// Tenant holds the quota of one tenant, over all dispatchers.
type Tenant struct{ RequestsPerSecond float64 }

// Identity identifies this dispatcher among all dispatchers.
type Identity struct {
	Index, Count int32 // Index is from 0 to Count-1
	Zone         ZoneID
}

// SlowStart describes the capacity of servers that have just started, and the load that makes them fail.
type SlowStart struct {
	InitialCapacity float64 // minimum share of its full capacity that a server has when it starts
	WarmupTime      Nanos   // time after which it has its full capacity
	OverloadFactor  float64 // a server fails if it is sent this multiple of its capacity ...
	OverloadWindow  Nanos   // ... over a window of this length
}

// AttemptLimits limits the attempts of a request.
type AttemptLimits struct {
	MaxAttempts      int32 // maximum number of attempts
	CanCancel        bool  // outstanding attempts can be canceled
	DecodeCanPrefill bool  // decode servers can process prompts, if there is no KV state to fetch
}

// ResponseSettings says how and until when final answers are given.
type ResponseSettings struct {
	DeadlineGrace  Nanos // an answer is still accepted this long after the request's deadline
	RoundInterval  Nanos // time between two rounds of events and decisions
	SendRetryAfter bool  // rejections have a Retry-After
	MaxRetryAfter  Nanos
}

// Discovery says how the dispatcher obtains the endpoint list.
type Discovery struct {
	OnRequest   bool  // the list is only sent after a WatchEndpoints
	MaxInterval Nanos // longest permitted time between two requests for the list
}

// validate returns an error if the router cannot work with the settings.
func (c *Config) validate() error {
	switch {
	case len(c.Classes) == 0:
		return errors.New("number of request classes is 0, must be at least 1")
	case len(c.Roles) == 0:
		return errors.New("number of machine kinds is 0, must be at least 1")
	case c.Attempts.MaxAttempts < 1:
		return fmt.Errorf("max attempts is %d, must be at least 1", c.Attempts.MaxAttempts)
	case c.ReleaseTime <= 0:
		return fmt.Errorf("release time is %d ns, must be above 0", c.ReleaseTime)
	case c.Self.Count < 1:
		return fmt.Errorf("number of dispatchers is %d, must be at least 1", c.Self.Count)
	}
	for i, class := range c.Classes {
		if class.LatencyTarget <= 0 || class.Timeout <= 0 {
			return fmt.Errorf("class %d: latency target is %d ns and timeout is %d ns, both must be above 0",
				i, class.LatencyTarget, class.Timeout)
		}
	}
	return nil
}
