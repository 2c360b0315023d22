package main

import (
	"time"

	"github.com/spf13/cobra"

	"docksail/internal/statusfile"
)

// statusCommand returns the command status, which prints the status file of a dispatcher.
func statusCommand() *cobra.Command {
	var interval time.Duration
	c := &cobra.Command{
		Use:   "status STATUS-FILE",
		Short: "Show a dispatcher's admission queue and counts, once or repeatedly",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			for {
				file, err := statusfile.Read(args[0])
				if err != nil {
					return err
				}
				file.Print(c.OutOrStdout(), time.Now())
				if interval == 0 {
					return nil
				}
				select {
				case <-time.After(interval):
				case <-c.Context().Done():
					return nil
				}
			}
		},
	}
	c.Flags().DurationVar(&interval, "every", 0, "interval at which the status is shown again; 0 = once")
	return c
}
