package main

import (
	"log/slog"

	"github.com/spf13/cobra"

	"docksail/internal/lab/demo"
)

// labCommand returns the command lab, whose subcommands run dispatchers among stand-in engines, clients and discovery.
func labCommand() *cobra.Command {
	lab := &cobra.Command{Use: "lab", Short: "Run dispatchers among stand-in engines, clients and discovery"}
	lab.AddCommand(demoCommand(), importCommand(), reportCommand(), loadCommand(), soakCommand())
	lab.AddCommand(calibrateCommand(), enginesCommand())
	addRenamed(lab, "drill", scenarioCommand)
	addRenamed(lab, "sim", simulateCommand)
	addRenamed(lab, "run", experimentCommand)
	addRenamed(lab, "explore", searchCommand)
	addRenamed(lab, "measure", benchmarkCommand)
	addRenamed(lab, "baseline", baselineRelayCommand)
	addRenamed(lab, "modelserver", modelServerCommand)
	return lab
}

func demoCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "demo",
		Short: "Start stand-in engines, discovery and a dispatcher, and stream one answer",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return demo.Run(c.Context(), c.OutOrStdout(), newTextLogger(slog.LevelWarn))
		},
	}
}
