// Command docksail is a router for language-model serving: serve and node run a dispatcher, check reads its
// configuration, status shows its state, batch submits files of requests, lab runs dispatchers among stand-ins.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	if err := rootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "docksail:", err)
		os.Exit(1)
	}
}

func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "docksail",
		Short:         "A router for language-model serving with prefill and decode on separate engines",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(serveCommand(), nodeCommand(), checkCommand(), batchCommand(), labCommand())
	addRenamed(root, "view", statusCommand)
	return root
}
