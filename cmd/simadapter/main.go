// Command simadapter runs dispatchers on the simulator's wire: standard input to standard output.
package main

import (
	"docksail/internal/simulatorwire"
	"fmt"
	"os"
)

func main() {
	if err := simulatorwire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}
