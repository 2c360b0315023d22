package config

import (
	"fmt"
	"slices"
	"strings"

	"docksail/policy"
)

var (
	idempotencyNames = []string{
		policy.Idempotent: "idempotent", policy.Deduplicated: "deduplicated", policy.NonIdempotent: "non_idempotent",
	}
	dedupScopeNames = []string{
		policy.DedupScopeAll: "all", policy.DedupScopeZone: "zone", policy.DedupScopeCell: "cell",
	}
	roleNames   = []string{policy.Prefill: "prefill", policy.Decode: "decode", policy.Mixed: "mixed"}
	healthNames = []string{policy.Serving: "serving", policy.Draining: "draining", policy.Gone: "gone"}
)

// Idempotency is a policy.Idempotency that is represented by its name in a configuration.
type Idempotency policy.Idempotency

// UnmarshalText sets the value from its name.
func (i *Idempotency) UnmarshalText(text []byte) error {
	value, err := indexOfName(string(text), idempotencyNames)
	*i = Idempotency(value)
	return err
}

// MarshalText returns the name of the value.
func (i Idempotency) MarshalText() ([]byte, error) { return []byte(idempotencyNames[i]), nil }

// FormerNames returns the current names by the names of the previous release.
func (*Idempotency) FormerNames() map[string]string {
	return map[string]string{"redoable": "idempotent", "labelled": "deduplicated", "irreversible": "non_idempotent"}
}

// DedupScope is a policy.DedupScope that is represented by its name in a configuration.
type DedupScope policy.DedupScope

// UnmarshalText sets the value from its name.
func (s *DedupScope) UnmarshalText(text []byte) error {
	value, err := indexOfName(string(text), dedupScopeNames)
	*s = DedupScope(value)
	return err
}

// MarshalText returns the name of the value.
func (s DedupScope) MarshalText() ([]byte, error) { return []byte(dedupScopeNames[s]), nil }

// role is a policy.Role that is represented by its name in a list of engines.
type role policy.Role

func (r *role) UnmarshalText(text []byte) error {
	value, err := indexOfName(string(text), roleNames)
	*r = role(value)
	return err
}

// FormerNames returns the current names by the names of the previous release.
func (*role) FormerNames() map[string]string {
	return map[string]string{"reader": "prefill", "writer": "decode"}
}

// health is a policy.Health that is represented by its name in a list of engines.
type health policy.Health

func (h *health) UnmarshalText(text []byte) error {
	value, err := indexOfName(string(text), healthNames)
	*h = health(value)
	return err
}

// indexOfName returns the index of a name in names, or 0 and an error that lists them.
func indexOfName(name string, names []string) (int, error) {
	if i := slices.Index(names, name); i >= 0 {
		return i, nil
	}
	return 0, fmt.Errorf("%q is not one of %s", name, strings.Join(names, ", "))
}
