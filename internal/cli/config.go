package cli

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/findings"
	"github.com/auburndyke/auburndyke/internal/policy"
	"github.com/auburndyke/auburndyke/internal/settings"
)

// NewConfigCommand returns the command "config" with its subcommands.
func NewConfigCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "config",
		Short: "Check, compare and change configurations",
		Args:  cobra.NoArgs,
	}
	cmd.AddCommand(newCheckCommand(), newSettingsCommand(), newDiffCommand(),
		NewConfigGetCommand(), NewConfigApplyCommand(), NewConfigLabelCommand(),
		NewConfigHistoryCommand(), NewConfigRollForwardCommand())
	return cmd
}

// checkReport is the JSON output of config check and config check-settings.
type checkReport struct {
	OK       bool          `json:"ok"`
	Findings findings.List `json:"findings"`
}

func writeCheck(w io.Writer, format output, list findings.List, summary string) error {
	if format == outputJSON {
		if err := writeJSON(w, checkReport{!list.HasErrors(), orEmpty(list)}); err != nil {
			return err
		}
		return findingsError(list)
	}
	if err := writeFindings(w, list); err != nil {
		return err
	}
	if list.HasErrors() {
		return findingsError(list)
	}
	_, err := fmt.Fprintln(w, summary)
	return err
}

func newCheckCommand() *cobra.Command {
	var format output
	cmd := newCommand("check FILES...", "Check the shared configuration",
		"Checks the files that form one shared configuration together and reports all\nfindings with file, line and column.",
		func(cmd *cobra.Command, args []string) error {
			return runCheck(cmd.OutOrStdout(), format, args)
		})
	cmd.Args = cobra.MinimumNArgs(1)
	addOutputFlag(cmd, &format)
	return cmd
}

func runCheck(w io.Writer, format output, paths []string) error {
	sources, err := readSources(paths)
	if err != nil {
		return err
	}
	d, list := policy.DecodeFiles(sources...)
	summary := fmt.Sprintf("configuration is valid: %d customers, %d classes, %d upstreams, %d rules",
		len(d.Customers), len(d.Classes), len(d.Upstreams), len(d.Rules))
	return writeCheck(w, format, list, summary)
}

func newSettingsCommand() *cobra.Command {
	var format output
	cmd := newCommand("check-settings FILES...", "Check the settings of one daemon",
		"Checks the files that form the settings of one daemon together and reports all\nfindings with file, line and column.",
		func(cmd *cobra.Command, args []string) error {
			sources, err := readSources(args)
			if err != nil {
				return err
			}
			s, list := settings.Decode(sources...)
			return writeCheck(cmd.OutOrStdout(), format, list, fmt.Sprintf("settings of daemon %s are valid", s.Daemon))
		})
	cmd.Args = cobra.MinimumNArgs(1)
	addOutputFlag(cmd, &format)
	return cmd
}

// diffReport is the JSON output of config diff.
type diffReport struct {
	Changes []policy.Change      `json:"changes"`
	Impact  []policy.RouteChange `json:"impact"`
}

func newDiffCommand() *cobra.Command {
	var format output
	cmd := newCommand("diff OLD NEW", "Compare two shared configurations",
		"Lists the changes between two configurations and the traffic that they affect.\nOLD and NEW are files, or directories whose files customers.toml, policy.toml\nand upstreams.toml, as far as they exist, form the configuration.",
		func(cmd *cobra.Command, args []string) error {
			return runDiff(cmd.OutOrStdout(), format, args[0], args[1])
		})
	cmd.Args = cobra.ExactArgs(2)
	addOutputFlag(cmd, &format)
	return cmd
}

// configurationFiles are the file names of a configuration in a directory.
// Settings lie beside them, so not every TOML file belongs to it.
var configurationFiles = []string{"policy.toml", "customers.toml", "upstreams.toml"}

