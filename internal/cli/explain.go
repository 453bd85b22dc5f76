package cli

import (
	"io"
	"net/url"
	"strings"

	"github.com/spf13/cobra"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/policy"
)

type explainOptions struct {
	format                          output
	customer, class, model, adapter string
}

// NewExplainCommand returns the command "explain".
func NewExplainCommand() *cobra.Command {
	var options explainOptions
	var admin adminOptions
	cmd := newCommand("explain --customer ID [--class ID] [--model ID] [--adapter NAME] [FILES...]",
		"Tell which upstreams may serve a request and why",
		"Tells the tier, the service level and the deciding rules for a customer and\nclass, and for each upstream whether it may serve the request or why not. The\nconfiguration decides; health and load of upstreams are not considered.\nWith --admin a daemon answers from the configuration in force; otherwise FILES\nform the configuration.",
		func(cmd *cobra.Command, args []string) error {
			options.format = admin.format
			if admin.url == "" {
				return runExplain(cmd.OutOrStdout(), options, args)
			}
			return explainRemote(cmd, &admin, options, args)
		})
	cmd.Long += "\n" + adminExitCodesHelp
	admin.addFlags(cmd)
	flags := cmd.Flags()
	flags.StringVar(&options.customer, "customer", "", "customer identifier (required)")
	flags.StringVar(&options.class, "class", "", "class identifier (default: the customer's default class)")
	flags.StringVar(&options.model, "model", "", "model identifier (default: a plain service)")
	flags.StringVar(&options.adapter, "adapter", "", "adapter of the model")
	cobra.CheckErr(cmd.MarkFlagRequired("customer"))
	return cmd
}

func runExplain(w io.Writer, options explainOptions, paths []string) error {
	if len(paths) == 0 {
		return usageErrorf("explain needs FILES or --admin")
	}
	sources, err := readSources(paths)
	if err != nil {
		return err
	}
	_, p, list := policy.Load(0, sources...)
	if list.HasErrors() {
		return writeCheck(w, options.format, list, "")
	}
	class := domain.ClassID(options.class)
	if c := p.Customers[domain.CustomerID(options.customer)]; c != nil && class == "" {
		class = c.DefaultClass
	}
	e, err := policy.Explain(p, domain.CustomerID(options.customer), class, domain.ModelID(options.model), options.adapter)
	if err != nil {
		return &ExitError{ExitUsage, err}
	}
	if options.format == outputJSON {
		return writeJSON(w, e)
	}
	return writeExplanation(w, e)
}

// explainRemote asks a daemon.
func explainRemote(cmd *cobra.Command, admin *adminOptions, options explainOptions, paths []string) error {
	if len(paths) > 0 {
		return usageErrorf("explain takes FILES or --admin, not both")
	}
	client, err := admin.client()
	if err != nil {
		return err
	}
	query := url.Values{
		"customer": {options.customer},
		"class":    {options.class},
		"model":    {options.model},
		"adapter":  {options.adapter},
	}
	var e policy.Explanation
	if _, err := client.get(cmd.Context(), "/admin/v1/explain", query, &e); err != nil {
		return client.report(cmd.OutOrStdout(), err)
	}
	if options.format == outputJSON {
		return writeJSON(cmd.OutOrStdout(), e)
	}
	return writeExplanation(cmd.OutOrStdout(), &e)
}

func writeExplanation(w io.Writer, e *policy.Explanation) error {
	p := &printer{w: w}
	p.printf("customer %s, class %s, model %s, adapter %s\n", e.Customer, e.Class, orNone(string(e.Model)), orNone(e.Adapter))
	if e.Tier == "" {
		p.printf("no rule matches\n")
	} else {
		p.printf("tier %s (rank %d), service level %s\n", e.Tier, e.Rank, e.Level)
	}
	for _, r := range e.Rules {
		decides := "decides"
		if !r.Decides {
			decides = "overridden"
		}
		p.printf("rule %s, precedence %d: %s (%s:%d)\n", r.Name, r.Precedence, decides, r.File, r.Line)
	}
	for _, v := range e.Upstreams {
		if v.In {
			p.printf("in   %s (%s, %s): rules %s\n", v.ID, v.Region, v.Zone, strings.Join(v.Rules, ", "))
			continue
		}
		p.printf("out  %s (%s, %s): %s\n", v.ID, v.Region, v.Zone, strings.Join(v.Reasons, "; "))
	}
	return p.err
}
