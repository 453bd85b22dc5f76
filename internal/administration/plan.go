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

// EmptySnapshot returns the snapshot of a deployment that has no configuration
// yet.
func EmptySnapshot() Snapshot {
	d := &policy.Document{}
	d.SetDefaults()
	p, _ := policy.Compile(d, 0)
	return Snapshot{Document: d, Policy: p}
}

// Plan is the checked effect of a change.
type Plan struct {
	Base domain.Revision
	// Next is Base with the change applied, before any merge.
	Next     *policy.Document
	Changes  []policy.Change
	Impact   []policy.RouteChange
	Warnings []Warning
	// Findings lists the compiler's warnings about Next.
	Findings findings.List
	// Conflicts lists the conflicts with other changes since Base. If there are
	// any, Impact and Warnings are not set.
	Conflicts []configlog.Conflict
}

// NewPlan checks a principal's change from base to next and computes its effect
// on the configuration in force. It returns a *ScopeError if the principal may
// not make the change, and a findings.List if the result does not compile.
// Conflicts are not an error; they are listed in the plan.
func NewPlan(principal Principal, base *policy.Document, baseRevision domain.Revision, current Snapshot, next *policy.Document) (*Plan, error) {
	plan := &Plan{Base: baseRevision, Next: next, Changes: policy.Diff(base, next)}
	if err := principal.CheckScope(plan.Changes, base, current.Document); err != nil {
		return nil, err
	}
	compiled, list := policy.Compile(next, baseRevision)
	if err := list.Err(); err != nil {
		return nil, err
	}
	plan.Findings = list
	result := next
	if baseRevision != current.Revision {
		merged, conflicts := MergeDocuments(base, next, current.Document)
		if len(conflicts) > 0 {
			plan.Conflicts = conflicts
			return plan, nil
		}
		result = merged
		compiled, list = policy.Compile(merged, baseRevision)
		if err := list.Err(); err != nil {
			return nil, err
		}
	}
	plan.Impact = policy.Impact(current.Policy, compiled)
	plan.Warnings = Warnings(current, result, compiled)
	return plan, nil
}
