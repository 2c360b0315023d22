package config

import (
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"docksail/policy"
)

const good = `// comments are fine
{
  "listen": "127.0.0.1:7600",
  "zone": "a",
  "fleet": {"watch": "127.0.0.1:7700"},
  "classes": [
    {"name": "question", "target": "1s", "timeout": "5s", "token_gap": "50ms", "effect": "idempotent"},
    {"name": "notice", "target": "1s", "timeout": "5s", "token_gap": "50ms", "effect": "deduplicated", "group": "zone", "window": "3s"},
  ],
  "cold_start": {"from": 0.3, "warm_after": "10s", "overload_factor": 2.5, "overload_window": "2s"},
  "rules": {"release_within": "500ms"},
}`

func TestGood(t *testing.T) {
	s, err := Parse("x", []byte(good))
	if err != nil {
		t.Fatal(err)
	}
	if s.Classes[1].Idempotency != Idempotency(policy.Deduplicated) || s.Classes[1].DedupScope != DedupScope(policy.DedupScopeZone) || s.Classes[1].DedupWindow != 3*time.Second {
		t.Errorf("track read as %+v", s.Classes[1])
	}
	if s.Limits.MaxRequests != Default().Limits.MaxRequests || s.Attempts.MaxAttempts != Default().Attempts.MaxAttempts {
		t.Error("what the file does not say is not as usual")
	}
	if _, err := s.NewPolicy(1, 0); err != nil {
		t.Errorf("the module does not start: %v", err)
	}
}

