package replay

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"

	"github.com/rotisserie/eris"

	"github.com/auburndyke/auburndyke/internal/domain"
)

// Quantiles are of milliseconds at the caller.
type Quantiles struct {
	P50 Millis `json:"p50_ms"`
	P95 Millis `json:"p95_ms"`
	P99 Millis `json:"p99_ms"`
}

// Violations counts breaches of the invariants of the design page.
type Violations struct {
	I1 int `json:"i1"`
	I2 int `json:"i2"`
	I3 int `json:"i3"`
	I4 int `json:"i4"`
}

// Sum returns the number of all violations.
func (v Violations) Sum() int { return v.I1 + v.I2 + v.I3 + v.I4 }

// ClassReport holds the figures of one class or tier.
type ClassReport struct {
	Name     string `json:"name"`
	Requests int    `json:"requests"`
	Complete int    `json:"complete"`
	// Attainment is the share (0 to 1) of all requests that were answered in
	// full within their targets.
	Attainment    float64   `json:"attainment"`
	FirstToken    Quantiles `json:"first_token"`
	TokenInterval Quantiles `json:"token_interval"`
	MaxWait       Millis    `json:"max_wait_ms"`
}

// TierReport holds the removals of one tier.
type TierReport struct {
	Name        string  `json:"name"`
	Attainment  float64 `json:"attainment"`
	Sheds       int     `json:"sheds"`
	Preemptions int     `json:"preemptions"`
}

// WasteReport is the waste of one cause as the exchange counted it.
type WasteReport struct {
	Cause  domain.WasteCause `json:"cause"`
	Tokens int               `json:"tokens"`
}

// PolicyReport holds the figures of one policy.
type PolicyReport struct {
	Policy     PolicyName    `json:"policy"`
	Attainment float64       `json:"attainment"`
	Classes    []ClassReport `json:"classes"`
	Tiers      []TierReport  `json:"tiers"`
	// Goodput is the number of tokens of answers within their targets.
	Goodput int `json:"goodput_tokens"`
	// Computed counts the tokens that engines generated; WastedShare is the
	// part (0 to 1) of them that is in no whole answer.
	Computed    int           `json:"computed_tokens"`
	WastedShare float64       `json:"wasted_share"`
	Waste       []WasteReport `json:"waste"`
	// RepeatedPrompt counts prompt tokens processed again by continuations.
	RepeatedPrompt int        `json:"repeated_prompt_tokens"`
	CrossBytes     int64      `json:"cross_region_bytes"`
	Violations     Violations `json:"violations"`
}

// Report compares policies over one trace.
type Report struct {
	Trace    string          `json:"trace"`
	Seed     uint64          `json:"seed"`
	Requests int             `json:"requests"`
	Faults   int             `json:"faults"`
	Policies []*PolicyReport `json:"policies"`
}

// Replay runs a trace with faults under each policy. The same arguments give
// the same report.
func Replay(t *Trace, faults []Fault, policies []PolicyName, seed uint64) *Report {
	report := &Report{Trace: t.Header.Name, Seed: seed, Requests: len(t.Records), Faults: len(faults)}
	for _, name := range policies {
		report.Policies = append(report.Policies, replayPolicy(t, faults, name, seed))
	}
	return report
}

// Policy returns the figures of a policy, or nil.
func (r *Report) Policy(name PolicyName) *PolicyReport {
	for _, p := range r.Policies {
		if p.Policy == name {
			return p
		}
	}
	return nil
}

// Class returns the figures of a class, or nil.
func (p *PolicyReport) Class(name string) *ClassReport {
	for i := range p.Classes {
		if p.Classes[i].Name == name {
			return &p.Classes[i]
		}
	}
	return nil
}

