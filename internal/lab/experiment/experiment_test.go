package experiment

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func write(t *testing.T, name, text string) string {
	t.Helper()
	at := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(at, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return at
}

// TestCompare: against figures worked out by hand, with the quantile of a table.
func TestCompare(t *testing.T) {
	d := Compare([]float64{1, 2, 3, 4}, []float64{2, 4, 4, 6})
	if want := 3.182446 * math.Sqrt(1.0/3) / 2; math.Abs(d.Mean-1.5) > 1e-9 || math.Abs(d.HalfWidth-want) > 1e-4 {
		t.Errorf("%+v, want 1.5 ± %.4f", d, want)
	}
	if !d.IsSignificant() || Compare([]float64{1, 2, 3}, []float64{3, 1, 3}).IsSignificant() {
		t.Error("what is shown and what is not are mixed up")
	}
}

// TestRun: a variant that changes nothing shows no difference at all, one that halves the fleet's pace does.
func TestRun(t *testing.T) {
	day, err := filepath.Abs("../scenario/testdata/badday.json")
	if err != nil {
		t.Fatal(err)
	}
	e, err := Load(write(t, "e.json", `{"script": "`+day+`", "seeds": 3, "variants": [{"name": "a", "with": {"for": "8s", "troubles": []}},
		{"name": "same", "with": {"for": "8s", "troubles": []}},
		{"name": "hang", "with": {"for": "8s", "troubles": [{"kind": "hang", "at": "0s", "for": "8s", "role": "decode"}]}},
		{"name": "in turn", "policy": "round robin", "with": {"for": "8s", "troubles": []}}]}`))
	if err != nil {
		t.Fatal(err)
	}
	rs, err := e.Run(t.Context(), nil)
	if err != nil {
		t.Fatal(err)
	}
	kept := func(s *Summary) float64 { return s.ValueShare[""] }
	if d := Compare(rs[0].Values(kept), rs[1].Values(kept)); d != (Difference{}) {
		t.Errorf("the same variant differs by %+v", d)
	}
	if d := Compare(rs[0].Values(kept), rs[2].Values(kept)); !d.IsSignificant() || d.Mean > -0.1 {
		t.Errorf("with writers that hang it differs by %+v", d)
	}
	if rs[0].Runs[0].Attempts < 100 || rs[3].Runs[0].Attempts < 100 {
		t.Errorf("%d and %d launches", rs[0].Runs[0].Attempts, rs[3].Runs[0].Attempts)
	}
	var out strings.Builder
	PrintResults(&out, rs)
	if !strings.Contains(out.String(), "no difference shown") {
		t.Errorf("nothing says that no difference is shown:\n%s", out.String())
	}
}

// TestLoadErrors name the field and what was wanted.
func TestLoadErrors(t *testing.T) {
	for text, want := range map[string]string{
		`{"script": "x", "seeds": 1, "variants": [{"name": "a"}]}`:                   "seeds",
		`{"script": "x", "seeds": 2, "variants": [{"name": "a", "policy": "best"}]}`: "round robin",
		`{"script": "x", "seeds": 2, "variants": []}`:                                "one at least",
		`{"script": "x", "seeds": 2, "variants": [{"name": "a", "wiht": {}}]}`:       "no such field",
	} {
		if _, err := Load(write(t, "e.json", text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %q named", text, err, want)
		}
	}
}
