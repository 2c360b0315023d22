package faultsearch

import (
	"fmt"
	"strings"

	"docksail/internal/config"
	"docksail/internal/lab/invariants"
	"docksail/internal/lab/scenario"
)

// maxEncodedViolations is how many violations Encode lists.
const maxEncodedViolations = 3

// Finding is a scenario that violates an invariant, or makes the program panic.
type Finding struct {
	Seed       uint64           // of the scenario that was found
	Script     *scenario.Script // minimized
	Violations []invariants.Violation
	Panic      string // message and stack; empty if the program did not panic
	Plays      int    // runs that the minimization took
}

// Encode returns the script as the text of a file, with a comment that says what it violates.
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
