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

const exampleFile = "../../deploy/docksail.json"

const validText = `// comments are fine
{
  "listen": "127.0.0.1:7600",
  "zone": "a",
  "fleet": {"watch": "127.0.0.1:7700"},
  "classes": [
    {"name": "question", "target": "1s", "timeout": "5s", "token_gap": "50ms", "effect": "idempotent"},
    {"name": "notice", "target": "1s", "timeout": "5s", "token_gap": "50ms", "effect": "deduplicated", ` +
	`"group": "zone", "window": "3s"},
  ],
  "cold_start": {"from": 0.3, "warm_after": "10s", "overload_factor": 2.5, "overload_window": "2s"},
  "rules": {"release_within": "500ms"},
}`

// TestParse checks decoded values, the defaults of fields that are not set, and that the policy accepts the result.
func TestParse(t *testing.T) {
	config, err := Parse("x", []byte(validText))
	if err != nil {
		t.Fatal(err)
	}
	class := config.Classes[1]
	if class.Idempotency != Idempotency(policy.Deduplicated) ||
		class.DedupScope != DedupScope(policy.DedupScopeZone) || class.DedupWindow != 3*time.Second {
		t.Errorf("class decoded as %+v", class)
	}
	defaults := Default()
	if config.Limits.MaxRequests != defaults.Limits.MaxRequests ||
		config.Attempts.MaxAttempts != defaults.Attempts.MaxAttempts {
		t.Error("fields that the file does not set differ from the defaults")
	}
	if _, err := config.NewPolicy(1, 0); err != nil {
		t.Errorf("the policy rejects the configuration: %v", err)
	}
}

// TestDurationsInErrors guards against errors that show a duration in nanoseconds.
func TestDurationsInErrors(t *testing.T) {
	for from, want := range map[string]string{
		`"target": "1s"`:            `classes[0].target: is -1.5s, must be greater than 0`,
		`"window": "3s"`:            `classes[1].window: is -1.5s, must be greater than 0`,
		`"warm_after": "10s"`:       `cold_start.warm_after: is -1.5s, must be greater than 0`,
		`"release_within": "500ms"`: `rules.release_within: is -1.5s, must be greater than 0`,
	} {
		name, _, _ := strings.Cut(from, ":")
		_, err := Parse("x", []byte(strings.Replace(validText, from, name+`: "-1.5s"`, 1)))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want one with %q", err, want)
		}
	}
}

// TestErrorsHideKeys guards against errors that show what stands where the hash of an API key should: often the key.
func TestErrorsHideKeys(t *testing.T) {
	for _, keys := range []string{
		`"example-key"`, `["example-key"]`, `[{"example-key": "main"}]`, `{"main": "example-key"}`,
		`[{"sha256": "example-key"}]`, `[{"sha256": ["example-key"]}]`, `[{"sha256": 123454321}]`, `[123454321]`,
	} {
		text := strings.Replace(validText, `"rules"`,
			`"batch": {"listen": "127.0.0.1:7610", "dir": "d", "keys": `+keys+`}, "rules"`, 1)
		_, err := Parse("x", []byte(text))
		if err == nil || strings.Contains(err.Error(), "example-key") || strings.Contains(err.Error(), "123454321") {
			t.Errorf("keys %s: error %v, want one without the key", keys, err)
		}
	}
}

// TestParseErrors checks that each error names the file, the line, the field and what is permitted.
func TestParseErrors(t *testing.T) {
	for _, test := range []struct{ from, to, want string }{
		{`"zone": "a"`, `"zoen": "a"`, `x:4: zoen: unknown field, must be one of listen,`},
		{`"zone": "a"`, `"zone": 7`, `x:4: zone: must be a string, not 7`},
		{`"zone": "a"`, `"zone": "a", "zone": "b"`, `x:4: zone: is set twice`},
		{
			`"target": "1s", "timeout": "5s", "token_gap": "50ms", "effect": "idempotent"`,
			`"timeout": "5s", "token_gap": "50ms", "effect": "idempotent"`,
			`x:7: classes[0].target: is missing: the time in which`,
		},
		{
			`"effect": "idempotent"`, `"effect": "safe"`,
			`x:7: classes[0].effect: "safe" is not one of idempotent, deduplicated, non_idempotent`,
		},
		{
			`"timeout": "5s", "token_gap": "50ms", "effect": "deduplicated"`,
			`"timeout": "5", "token_gap": "50ms", "effect": "deduplicated"`,
			`x:8: classes[1].timeout: "5" is not a duration`,
		},
		{`"window": "3s"`, `"window": "0s"`, `x:8: classes[1].window: is 0, must be greater than 0`},
		{`"name": "notice"`, `"name": "question"`, `x:8: classes[1].name: "question" is empty or a duplicate`},
		{`"from": 0.3`, `"from": 30`, `x:10: cold_start.from: is 30, must be greater than 0 and at most 1`},
		{`"from": 0.3`, `"from": true`, `x:10: cold_start.from: must be a number, not true`},
		{`"127.0.0.1:7600"`, `"here"`, `x:3: listen:`},
		{`{"watch": "127.0.0.1:7700"}`, `{}`, `x:5: fleet: must have either watch or file`},
		{`"zone": "a"`, `"zone": "a", "number": 2, "count": 2`, `x:4: number: is 2, must be 0 to 1`},
		{
			`"zone": "a"`, `"zone": "a", "limits": {"requests": 1.5}`,
			`x:4: limits.requests: must be an integer, not 1.5`,
		},
		{`"zone": "a"`, `"zone": "a", "limits": []`, `x:4: limits: must be an object, not a list`},
		{`"rules": {"release_within": "500ms"},`, ``, `x:1: rules: is missing: the times of the rules`},
		{`"zone": "a",`, `"zone": "a"`, `x: hujson: line 5`},
	} {
		t.Run(test.want, func(t *testing.T) {
			if !strings.Contains(validText, test.from) {
				t.Fatalf("%q is not in the text", test.from)
			}
			_, err := Parse("x", []byte(strings.Replace(validText, test.from, test.to, 1)))
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("with %s: %v, want %q", test.to, err, test.want)
			}
		})
	}
}

