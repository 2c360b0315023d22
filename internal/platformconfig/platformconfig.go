// Package platformconfig makes a policy from the settings object that the platform gives a dispatcher: in the
// simulator's first message and in the configuration of a dispatcher in service alike.
package platformconfig

import (
	"encoding/json"
	"fmt"

	"docksail/policy"
)

// Config is a policy and what the dispatcher that runs it has to know besides. Names of zones, kinds, classes and
// tenants stand at the indexes that are their IDs in the policy.
type Config struct {
	Policy     *policy.Router
	Zones      []string
	Kinds      []string
	Roles      []policy.Role // by kind
	ClassNames []string
	Classes    []policy.Class
	Tenants    []string

	Seed           uint64       // of the random source
	ReleaseTime    policy.Nanos // KV state of a request that has ended is held no longer
	MaxRetryAfter  policy.Nanos
	IdleTimeout    policy.Nanos // after which a server closes an idle connection; 0 = unknown
	ConnectTimeout policy.Nanos // after which a connection is given up; 0 = not configured
	ListOnRequest  bool         // lists of servers are requested, not pushed
}

// New returns a policy with the settings in a JSON object.
func New(seed uint64, text []byte) (*Config, error) {
	config, err := newConfig(seed, text)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return config, nil
}

func newConfig(seed uint64, text []byte) (*Config, error) {
	var s settings
	if err := json.Unmarshal(text, &s); err != nil {
		return nil, err
	}
	if len(s.Family.RoleNames) != len(s.Kinds) {
		return nil, fmt.Errorf("role_by_kind has %d entries for %d machine_types", len(s.Family.RoleNames), len(s.Kinds))
	}
	if s.Family.ReleaseTime == nil {
		return nil, errNoReleaseTime
	}
	roles, err := s.roles()
	if err != nil {
		return nil, err
	}
	classes, err := s.classes()
	if err != nil {
		return nil, err
	}
	router, err := s.newPolicy(seed, classes, roles)
	if err != nil {
		return nil, err
	}
	config := &Config{
		Policy:         router,
		Zones:          s.Zones,
		Kinds:          s.Kinds,
		Roles:          roles,
		Classes:        classes,
		Seed:           seed,
		ReleaseTime:    policy.Nanos(*s.Family.ReleaseTime),
		MaxRetryAfter:  policy.Nanos(s.Limits.MaxRetryAfter),
		IdleTimeout:    policy.Nanos(s.Limits.IdleTimeout),
		ConnectTimeout: policy.Nanos(s.Limits.ConnectTimeout),
		ListOnRequest:  s.listOnRequest(),
	}
	for _, class := range s.Classes {
		config.ClassNames = append(config.ClassNames, class.Name)
	}
	for _, tenant := range s.Tenants {
		config.Tenants = append(config.Tenants, tenant.Name)
	}
	return config, nil
}

// SetLoadReportField sets one figure of a server's load report by its name on the wire; other names are ignored.
func SetLoadReportField(load *policy.LoadReport, name string, value float64) {
	switch name {
	case "inflight":
		load.Requests = value
	case "x0":
		load.MemoryUtilization = value
	case "x1":
		load.QueuedPromptTokens = 1000 * value // given in thousands
	}
}
