// Command docksail is a router for language-model serving. Its commands serve and node run a dispatcher, check
// validates a configuration, status shows a dispatcher's state, batch submits files of requests, and lab runs
// dispatchers among stand-in engines, clients and discovery.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"docksail/internal/earlysignal"
)

func main() {
	if !runsDispatcher(os.Args) {
		earlysignal.Restore()
	}
	if err := rootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "docksail:", err)
		os.Exit(1)
	}
}

// runsDispatcher reports whether the command line runs a dispatcher, which handles signals itself.
func runsDispatcher(args []string) bool {
	return len(args) > 1 && (args[1] == "serve" || args[1] == "node")
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
