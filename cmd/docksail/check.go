package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"docksail/internal/config"
)

// checkCommand returns the command check, which validates a configuration file.
func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Validate a configuration and print it with all defaults",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			settings, err := config.Load(args[0])
			if err != nil {
				return err
			}
			if _, err := settings.NewPolicy(1, 0); err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			for _, warning := range settings.Warnings {
				fmt.Fprintln(c.ErrOrStderr(), "warning:", warning)
			}
			text, err := settings.Print()
			if err != nil {
				return err
			}
			_, err = c.OutOrStdout().Write(text)
			return err
		},
	}
}
