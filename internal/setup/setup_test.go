package setup

import (
	"os"
	"reflect"
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
  "tracks": [
    {"name": "question", "expected": "1s", "patience": "5s", "token_gap": "50ms", "effect": "redoable"},
    {"name": "notice", "expected": "1s", "patience": "5s", "token_gap": "50ms", "effect": "labelled", "group": "zone", "window": "3s"},
  ],
  "cold_start": {"from": 0.3, "warm_after": "10s", "topples_at": 2.5, "topples_over": "2s"},
  "rules": {"release_within": "500ms"},
}`

func TestGood(t *testing.T) {
	s, err := Parse("x", []byte(good))
	if err != nil {
		t.Fatal(err)
	}
	if s.Tracks[1].Effect != Effect(policy.Deduplicated) || s.Tracks[1].Group != Group(policy.GroupZone) || s.Tracks[1].Window != 3*time.Second {
		t.Errorf("track read as %+v", s.Tracks[1])
	}
	if s.Limits.Jobs != Usual().Limits.Jobs || s.Launches.Most != Usual().Launches.Most {
		t.Error("what the file does not say is not as usual")
	}
	if _, err := s.Module(1, 0); err != nil {
		t.Errorf("the module does not start: %v", err)
	}
}

// TestErrors: each names file, line, field and what was wanted.
func TestErrors(t *testing.T) {
	for _, c := range []struct{ from, to, want string }{
		{`"zone": "a"`, `"zoen": "a"`, `x:4: zoen: no such field, want one of listen,`},
		{`"zone": "a"`, `"zone": 7`, `x:4: zone: want a text, not 7`},
		{`"zone": "a"`, `"zone": "a", "zone": "b"`, `x:4: zone: stands twice`},
		{`"expected": "1s", "patience": "5s", "token_gap": "50ms", "effect": "redoable"`, `"patience": "5s", "token_gap": "50ms", "effect": "redoable"`,
			`x:7: tracks[0].expected: is missing, want the time in which`},
		{`"effect": "redoable"`, `"effect": "safe"`, `x:7: tracks[0].effect: "safe", want one of redoable, labelled, irreversible`},
		{`"patience": "5s", "token_gap": "50ms", "effect": "labelled"`, `"patience": "5", "token_gap": "50ms", "effect": "labelled"`,
			`x:8: tracks[1].patience: "5" is no length of time`},
		{`"window": "3s"`, `"window": "0s"`, `x:8: tracks[1].window: is 0, want more than 0`},
		{`"name": "notice"`, `"name": "question"`, `x:8: tracks[1].name: "question" is empty or stands twice`},
		{`"from": 0.3`, `"from": 30`, `x:10: cold_start.from: is 30, want more than 0 and at most 1`},
		{`"from": 0.3`, `"from": true`, `x:10: cold_start.from: want a number, not true`},
		{`"127.0.0.1:7600"`, `"here"`, `x:3: listen:`},
		{`{"watch": "127.0.0.1:7700"}`, `{}`, `x:5: fleet: want either watch or file`},
		{`"zone": "a"`, `"zone": "a", "number": 2, "count": 2`, `x:4: number: is 2, want 0 to 1`},
		{`"zone": "a"`, `"zone": "a", "limits": {"jobs": 1.5}`, `x:4: limits.jobs: want a whole number, not 1.5`},
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
	if hosts, err := Hosts("fleet.json", text); err != nil || len(hosts) == 0 {
		t.Errorf("%d hosts, %v", len(hosts), err)
	}
}

func TestHosts(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{`{"hosts": [{"id": 1, "address": "127.0.0.1:1", "role": "reader"}, {"id": 1, "address": "127.0.0.1:2", "role": "writer"}]}`, "hosts[1].id: 1 is out of range or stands twice"},
		{`{"hosts": [{"id": 1, "address": "127.0.0.1:1", "role": "cook"}]}`, `"cook", want one of reader, writer, mixed`},
		{`{}`, "hosts: is missing"},
	} {
		if _, err := Hosts("f", []byte(c.text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q", c.text, err, c.want)
		}
	}
}
