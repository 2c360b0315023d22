package faultsearch

import (
	"fmt"
	"strings"

	"docksail/internal/config"
	"docksail/internal/lab/invariants"
	"docksail/internal/lab/scenario"
)

// maxEncodedViolations limits the violations that Encode lists.
const maxEncodedViolations = 3

// Finding is a scenario that violates an invariant or causes a panic.
type Finding struct {
	Seed       uint64           // seed of the original scenario
	Script     *scenario.Script // the minimized scenario
	Violations []invariants.Violation
	Panic      string // message and stack of a panic; empty if there was none
	Runs       int    // number of runs for the minimization
}

// Encode returns the script in the format of scenario files, with a comment that lists the violations.
func (f *Finding) Encode() ([]byte, error) {
	var b strings.Builder
	fmt.Fprintf(&b, "// Found by lab search with seed %d.\n", f.Seed)
	for i, v := range f.Violations {
		if i == maxEncodedViolations {
			fmt.Fprintf(&b, "// and %d more\n", len(f.Violations)-i)
			break
		}
		fmt.Fprintf(&b, "// %v\n", v)
	}
	if f.Panic != "" {
		message, _, _ := strings.Cut(f.Panic, "\n")
		fmt.Fprintf(&b, "// panic: %s\n", message)
	}
	text, err := config.Print(*f.Script)
	if err != nil {
		return nil, err
	}
	b.Write(text)
	return []byte(b.String()), nil
}
