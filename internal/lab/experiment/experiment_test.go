package experiment

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestCompare checks a difference and its interval against values calculated by hand with a tabulated quantile.
func TestCompare(t *testing.T) {
	d := Compare([]float64{1, 2, 3, 4}, []float64{2, 4, 4, 6})
	if want := 3.182446 * math.Sqrt(1.0/3) / 2; math.Abs(d.Mean-1.5) > 1e-9 || math.Abs(d.HalfWidth-want) > 1e-4 {
		t.Errorf("%+v, want 1.5 ± %.4f", d, want)
	}
	if !d.IsSignificant() || Compare([]float64{1, 2, 3}, []float64{3, 1, 3}).IsSignificant() {
		t.Error("want the first difference to be significant and the second not to be")
	}
}

// TestExperimentRun checks that an unchanged variant shows no difference, that one whose decode servers hang does, and
// that a baseline policy runs.
func TestExperimentRun(t *testing.T) {
	script, err := filepath.Abs("../scenario/testdata/badday.json")
	if err != nil {
		t.Fatal(err)
	}
	e, err := Load(writeFile(t, "e.json", `{"script": "`+script+`", "seeds": 3, "variants": [
		{"name": "a", "with": {"for": "8s", "troubles": []}},
		{"name": "same", "with": {"for": "8s", "troubles": []}},
		{"name": "hang", "with": {"for": "8s", "troubles": [{"kind": "hang", "at": "0s", "for": "8s", "role": "decode"}]}},
		{"name": "round robin", "policy": "round robin", "with": {"for": "8s", "troubles": []}}]}`))
	if err != nil {
		t.Fatal(err)
	}
	results, err := e.Run(t.Context(), nil)
	if err != nil {
		t.Fatal(err)
	}
	unchanged, same, hang, roundRobin := &results[0], &results[1], &results[2], &results[3]
	baseline := unchanged.Values(totalValueShare)
	if d := Compare(baseline, same.Values(totalValueShare)); d != (Difference{}) {
		t.Errorf("the same variant differs by %+v, want no difference", d)
	}
	if d := Compare(baseline, hang.Values(totalValueShare)); !d.IsSignificant() || d.Mean > -0.1 {
		t.Errorf("with decode servers that hang the value share differs by %+v, want -0.1 or less", d)
	}
	for _, r := range []*Result{unchanged, roundRobin} {
		if attempts := r.Runs[0].Attempts; attempts < 100 {
			t.Errorf("variant %q: %d attempts, want 100 or more", r.Variant.Name, attempts)
		}
	}
	var table strings.Builder
	PrintResults(&table, results)
	if !strings.Contains(table.String(), "no difference shown") {
		t.Errorf("the table does not say that no difference is shown:\n%s", table.String())
	}
}

// TestLoadErrors checks that errors of Load name the field and the expected value.
func TestLoadErrors(t *testing.T) {
	for text, want := range map[string]string{
		`{"script": "x", "seeds": 1, "variants": [{"name": "a"}]}`:                   "seeds",
		`{"script": "x", "seeds": 2, "variants": [{"name": "a", "policy": "best"}]}`: "round robin",
		`{"script": "x", "seeds": 2, "variants": []}`:                                "at least one",
		`{"script": "x", "seeds": 2, "variants": [{"name": "a", "overrides": {}}]}`:  "unknown field",
	} {
		if _, err := Load(writeFile(t, "e.json", text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want an error that contains %q", text, err, want)
		}
	}
}
