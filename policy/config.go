package policy

import (
	"errors"
	"fmt"
)

// Config holds the settings of a Router.
type Config struct {
	Seed        uint64 // all random choices follow from it
	Self        Identity
	Classes     []Class
	Tenants     []Tenant
	Roles       []Role // the role of each kind of machine, by KindID
	SlowStart   SlowStart
	Attempts    AttemptLimits
	Responses   ResponseSettings
	Discovery   Discovery
	ReleaseTime Nanos // a KV state must not be held longer for a request than this
}

// Class describes one class of requests. No decision depends on Timeout, Value, LateValue and InterTokenTarget: they
// are for the router's callers.
type Class struct {
	LatencyTarget      Nanos   // the first token should arrive within this time ...
	LatencyTargetPer1k Nanos   // ... and this much more for each 1,000 prompt tokens
	Timeout            Nanos   // the client gives up after this time, its retries included
	Value              float64 // priority weight of an answer
	LateValue          float64 // share of Value that an answer after the latency target has
	InterTokenTarget   Nanos   // time within which the next token should follow
	Idempotency        Idempotency
	DedupScope         DedupScope
	DedupWindow        Nanos // how long the servers of DedupScope remember a Deduplicated request
}

// Tenant describes what one tenant is entitled to, over all dispatchers.
type Tenant struct{ RequestsPerSecond float64 }

// Identity says which of the dispatchers this one is, and where it runs.
type Identity struct {
	Number, Count int32 // Number counts from 0 to Count-1
	Zone          ZoneID
}

// SlowStart describes the capacity of servers that have just started, and what overloads them.
type SlowStart struct {
	InitialCapacity float64 // least share of its capacity that a server has at its start
	WarmupTime      Nanos   // time after which it has all of it
	OverloadFactor  float64 // a server fails that gets this multiple of what it can serve ...
	OverloadWindow  Nanos   // ... over this time
}

// AttemptLimits says which attempts may be made.
type AttemptLimits struct {
	MaxAttempts      int32 // attempts of one request
	CanCancel        bool  // outstanding attempts can be cancelled
	DecodeCanPrefill bool  // decode servers read the prompt themselves when there is no KV state
}

// ResponseSettings says when and how final answers may be given.
type ResponseSettings struct {
	DeadlineGrace  Nanos // an answer is still accepted this long after the request's deadline
	RoundInterval  Nanos // time between two rounds of events and decisions
	SendRetryAfter bool  // rejections carry a Retry-After
	MaxRetryAfter  Nanos
}

// Discovery says how the endpoint list is obtained.
type Discovery struct {
	OnRequest   bool  // the list is sent only after WatchEndpoints
	MaxInterval Nanos // longest permitted time between two requests for the list
}

func (c *Config) validate() error {
	switch {
	case len(c.Classes) == 0:
		return errors.New("no classes")
	case len(c.Roles) == 0:
		return errors.New("no kinds of server")
	case c.Attempts.MaxAttempts < 1:
		return fmt.Errorf("attempts of a request: %d, want 1 or more", c.Attempts.MaxAttempts)
	case c.ReleaseTime <= 0:
		return fmt.Errorf("release time: %d, want more than 0", c.ReleaseTime)
	case c.Self.Count < 1:
		return fmt.Errorf("number of dispatchers: %d, want 1 or more", c.Self.Count)
	}
	for i, class := range c.Classes {
		if class.LatencyTarget <= 0 || class.Timeout <= 0 {
			return fmt.Errorf("class %d: target %d and timeout %d: want both above 0",
				i, class.LatencyTarget, class.Timeout)
		}
	}
	return nil
}