func expand(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, &ExitError{ExitUsage, err}
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	var paths []string
	for _, name := range configurationFiles {
		file := filepath.Join(path, name)
		if _, err := os.Stat(file); err == nil {
			paths = append(paths, file)
		}
	}
	if len(paths) == 0 {
		return nil, usageErrorf("directory %s holds none of %v", path, configurationFiles)
	}
	return paths, nil
}

func loadPath(path string) (*policy.Document, *policy.Policy, findings.List, error) {
	paths, err := expand(path)
	if err != nil {
		return nil, nil, nil, err
	}
	sources, err := readSources(paths)
	if err != nil {
		return nil, nil, nil, err
	}
	d, p, list := policy.Load(0, sources...)
	return d, p, list, nil
}

func runDiff(w io.Writer, format output, oldPath, newPath string) error {
	oldDoc, oldPolicy, oldList, err := loadPath(oldPath)
	if err != nil {
		return err
	}
	newDoc, newPolicy, newList, err := loadPath(newPath)
	if err != nil {
		return err
	}
	if list := slices.Concat(oldList, newList); list.HasErrors() {
		return writeCheck(w, format, list, "")
	}
	report := diffReport{policy.Diff(oldDoc, newDoc), policy.Impact(oldPolicy, newPolicy)}
	if format == outputJSON {
		return writeJSON(w, diffReport{orEmpty(report.Changes), orEmpty(report.Impact)})
	}
	return writeDiff(w, report)
}

// orEmpty makes JSON show an empty list instead of null.
func orEmpty[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}

func writeDiff(w io.Writer, report diffReport) error {
	p := &printer{w: w}
	for _, c := range report.Changes {
		p.printf("%s %s %s\n", c.Op, c.Kind, c.ID)
		for _, f := range c.Fields {
			p.printf("  %s: %s -> %s\n", f.Field, orNone(f.Old), orNone(f.New))
		}
	}
	p.printf("%d changes; %d pairs of customer and class affected\n", len(report.Changes), len(report.Impact))
	writeImpact(p, report.Impact)
	return p.err
}

// maxNamedPairs bounds the pairs of customer and class that one line names.
const maxNamedPairs = 4

// writeImpact prints one line for all pairs that are affected alike.
func writeImpact(p *printer, impact []policy.RouteChange) {
	pairs := map[string][]string{}
	var effects []string
	for _, c := range impact {
		effect := effectText(c)
		if pairs[effect] == nil {
			effects = append(effects, effect)
		}
		pairs[effect] = append(pairs[effect], fmt.Sprintf("%s %s", c.Customer, c.Class))
	}
	for _, effect := range effects {
		list := pairs[effect]
		p.printf("  %s: %s", effect, strings.Join(list[:min(len(list), maxNamedPairs)], ", "))
		if more := len(list) - maxNamedPairs; more > 0 {
			p.printf(" and %d more", more)
		}
		p.printf("\n")
	}
}

// maxNamedUpstreams bounds the upstreams that one line names on each side.
const maxNamedUpstreams = 8

func idsText(ids []domain.UpstreamID) string {
	if more := len(ids) - maxNamedUpstreams; more > 0 {
		return fmt.Sprintf("%v and %d more", ids[:maxNamedUpstreams], more)
	}
	return fmt.Sprint(ids)
}

// effectText says what changes for one customer and class.
func effectText(c policy.RouteChange) string {
	var parts []string
	if c.OldTier != c.NewTier {
		parts = append(parts, fmt.Sprintf("tier %s -> %s", orNone(string(c.OldTier)), orNone(string(c.NewTier))))
	}
	if c.OldLevel != c.NewLevel {
		parts = append(parts, fmt.Sprintf("service level %s -> %s", orNone(c.OldLevel), orNone(c.NewLevel)))
	}
	if len(c.Gained) > 0 {
		parts = append(parts, "gains "+idsText(c.Gained))
	}
	if len(c.Lost) > 0 {
		parts = append(parts, "loses "+idsText(c.Lost))
	}
	if c.LeftWithout {
		parts = append(parts, "has no upstream left")
	}
	return strings.Join(parts, ", ")
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}

// printer keeps the first error of a sequence of writes.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, args...)
	}
}
