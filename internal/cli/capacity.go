package cli

import (
	"errors"

	"github.com/spf13/cobra"

	"github.com/auburndyke/auburndyke/internal/capacity"
)

// reportFormat is the value of the flag --output of commands that also write
// markdown.
type reportFormat string

const reportMarkdown reportFormat = "markdown"

// String implements pflag.Value.
func (f *reportFormat) String() string { return string(*f) }

// Type implements pflag.Value.
func (f *reportFormat) Type() string { return "text|json|markdown" }

// Set implements pflag.Value.
func (f *reportFormat) Set(value string) error {
	switch format := reportFormat(value); format {
	case reportFormat(outputText), reportFormat(outputJSON), reportMarkdown:
		*f = format
		return nil
	}
	return errors.New("must be text, json or markdown")
}

// newCapacityCommand returns the command that measures slopes on this machine
// and extrapolates them to the planned size; see docs/CAPACITY.md.
func newCapacityCommand() *cobra.Command {
	var quick bool
	format := reportFormat(outputText)
	cmd := &cobra.Command{
		Use:   "capacity",
		Short: "Measure costs on this machine and extrapolate them to the planned size",
		Long: "Measures what the parts of the system cost per unit of load or size and\n" +
			"extrapolates the slopes to the planned size. It takes up to 4 minutes, several\n" +
			"cores and less than 4 GiB of memory, and opens loopback connections only.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			report, err := capacity.Run(cmd.Context(), capacity.Options{Quick: quick, Progress: cmd.ErrOrStderr()})
			if err != nil {
				return err
			}
			switch format {
			case reportFormat(outputJSON):
				return report.WriteJSON(cmd.OutOrStdout())
			case reportMarkdown:
				return report.WriteMarkdown(cmd.OutOrStdout())
			}
			return report.WriteText(cmd.OutOrStdout())
		},
	}
	cmd.Flags().BoolVar(&quick, "quick", false, "measure for about 30 s; the figures are rougher")
	cmd.Flags().VarP(&format, "output", "o", "output format")
	return cmd
}
