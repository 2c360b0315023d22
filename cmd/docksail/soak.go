package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"docksail/internal/lab/soak"
)

// modelServerCommand runs one stand-in model server of a soak.
func modelServerCommand() *cobra.Command {
	var name, role, ledger string
	c := &cobra.Command{
		Use:    "modelserver",
		Short:  "Run a stand-in model server that speaks the platform's protocol, for a soak",
		Args:   cobra.NoArgs,
		Hidden: true,
		RunE: func(c *cobra.Command, _ []string) error {
			if role != "prefill" && role != "decode" {
				return fmt.Errorf("role %q: want prefill or decode", role)
			}
			s := soak.ModelServer{Name: name, Prefill: role == "prefill"}
			return s.Run(ledger, c.OutOrStdout())
		},
	}
	c.Flags().StringVar(&name, "name", "", "its name on the list")
	c.Flags().StringVar(&role, "role", "prefill", "prefill or decode")
	c.Flags().StringVar(&ledger, "ledger", "", "where it keeps its account")
	return c
}
