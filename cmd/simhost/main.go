// Command simhost runs dispatchers on the simulator's wire: standard input to standard output.
package main

import (
	"fmt"
	"os"

	"docksail/internal/simwire"
)

func main() {
	if err := simwire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}
