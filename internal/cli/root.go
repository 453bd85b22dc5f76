package cli

import (
	"errors"
	"fmt"
	"os"

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
		newEdgeCommand(),
		newDevCommand(),
		newStandinCommand(),
		NewConfigCommand(),
		NewExplainCommand(),
		NewUpstreamCommand(),
		NewStatusCommand(),
		NewReplayCommand(),
		newCapacityCommand(),
	)
	return root
}

// Main runs the command line and returns the process's exit code.
func Main() int {
	err := NewRootCommand().Execute()
	var exit *ExitError
	// Findings have been printed by the command itself.
	if err != nil && (!errors.As(err, &exit) || exit.Err != nil) {
		fmt.Fprintln(os.Stderr, "auburndyke:", err)
	}
	return ExitCode(err)
}
