package platformconfig

import (
	"slices"
	"strings"
	"testing"

	"docksail/policy"
)

const validText = `{
  "family_info": {"aim_us_per_1000_prompt_tokens": [60000], "release_ns": 500000000, "token_aim_ns": [50000000],
    "role_by_kind": ["read", "write"], "a_new_key": 1},
  "limits": {"cancel": true, "max_attempts": 5, "conn_idle_ns": 15, "connect_timeout_ns": 250,
    "max_retry_after_ns": 1000},
  "localities": ["a", "b"], "machine_types": ["r", "w"], "membership_mode": "on_request",
  "request_classes": [
    {"name": "ask", "effect": "idempotent", "on_time_ns": 1000000000, "give_up_ns": 5000000000, "points": 3},
    {"name": "book", "effect": "at_most_once", "dedup_scope": "cell", "on_time_ns": 1000000000,
      "give_up_ns": 5000000000}],
  "round_ns": 4000000, "siblings": 1, "zone": "b", "tenants": [{"name": "ours", "allowance_per_s": 5}],
  "rules": {"answer_slack_ns": 16000000}
}`

// TestNew checks the values that are decoded from valid settings.
func TestNew(t *testing.T) {
	config, err := New(7, []byte(validText))
	if err != nil {
		t.Fatal(err)
	}
	if config.Policy == nil || config.Seed != 7 || !config.ListOnRequest {
		t.Errorf("policy %v, seed %d, list on request %v", config.Policy, config.Seed, config.ListOnRequest)
	}
	if config.ReleaseTime != 5e8 || config.MaxRetryAfter != 1000 || config.IdleTimeout != 15 ||
		config.ConnectTimeout != 250 {
		t.Errorf("times %+v", config)
	}
	if !slices.Equal(config.Roles, []policy.Role{policy.Prefill, policy.Decode}) {
		t.Errorf("roles %v", config.Roles)
	}
	if !slices.Equal(config.ClassNames, []string{"ask", "book"}) || !slices.Equal(config.Tenants, []string{"ours"}) {
		t.Errorf("classes %q, tenants %q", config.ClassNames, config.Tenants)
	}
	wantClasses := []policy.Class{
		{
			LatencyTarget: 1e9, LatencyTargetPer1k: 6e7, InterTokenTarget: 5e7, Timeout: 5e9, Value: 3,
			Idempotency: policy.Idempotent, DedupScope: policy.DedupScopeAll,
		},
		{LatencyTarget: 1e9, Timeout: 5e9, Idempotency: policy.NonIdempotent, DedupScope: policy.DedupScopeCell},
	}
	if !slices.Equal(config.Classes, wantClasses) {
		t.Errorf("classes %+v, want %+v", config.Classes, wantClasses)
	}
}

// TestNewErrors checks that each error names the setting that is invalid.
func TestNewErrors(t *testing.T) {
	for _, test := range []struct{ from, to, want string }{
		{`"localities"`, `localities`, "settings: invalid character"},
		{`"machine_types": ["r", "w"]`, `"machine_types": ["r"]`, "role_by_kind has 2 entries for 1 machine_types"},
		{`"release_ns": 500000000, `, ``, "family_info.release_ns is missing"},
		{`"write"`, `"draw"`, `unknown role "draw" in role_by_kind`},
		{`"at_most_once"`, `"twice"`, `request class "book" has unknown effect "twice"`},
		{`"cell"`, `"room"`, `request class "book" has unknown dedup_scope "room"`},
	} {
		t.Run(test.want, func(t *testing.T) {
			if !strings.Contains(validText, test.from) {
				t.Fatalf("%q is not in the text", test.from)
			}
			_, err := New(7, []byte(strings.Replace(validText, test.from, test.to, 1)))
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("error %v, want one with %q", err, test.want)
			}
		})
	}
}

// TestSetLoadReportField checks the known fields with their units, and that an unknown field is ignored.
func TestSetLoadReportField(t *testing.T) {
	var report policy.LoadReport
	for name, value := range map[string]float64{"inflight": 3, "x0": 0.5, "x1": 2, "x9": 7} {
		SetLoadReportField(&report, name, value)
	}
	if want := (policy.LoadReport{Requests: 3, MemoryUtilization: 0.5, QueuedPromptTokens: 2000}); report != want {
		t.Errorf("%+v, want %+v", report, want)
	}
}
