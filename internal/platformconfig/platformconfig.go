// Package platformconfig creates a policy from the platform's settings object. The simulator sends this object in its
// first message to a dispatcher, and the configuration file of a dispatcher in service contains it.
package platformconfig

import (
	"encoding/json"
	"fmt"

	"docksail/policy"
)

// Config holds a policy and the settings that the dispatcher itself needs. The index of the name of a zone, kind,
// class or tenant is its ID in the policy.
type Config struct {
	Policy     *policy.Router
	Zones      []string
	Kinds      []string
	Roles      []policy.Role // by kind
	ClassNames []string
	Classes    []policy.Class
	Tenants    []string

	Seed           uint64       // seed of the random source
	ReleaseTime    policy.Nanos // longest time for which KV state of an ended request may be held
	MaxRetryAfter  policy.Nanos
	IdleTimeout    policy.Nanos // after which a server closes an idle connection; 0 = unknown
	ConnectTimeout policy.Nanos // after which a connection is given up; 0 = not configured
	ListOnRequest  bool         // the endpoint list is sent only on request
}

// New decodes a JSON object with settings and creates the policy that they describe.
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
		return nil, errReleaseTimeMissing
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

// SetLoadReportField sets one field of a server's load report by its name on the wire. Unknown names are ignored.
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
