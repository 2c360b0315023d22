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

// logFlushTime is how long a dispatcher's process waits at its end for the log's writer.
const logFlushTime = 10 * time.Millisecond

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

// countsFlag adds the flag for the interval of the log record with the counts and returns where its value is kept.
func countsFlag(c *cobra.Command) *time.Duration {
	return c.Flags().Duration("counts-every", defaultCountsInterval, "how often counts are logged")
}

// newTextLogger returns a logger that writes records of a level and above to standard error.
func newTextLogger(level slog.Level) *slog.Logger {
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
}
