package scenario

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// TestScriptsEncodeAndParse checks that the scripts of testdata are the same after Encode and Parse.
func TestScriptsEncodeAndParse(t *testing.T) {
	files, err := filepath.Glob("testdata/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("%v, %v", files, err)
	}
	for _, f := range files {
		s, err := Load(f)
		if err != nil {
			t.Error(err)
			continue
		}
		b, err := s.Encode()
		if err != nil {
			t.Fatal(err)
		}
		again, err := Parse(f+" encoded", b)
		if err != nil {
			t.Errorf("parse the encoded script: %v", err)
		} else if !reflect.DeepEqual(s, again) {
			t.Errorf("%s differs after Encode and Parse", f)
		}
	}
}

// TestScriptErrors checks that errors of Parse name the invalid field, its value and what is permitted.
func TestScriptErrors(t *testing.T) {
	text, err := os.ReadFile("testdata/badday.json")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ from, to, want string }{
		{`"kind": "hang"`, `"kind": "hung"`, `troubles[1].kind: is "hung", must be one of [ageing `},
		{`"servers": [11]`, `"servers": [15]`, `troubles[1].servers: is 15, must be 1 to 14`},
		{`"dispatcher": 1}`, `"dispatcher": 3}`, `dispatcher: is 3, must be 0 to 2`},
		{`"role": "mixed"`, `"role": "both"`, `fleet[2].role: is "both", must be prefill, decode or mixed`},
		{`"role": "mixed"`, `"role": ""`, `fleet[2].role: is empty, must be prefill, decode or mixed`},
		{`"for": "46s"`, `"for": 46`, `for: must be a string, not 46`},
		{
			`"role": "mixed"`, `"moves_per_second": -1, "role": "mixed"`,
			`fleet[2].moves_per_second: is -1, must be at least 0`,
		},
	} {
		if !strings.Contains(string(text), c.from) {
			t.Fatalf("%s is not in the script", c.from)
		}
		_, err := Parse("s", []byte(strings.Replace(string(text), c.from, c.to, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("with %s: %v, want %q", c.to, err, c.want)
		}
	}
}

// benchText is a small day with a prefill and a decode stage, and with a kind of fault that scripts do not support.
const benchText = `{"length": 20000000, "zones": ["x", "y"], "traffic": {"load": 0.5},
  "clients": {"retries": 1}, "discovery": {"notice": 500000},
 "allow": {"max_attempts": 4}, "fall_multiple": 2, "fall_for": 1000000,
 "classes": [{"name": "c", "share": 1, "aim": 1000000, "deadline": 4000000, "worth": 2, "effect": "keyed",
  "group": "zone", "window": 3000000}],
 "tiers": [{"kinds": [{"name": "r", "slots": 8, "queue": 20, "cold_from": 0.3, "cold": 9000000}, {"name": "w",
  "slots": 90, "queue": 9, "cold_from": 0.4, "cold": 8000000}]}],
 "servers": [{"zone": 0, "kind": 0, "cell": 0, "up": true}, {"zone": 0, "kind": 1, "cell": 0, "up": true},
  {"zone": 1, "kind": 0, "cell": 1, "up": true},
  {"zone": 1, "kind": 1, "cell": 1, "up": true}, {"zone": 1, "kind": 1, "cell": 1, "up": true}, {"zone": 1,
  "kind": 1, "cell": 1, "up": true}],
 "balancers": [{"zone": 0}, {"zone": 1}, {"zone": 1}, {"zone": 0}],
 "troubles": [{"kind": "slow", "at": 5000000, "len": 3000000, "size": 4, "on": [3, 4]}, {"kind": "zone_cut",
  "at": 6000000, "len": 1000000, "which": 1},
  {"kind": "class_fail", "at": 7000000, "len": 1000000, "on": [0], "which": 0}, {"kind": "locusts",
  "at": 8000000, "len": 1},
  {"kind": "balancer_crash", "at": 9000000, "len": 1000000, "on": [3]}, {"kind": "burst", "at": 10000000,
  "len": 1000000, "size": 2}],
 "fam": {"release": 800000, "near": 200000, "roles": ["read", "write"],
  "engines": [{"memory": 200000, "read_per_s": 20000, "step_ms": 20}, {"memory": 100000, "read_per_s": 7000,
  "step_ms": 10}],
  "talks": [{"aim_ms_per_k": 60, "max_out": 300, "new_tokens": 400, "out_tokens": 100, "prefix_tokens": 2000,
  "turns": 2}]}}`

// TestImport checks the import of a day, and that Parse reads the encoded script.
func TestImport(t *testing.T) {
	s, unsupported, err := Import([]byte(benchText), 6, 2)
	if err != nil {
		t.Fatal(err)
	}
	if len(unsupported) != 1 || !strings.Contains(unsupported[0], "locusts") {
		t.Errorf("unsupported: %v, want only the fault locusts", unsupported)
	}
	var kinds []FaultKind
	for _, fault := range s.Faults {
		kinds = append(kinds, fault.Kind)
	}
	if want := []FaultKind{"slow", "cut", "deaf", "dispatcher", "burst"}; !reflect.DeepEqual(kinds, want) {
		t.Errorf("fault kinds %v, want %v", kinds, want)
	}
	if len(s.EngineSpecs()) != 6 || len(s.Dispatchers) != 2 || s.Faults[1].Zone != "y" ||
		s.Faults[2].Class != "c" || s.Faults[3].Dispatcher != 1 {
		t.Errorf("%d servers, %d dispatchers, faults %+v", len(s.EngineSpecs()), len(s.Dispatchers), s.Faults)
	}
	if got := s.Faults[0].Servers; len(got) != 2 {
		t.Errorf("slow servers %v, want the two decode servers that the day names", got)
	}
	b, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Parse("imported", b); err != nil {
		t.Errorf("parse the encoded script: %v", err)
	}
	small, _, err := Import([]byte(benchText), 2, 1)
	if err != nil || len(small.EngineSpecs()) != 4 {
		t.Errorf("scaled down to %d servers, %v, want one of each kind and cell", len(small.EngineSpecs()), err)
	}
	for _, bad := range []string{"", "{}", `{"servers": [{}]}`} {
		if _, _, err := Import([]byte(bad), 6, 2); err == nil {
			t.Errorf("no error for the day %q", bad)
		}
	}
}

// TestImportedFaultKindsExist checks that every kind of fault that Import creates exists.
func TestImportedFaultKindsExist(t *testing.T) {
	for name, imported := range importedFaults {
		if _, ok := faultKinds[imported.kind]; !ok {
			t.Errorf("%s is imported as kind %q, which does not exist", name, imported.kind)
		}
	}
}

// TestEveryFaultIsInjected checks that every kind of fault is a change of servers, has an injector, or is implemented
// by the clients.
func TestEveryFaultIsInjected(t *testing.T) {
	clientFaults := []FaultKind{FaultBurst, FaultLongPrompts}
	for _, kind := range FaultKinds() {
		_, isChange := Fault{Kind: kind}.ServerChange()
		_, isPeriodic := Fault{Kind: kind}.PeriodicChange()
		count := 0
		for _, is := range []bool{isChange, isPeriodic, injectors[kind] != nil, slices.Contains(clientFaults, kind)} {
			if is {
				count++
			}
		}
		if count != 1 {
			t.Errorf("fault %q is implemented in %d ways, want 1", kind, count)
		}
	}
}

// TestTargets checks which servers a fault affects.
func TestTargets(t *testing.T) {
	script := Demo() // two prefill servers and two decode servers in zone a
	specs := script.EngineSpecs()
	for _, c := range []struct {
		name  string
		fault Fault
		want  []int
	}{
		{"named servers", Fault{Servers: []int{4, 1}, Role: Prefill}, []int{3, 0}},
		{"a role", Fault{Role: Decode}, []int{2, 3}},
		{"another zone", Fault{Zone: "b"}, nil},
		{"all", Fault{}, []int{0, 1, 2, 3}},
		{"a share of a role", Fault{Role: Prefill, Share: 1}, []int{0, 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := c.fault.Targets(specs, rand.New(rand.NewPCG(1, 1)), ceil)
			if !slices.Equal(got, c.want) {
				t.Errorf("targets %v, want %v", got, c.want)
			}
		})
	}
}
