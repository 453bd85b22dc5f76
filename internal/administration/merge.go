package administration

import (
	"fmt"

	"github.com/auburndyke/auburndyke/internal/configlog"
	"github.com/auburndyke/auburndyke/internal/findings"
	"github.com/auburndyke/auburndyke/internal/policy"
)

// Merger is a three-way merge of configurations by item and field instead of by
// line. A result that does not compile is reported as a conflict, because
// daemons would reject that revision.
type Merger struct{}

var _ configlog.Merger = Merger{}

// Merge implements configlog.Merger.
func (Merger) Merge(base, mine, theirs []byte) ([]byte, []configlog.Conflict) {
	baseDoc, baseList := decode("base", base)
	myDoc, myList := decode("mine", mine)
	theirDoc, theirList := decode("theirs", theirs)
	for _, list := range []findings.List{baseList, myList, theirList} {
		if list.HasErrors() {
			return nil, []configlog.Conflict{{Base: string(base), Mine: string(mine), Theirs: string(theirs)}}
		}
	}
	merged, conflicts := MergeDocuments(baseDoc, myDoc, theirDoc)
	if len(conflicts) > 0 {
		return nil, conflicts
	}
	return merged.Encode(), nil
}

// decode decodes one of the three versions. Revision zero has empty content,
// which is not a valid configuration but is a valid base.
func decode(name string, content []byte) (*policy.Document, findings.List) {
	d, list := policy.Decode(name, content)
	if len(content) == 0 {
		return d, nil
	}
	return d, list
}

// MergeDocuments applies the changes from base to mine to theirs. Rules and
// references that are inconsistent in the result are reported as conflicts.
func MergeDocuments(base, mine, theirs *policy.Document) (*policy.Document, []configlog.Conflict) {
	merged, docConflicts := policy.Merge(base, mine, theirs)
	var conflicts []configlog.Conflict
	for _, c := range docConflicts {
		conflicts = append(conflicts, configlog.Conflict{Path: conflictPath(c), Base: c.Base, Mine: c.Mine, Theirs: c.Theirs})
	}
	if len(conflicts) > 0 {
		return nil, conflicts
	}
	_, list := policy.Compile(merged, 0)
	for _, f := range list {
		if f.Severity == findings.Error {
			conflicts = append(conflicts, configlog.Conflict{Path: f.File, Mine: f.String()})
		}
	}
	if len(conflicts) > 0 {
		return nil, conflicts
	}
	return merged, nil
}

func conflictPath(c policy.Conflict) string {
	p := fmt.Sprintf("%s/%s", c.Kind, c.ID)
	if c.Field != "" {
		p += "/" + c.Field
	}
	return p
}