func (m *measure) report() *PolicyReport {
	p := &PolicyReport{
		Policy:         m.run.name,
		Goodput:        m.good,
		RepeatedPrompt: m.repeatedPrompt,
		CrossBytes:     m.crossBytes,
		Violations:     m.violations,
	}
	p.Violations.I2 = m.starved()
	for _, e := range m.run.engines {
		p.Computed += e.computed
	}
	p.WastedShare = share(p.Computed-m.delivered, p.Computed)
	attained, requests := 0, 0
	for _, c := range m.classes {
		attained += c.attained
		requests += c.requests
		p.Classes = append(p.Classes, ClassReport{
			Name:          c.spec.ID,
			Requests:      c.requests,
			Complete:      c.complete,
			Attainment:    share(c.attained, c.requests),
			FirstToken:    quantiles(c.firsts),
			TokenInterval: quantiles(c.intervals),
			MaxWait:       round(c.maxWait),
		})
	}
	p.Attainment = share(attained, requests)
	m.reportTiers(p)
	for cause, tokens := range m.waste {
		p.Waste = append(p.Waste, WasteReport{Cause: cause, Tokens: tokens})
	}
	slices.SortFunc(p.Waste, func(a, b WasteReport) int {
		if a.Cause < b.Cause {
			return -1
		}
		return 1
	})
	return p
}

func (m *measure) reportTiers(p *PolicyReport) {
	for i, t := range m.run.trace.Header.Tiers {
		attained, requests := 0, 0
		for _, c := range m.classes {
			if c.spec.Tier == t.ID {
				attained += c.attained
				requests += c.requests
			}
		}
		p.Tiers = append(p.Tiers, TierReport{
			Name:        t.ID,
			Attainment:  share(attained, requests),
			Sheds:       m.sheds[i],
			Preemptions: m.preemptions[i],
		})
	}
}

// share is a quotient in steps of 1/10000.
func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return math.Round(float64(part)/float64(whole)*1e4) / 1e4
}

// WriteJSON writes the report as indented JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return eris.Wrap(enc.Encode(r), "write report")
}

// WriteText writes the report as tables.
func (r *Report) WriteText(w io.Writer) error {
	fmt.Fprintf(w, "trace %s, seed %d, %d requests, %d faults\n\n", r.Trace, r.Seed, r.Requests, r.Faults)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "policy\tattainment\tgoodput\twasted\tcross-region bytes\trepeated prompt\tI1\tI2\tI3\tI4")
	for _, p := range r.Policies {
		v := p.Violations
		fmt.Fprintf(t, "%s\t%.1f%%\t%d\t%.2f%%\t%d\t%d\t%d\t%d\t%d\t%d\n", p.Policy, 100*p.Attainment, p.Goodput,
			100*p.WastedShare, p.CrossBytes, p.RepeatedPrompt, v.I1, v.I2, v.I3, v.I4)
	}
	fmt.Fprintln(t, "\nclass\tpolicy\trequests\tcomplete\tattainment\tfirst token p50/p95/p99 ms\tinterval p50/p95/p99 ms\tmax wait ms")
	for i := range r.classes() {
		for _, p := range r.Policies {
			c := &p.Classes[i]
			f, b := c.FirstToken, c.TokenInterval
			fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%.1f%%\t%.0f/%.0f/%.0f\t%.0f/%.0f/%.0f\t%.0f\n", c.Name, p.Policy, c.Requests, c.Complete,
				100*c.Attainment, f.P50, f.P95, f.P99, b.P50, b.P95, b.P99, c.MaxWait)
		}
	}
	fmt.Fprintln(t, "\ntier\tpolicy\tattainment\tsheds\tpreemptions")
	for _, p := range r.Policies {
		for _, tier := range p.Tiers {
			fmt.Fprintf(t, "%s\t%s\t%.1f%%\t%d\t%d\n", tier.Name, p.Policy, 100*tier.Attainment, tier.Sheds, tier.Preemptions)
		}
	}
	fmt.Fprintln(t, "\nwaste\tpolicy\ttokens")
	for _, p := range r.Policies {
		for _, waste := range p.Waste {
			fmt.Fprintf(t, "%s\t%s\t%d\n", waste.Cause, p.Policy, waste.Tokens)
		}
	}
	return eris.Wrap(t.Flush(), "write report")
}

func (r *Report) classes() []ClassReport {
	if len(r.Policies) == 0 {
		return nil
	}
	return r.Policies[0].Classes
}
