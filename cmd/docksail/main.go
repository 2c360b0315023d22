// Command docksail is the dispatcher and what belongs to it: serve runs one, check reads its settings, view shows
// its state, lab plays with stand-ins.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{
		Use:           "docksail",
		Short:         "A router for language-model serving with reading and writing on separate engines",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(serveCommand(), nodeCommand(), checkCommand(), viewCommand(), batchCommand(), labCommand())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "docksail:", err)
		os.Exit(1)
	}
}
