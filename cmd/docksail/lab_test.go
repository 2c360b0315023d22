package main

import (
	"bytes"
	"testing"
)

// TestFormerCommandNames checks that each renamed command has a hidden, deprecated alias with its former name.
func TestFormerCommandNames(t *testing.T) {
	current := map[string]string{
		"drill": "scenario", "sim": "simulate", "run": "experiment", "explore": "search",
		"measure": "benchmark", "baseline": "baseline-relay", "modelserver": "model-server",
	}
	lab := labCommand()
	for former, name := range current {
		t.Run(former, func(t *testing.T) {
			alias, _, err := lab.Find([]string{former})
			if err != nil || alias.Name() != former || !alias.Hidden {
				t.Fatalf("lab %s: found %q, hidden %v: %v", former, alias.Name(), alias.Hidden, err)
			}
			if want := `use "` + name + `"`; alias.Deprecated != want {
				t.Errorf("deprecated %q, want %q", alias.Deprecated, want)
			}
		})
	}
}

// TestFormerCommandRuns checks that a command has the same standard output under its former name: the deprecation
// notice goes to standard error.
func TestFormerCommandRuns(t *testing.T) {
	args := []string{"../../internal/lab/scenario/testdata/mended/read-after-its-release.json", "--sums"}
	var outputs [2][]byte
	for i, name := range []string{"simulate", "sim"} {
		output, err := program(append([]string{"lab", name}, args...)...).Output()
		if err != nil || len(output) == 0 {
			t.Fatalf("lab %s: %v, output %q", name, err, output)
		}
		outputs[i] = output
	}
	if !bytes.Equal(outputs[0], outputs[1]) {
		t.Errorf("lab sim prints %q, lab simulate %q", outputs[1], outputs[0])
	}
}