// TestErrors: each names file, line, field and what was wanted.
func TestErrors(t *testing.T) {
	for _, c := range []struct{ from, to, want string }{
		{`"zone": "a"`, `"zoen": "a"`, `x:4: zoen: no such field, want one of listen,`},
		{`"zone": "a"`, `"zone": 7`, `x:4: zone: want a text, not 7`},
		{`"zone": "a"`, `"zone": "a", "zone": "b"`, `x:4: zone: stands twice`},
		{
			`"target": "1s", "timeout": "5s", "token_gap": "50ms", "effect": "idempotent"`, `"timeout": "5s", "token_gap": "50ms", "effect": "idempotent"`,
			`x:7: classes[0].target: is missing, want the time in which`,
		},
		{`"effect": "idempotent"`, `"effect": "safe"`, `x:7: classes[0].effect: "safe", want one of idempotent, deduplicated, non_idempotent`},
		{
			`"timeout": "5s", "token_gap": "50ms", "effect": "deduplicated"`, `"timeout": "5", "token_gap": "50ms", "effect": "deduplicated"`,
			`x:8: classes[1].timeout: "5" is no length of time`,
		},
		{`"window": "3s"`, `"window": "0s"`, `x:8: classes[1].window: is 0, want more than 0`},
		{`"name": "notice"`, `"name": "question"`, `x:8: classes[1].name: "question" is empty or stands twice`},
		{`"from": 0.3`, `"from": 30`, `x:10: cold_start.from: is 30, want more than 0 and at most 1`},
		{`"from": 0.3`, `"from": true`, `x:10: cold_start.from: want a number, not true`},
		{`"127.0.0.1:7600"`, `"here"`, `x:3: listen:`},
		{`{"watch": "127.0.0.1:7700"}`, `{}`, `x:5: fleet: want either watch or file`},
		{`"zone": "a"`, `"zone": "a", "number": 2, "count": 2`, `x:4: number: is 2, want 0 to 1`},
		{`"zone": "a"`, `"zone": "a", "limits": {"requests": 1.5}`, `x:4: limits.requests: want a whole number, not 1.5`},
		{`"zone": "a"`, `"zone": "a", "limits": []`, `x:4: limits: want an object, not a list`},
		{`"rules": {"release_within": "500ms"},`, ``, `x:1: rules: is missing, want the times of the rules`},
		{`"zone": "a",`, `"zone": "a"`, `x: hujson: line 5`},
	} {
		if !strings.Contains(good, c.from) {
			t.Fatalf("%q does not stand in the text", c.from)
		}
		_, err := Parse("x", []byte(strings.Replace(good, c.from, c.to, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("with %s: %v, want %q", c.to, err, c.want)
		}
	}
}

// TestPrint: what is printed is read back as the same.
func TestPrint(t *testing.T) {
	for _, name := range []string{"x", "../../deploy/docksail.json"} {
		text := []byte(good)
		if name != "x" {
			var err error
			if text, err = os.ReadFile(name); err != nil {
				t.Fatal(err)
			}
		}
		s, err := Parse(name, text)
		if err != nil {
			t.Fatal(err)
		}
		out, err := s.Print()
		if err != nil {
			t.Fatal(err)
		}
		again, err := Parse("printed", out)
		if err != nil {
			t.Fatalf("%v in %s", err, out)
		}
		if len(s.Tenants) == 0 { // none, written or not
			s.Tenants, again.Tenants = nil, nil
		}
		if !reflect.DeepEqual(s, again) {
			t.Errorf("printed as %s", out)
		}
	}
}

func TestAllErrorsAtOnce(t *testing.T) {
	_, err := Parse("x", []byte(strings.NewReplacer(`"from": 0.3`, `"from": "x"`, `"zone": "a"`, `"nonsense": 1`).Replace(good)))
	if err == nil || strings.Count(err.Error(), "\n") != 1 {
		t.Errorf("want two lines: %v", err)
	}
}

func TestExample(t *testing.T) {
	if _, err := Load("../../deploy/docksail.json"); err != nil {
		t.Error(err)
	}
	text, err := os.ReadFile("../../deploy/fleet.json")
	if err != nil {
		t.Fatal(err)
	}
	if servers, warnings, err := ParseServers("fleet.json", text); err != nil || len(servers) == 0 || len(warnings) > 0 {
		t.Errorf("%d servers, warnings %q, %v", len(servers), warnings, err)
	}
}

func TestHosts(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{`{"servers": [{"id": 1, "address": "127.0.0.1:1", "role": "prefill"}, {"id": 1, "address": "127.0.0.1:2", "role": "decode"}]}`, "servers[1].id: 1 is out of range or stands twice"},
		{`{"servers": [{"id": 1, "address": "127.0.0.1:1", "role": "cook"}]}`, `"cook", want one of prefill, decode, mixed`},
		{`{}`, "servers: is missing"},
	} {
		if _, _, err := ParseServers("f", []byte(c.text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q", c.text, err, c.want)
		}
	}
}

// TestFormerNames: settings written for the release before are read, with a warning for each name.
func TestFormerNames(t *testing.T) {
	former := strings.NewReplacer(`"classes"`, `"tracks"`, `"target"`, `"expected"`, `"timeout"`, `"patience"`, `"idempotent"`, `"redoable"`,
		`"deduplicated"`, `"labelled"`, `"overload_factor"`, `"topples_at"`, `"overload_window"`, `"topples_over"`).Replace(good)
	was, err := Parse("x", []byte(former))
	if err != nil {
		t.Fatal(err)
	}
	is, err := Parse("x", []byte(good))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := len(was.Warnings), 9; got != want {
		t.Errorf("%d warnings, want %d: %q", got, want, was.Warnings)
	}
	if want := `x:7: classes[0].effect: "redoable" is called "idempotent" now; the next release will not read it`; !slices.Contains(was.Warnings, want) {
		t.Errorf("warnings %q, want %q", was.Warnings, want)
	}
	if len(is.Warnings) > 0 {
		t.Errorf("warnings for names that hold: %q", is.Warnings)
	}
	was.Warnings = nil
	if !reflect.DeepEqual(was, is) {
		t.Errorf("read as %+v, want %+v", was, is)
	}
	both := strings.Replace(good, `"target": "1s"`, `"expected": "1s", "target": "2s"`, 1)
	if _, err := Parse("x", []byte(both)); err == nil || !strings.Contains(err.Error(), "classes[0].target: stands twice") {
		t.Errorf("a field by both names: %v", err)
	}
}

// TestFormerNamesOfServers: a list of engines written for the release before is read, with its warnings.
func TestFormerNamesOfServers(t *testing.T) {
	list, warnings, err := ParseServers("f", []byte(`{"hosts": [{"id": 1, "address": "127.0.0.1:1", "role": "reader"}, {"id": 2, "address": "127.0.0.1:2", "role": "writer"}]}`))
	if err != nil || len(list) != 2 || list[0].Role != policy.Prefill || list[1].Role != policy.Decode {
		t.Fatalf("%+v, %v", list, err)
	}
	want := `f:1: servers[1].role: "writer" is called "decode" now; the next release will not read it`
	if len(warnings) != 3 || !slices.Contains(warnings, want) {
		t.Errorf("warnings %q, want three and %q", warnings, want)
	}
}
