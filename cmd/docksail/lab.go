package main

import (
	"fmt"
	"log/slog"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"docksail/internal/lab/demo"
)

// labCommand returns the commands that run docksail among stand-ins.
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

// addRenamed adds a command to parent, and once more under its former name as a hidden, deprecated alias.
func addRenamed(parent *cobra.Command, formerName string, newCommand func() *cobra.Command) {
	current, alias := newCommand(), newCommand()
	alias.Use = strings.Replace(alias.Use, current.Name(), formerName, 1)
	alias.Hidden = true
	alias.Deprecated = fmt.Sprintf("use %q", current.Name())
	parent.AddCommand(current, alias)
}

// logFlag adds the flag for the least level of log records and returns where its value is kept.
func logFlag(c *cobra.Command, level slog.Level) *slog.Level {
	value := new(slog.Level)
	c.Flags().TextVar(value, "log", level, "least level of log lines: debug, info, warn, error")
	return value
}

// newTextLogger returns a logger that writes records of a level and above to standard error.
func newTextLogger(level slog.Level) *slog.Logger {
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
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
