//go:build !race

package main

// raceEnabled reports whether the tests and their processes run with the race detector, which takes several times the
// memory.
const raceEnabled = false
