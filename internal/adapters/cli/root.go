// Package cli holds the commands of the auburndyke binary.
package cli

import (
	"github.com/spf13/cobra"
)

// NewRootCommand returns the command tree.
func NewRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "auburndyke",
		Short:         "Router for language-model traffic with priorities and service levels",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		newServeCommand(),
		newDevCommand(),
		newStandinCommand(),
		NewConfigCommand(),
		NewExplainCommand(),
		NewCommand(),
	)
	return root
}
