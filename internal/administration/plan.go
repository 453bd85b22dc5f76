package administration

import (
	"github.com/auburndyke/auburndyke/internal/configlog"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/findings"
	"github.com/auburndyke/auburndyke/internal/policy"
)

// Snapshot is one revision of the configuration, decoded and compiled.
type Snapshot struct {
	Revision domain.Revision
	Document *policy.Document
	Policy   *policy.Policy
}

// EmptySnapshot returns the snapshot of a deployment without a configuration.
func EmptySnapshot() Snapshot {
	d := &policy.Document{}
	d.SetDefaults()
	p, _ := policy.Compile(d, 0)
	return Snapshot{Document: d, Policy: p}
}

// Plan is what a change would do.
type Plan struct {
	Base domain.Revision
	// Next is the changed document as edited from Base.
	Next     *policy.Document
	Changes  []policy.Change
	Impact   []policy.RouteChange
	Warnings []Warning
	// Findings holds warnings about Next.
	Findings findings.List
	// Conflicts is set when another change since Base contradicts this one.
	Conflicts []configlog.Conflict
}

// NewPlan checks a change of base into next by a principal and finds its
// effect on the configuration in force. It fails with *ScopeError, or with a
// findings.List when the result would not compile. Conflicts are part of the
// plan.
func NewPlan(who Principal, base *policy.Document, revision domain.Revision, current Snapshot, next *policy.Document) (*Plan, error) {
	plan := &Plan{Base: revision, Next: next, Changes: policy.Diff(base, next)}
	if err := who.CheckScope(plan.Changes, base, current.Document); err != nil {
		return nil, err
	}
	compiled, list := policy.Compile(next, revision)
	if err := list.Err(); err != nil {
		return nil, err
	}
	plan.Findings = list
	result := next
	if revision != current.Revision {
		merged, conflicts := MergeDocuments(base, next, current.Document)
		if len(conflicts) > 0 {
			plan.Conflicts = conflicts
			return plan, nil
		}
		result = merged
		compiled, list = policy.Compile(merged, revision)
		if err := list.Err(); err != nil {
			return nil, err
		}
	}
	plan.Impact = policy.Impact(current.Policy, compiled)
	plan.Warnings = Warnings(current, result, compiled)
	return plan, nil
}