// TestPrint checks that a printed configuration is parsed as the same configuration.
func TestPrint(t *testing.T) {
	example, err := os.ReadFile(exampleFile)
	if err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string][]byte{"x": []byte(validText), exampleFile: example} {
		t.Run(name, func(t *testing.T) {
			config, err := Parse(name, text)
			if err != nil {
				t.Fatal(err)
			}
			printed, err := config.Print()
			if err != nil {
				t.Fatal(err)
			}
			reread, err := Parse("printed", printed)
			if err != nil {
				t.Fatalf("%v in %s", err, printed)
			}
			if len(config.Tenants) == 0 { // an empty list is printed also where the text has none
				config.Tenants, reread.Tenants = nil, nil
			}
			if !reflect.DeepEqual(config, reread) {
				t.Errorf("the printed configuration is parsed differently: %s", printed)
			}
		})
	}
}

// TestAllErrorsAtOnce checks that a file with two errors has both in the returned error.
func TestAllErrorsAtOnce(t *testing.T) {
	text := strings.NewReplacer(`"from": 0.3`, `"from": "x"`, `"zone": "a"`, `"nonsense": 1`).Replace(validText)
	_, err := Parse("x", []byte(text))
	if err == nil || strings.Count(err.Error(), "\n") != 1 {
		t.Errorf("got error %v, want two lines", err)
	}
}

// TestExampleFiles checks that the files in deploy are valid and have no former names.
func TestExampleFiles(t *testing.T) {
	if _, err := Load(exampleFile); err != nil {
		t.Error(err)
	}
	text, err := os.ReadFile("../../deploy/fleet.json")
	if err != nil {
		t.Fatal(err)
	}
	servers, warnings, err := ParseServers("fleet.json", text)
	if err != nil || len(servers) == 0 || len(warnings) > 0 {
		t.Errorf("%d servers, warnings %q, %v", len(servers), warnings, err)
	}
}

// TestParseServersErrors checks the errors of duplicate IDs, unknown roles and missing fields in a list of engines.
func TestParseServersErrors(t *testing.T) {
	for _, test := range []struct{ text, want string }{
		{
			`{"servers": [{"id": 1, "address": "127.0.0.1:1", "role": "prefill"},` +
				` {"id": 1, "address": "127.0.0.1:2", "role": "decode"}]}`,
			"servers[1].id: 1 is out of range or a duplicate",
		},
		{
			`{"servers": [{"id": 1, "address": "127.0.0.1:1", "role": "cook"}]}`,
			`"cook" is not one of prefill, decode, mixed`,
		},
		{`{}`, "servers: is missing"},
	} {
		t.Run(test.want, func(t *testing.T) {
			if _, _, err := ParseServers("f", []byte(test.text)); err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("%s: %v, want %q", test.text, err, test.want)
			}
		})
	}
}

// TestFormerNames checks that a configuration of the previous release is read, with a warning for each former name.
func TestFormerNames(t *testing.T) {
	formerText := strings.NewReplacer(
		`"classes"`, `"tracks"`, `"target"`, `"expected"`, `"timeout"`, `"patience"`,
		`"idempotent"`, `"redoable"`, `"deduplicated"`, `"labelled"`,
		`"overload_factor"`, `"topples_at"`, `"overload_window"`, `"topples_over"`,
	).Replace(validText)
	former, err := Parse("x", []byte(formerText))
	if err != nil {
		t.Fatal(err)
	}
	current, err := Parse("x", []byte(validText))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := len(former.Warnings), 9; got != want {
		t.Errorf("%d warnings, want %d: %q", got, want, former.Warnings)
	}
	want := `x:7: classes[0].effect: "redoable" is deprecated, use "idempotent"; the next release will reject it`
	if !slices.Contains(former.Warnings, want) {
		t.Errorf("warnings %q, want %q", former.Warnings, want)
	}
	if len(current.Warnings) > 0 {
		t.Errorf("warnings for current names: %q", current.Warnings)
	}
	former.Warnings = nil
	if !reflect.DeepEqual(former, current) {
		t.Errorf("decoded as %+v, want %+v", former, current)
	}
	both := strings.Replace(validText, `"target": "1s"`, `"expected": "1s", "target": "2s"`, 1)
	_, err = Parse("x", []byte(both))
	if err == nil || !strings.Contains(err.Error(), "classes[0].target: is set twice") {
		t.Errorf("a field with its current and its former name: %v", err)
	}
}

// TestFormerNamesOfServers checks that a list of engines of the previous release is read, with a warning for each
// former name.
func TestFormerNamesOfServers(t *testing.T) {
	list, warnings, err := ParseServers("f", []byte(
		`{"hosts": [{"id": 1, "address": "127.0.0.1:1", "role": "reader"},`+
			` {"id": 2, "address": "127.0.0.1:2", "role": "writer"}]}`))
	if err != nil || len(list) != 2 || list[0].Role != policy.Prefill || list[1].Role != policy.Decode {
		t.Fatalf("%+v, %v", list, err)
	}
	want := `f:1: servers[1].role: "writer" is deprecated, use "decode"; the next release will reject it`
	if len(warnings) != 3 || !slices.Contains(warnings, want) {
		t.Errorf("warnings %q, want three and %q", warnings, want)
	}
}
