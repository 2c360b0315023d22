// Command simadapter runs dispatchers for the simulator: it reads events from standard input and writes decisions to
// standard output.
package main

import (
	"fmt"
	"os"

	"docksail/internal/simulatorwire"
)

func main() {
	if err := simulatorwire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}
