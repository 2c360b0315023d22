// Command simadapter runs dispatchers on the simulator's wire: standard input to standard output.
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
