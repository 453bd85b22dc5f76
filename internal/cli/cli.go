package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/auburndyke/auburndyke/internal/findings"
	"github.com/auburndyke/auburndyke/internal/policy"
)

// Exit codes of the process.
const (
	ExitOK       = 0 // no finding is an error
	ExitFindings = 1 // the configuration has errors
	ExitUsage    = 2 // wrong arguments, or a file cannot be read
	ExitFailure  = 8 // a process could not start, or failed while it ran
)

const exitCodesHelp = `
Exit codes: 0 no errors (there may be warnings), 1 the configuration has
errors, 2 wrong arguments or unreadable file, 8 a process could not start or failed.`

// ExitError ends a command with an exit code.
type ExitError struct {
	Code int
	// Err says what is wrong. It is nil when the findings were printed.
	Err error
}

func (e *ExitError) Error() string {
	if e.Err == nil {
		return "the configuration has errors"
	}
	return e.Err.Error()
}

func (e *ExitError) Unwrap() error { return e.Err }

// ExitCode returns the exit code for an error of a command. Errors of cobra
// itself, such as unknown flags, are usage errors.
func ExitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	var exit *ExitError
	if errors.As(err, &exit) {
		return exit.Code
	}
	return ExitUsage
}

// failure ends a command because of its process and not of its arguments.
func failure(err error) error {
	if err == nil {
		return nil
	}
	return &ExitError{ExitFailure, err}
}

func usageErrorf(format string, args ...any) error {
	return &ExitError{ExitUsage, fmt.Errorf(format, args...)}
}

// output is the value of the flag --output.
type output string

const (
	outputText output = "text"
	outputJSON output = "json"
)

// String implements pflag.Value.
func (o *output) String() string { return string(*o) }

// Type implements pflag.Value.
func (o *output) Type() string { return "text|json" }

// Set implements pflag.Value.
func (o *output) Set(value string) error {
	switch output(value) {
	case outputText, outputJSON:
		*o = output(value)
		return nil
	}
	return errors.New("must be text or json")
}

func addOutputFlag(cmd *cobra.Command, o *output) {
	*o = outputText
	cmd.Flags().VarP(o, "output", "o", "output format")
}

// newCommand returns a command with the conventions of this package: findings
// are output, not errors to be printed again, and wrong arguments give
// ExitUsage.
func newCommand(use, short, long string, run func(*cobra.Command, []string) error) *cobra.Command {
	cmd := &cobra.Command{
		Use:           use,
		Short:         short,
		Long:          long + "\n" + exitCodesHelp,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          run,
	}
	return cmd
}

func readSources(paths []string) ([]policy.Source, error) {
	sources := make([]policy.Source, len(paths))
	for i, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, &ExitError{ExitUsage, err}
		}
		sources[i] = policy.Source{Name: path, Data: data}
	}
	return sources, nil
}

func writeJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func writeFindings(w io.Writer, list findings.List) error {
	for _, f := range list {
		if _, err := fmt.Fprintln(w, f); err != nil {
			return err
		}
	}
	return nil
}

// findingsError ends a command whose configuration has errors.
func findingsError(list findings.List) error {
	if list.HasErrors() {
		return &ExitError{Code: ExitFindings}
	}
	return nil
}
