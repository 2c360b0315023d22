package main

import (
	"fmt"
	"log/slog"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

const defaultCountsInterval = 10 * time.Second

// logFlushTime is how long a process waits before it exits, so that queued log records are written.
const logFlushTime = 10 * time.Millisecond

// addRenamed adds a command to parent, and once more under its former name as a hidden, deprecated alias.
func addRenamed(parent *cobra.Command, formerName string, newCommand func() *cobra.Command) {
	current, alias := newCommand(), newCommand()
	alias.Use = strings.Replace(alias.Use, current.Name(), formerName, 1)
	alias.Hidden = true
	alias.Deprecated = fmt.Sprintf("use %q", current.Name())
	parent.AddCommand(current, alias)
}

// addLogLevelFlag adds the flag for the minimum level of log records and returns a pointer to its value.
func addLogLevelFlag(c *cobra.Command, level slog.Level) *slog.Level {
	value := new(slog.Level)
	c.Flags().TextVar(value, "log", level, "minimum level of log records: debug, info, warn, error")
	return value
}

// addCountsIntervalFlag adds the flag for the interval at which counts are logged and returns a pointer to its value.
func addCountsIntervalFlag(c *cobra.Command) *time.Duration {
	return c.Flags().Duration("counts-every", defaultCountsInterval, "interval at which counts are logged")
}

// newTextLogger returns a logger that writes records of at least a level to standard error as text.
func newTextLogger(level slog.Level) *slog.Logger {
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
}
