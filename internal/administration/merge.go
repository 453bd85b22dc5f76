package administration

import (
	"fmt"

	"github.com/auburndyke/auburndyke/internal/configlog"
	"github.com/auburndyke/auburndyke/internal/findings"
	"github.com/auburndyke/auburndyke/internal/policy"
)

// Merger merges configurations by their meaning. A merge whose result does not
// compile is a conflict, because the daemons would reject the revision.
type Merger struct{}

var _ configlog.Merger = Merger{}

// Merge implements configlog.Merger.
func (Merger) Merge(base, mine, theirs []byte) ([]byte, []configlog.Conflict) {
	baseDoc, baseList := read("base", base)
	myDoc, myList := read("mine", mine)
	theirDoc, theirList := read("theirs", theirs)
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

// read decodes one side. Revision zero has an empty content, which is no valid
// configuration but a valid base.
func read(name string, content []byte) (*policy.Document, findings.List) {
	d, list := policy.Decode(name, content)
	if len(content) == 0 {
		return d, nil
	}
	return d, list
}

// MergeDocuments applies to theirs what mine changed since base. Rules and
// references that the merge leaves inconsistent are reported as conflicts.
func MergeDocuments(base, mine, theirs *policy.Document) (*policy.Document, []configlog.Conflict) {
	merged, differing := policy.Merge(base, mine, theirs)
	var conflicts []configlog.Conflict
	for _, c := range differing {
		conflicts = append(conflicts, configlog.Conflict{Path: path(c), Base: c.Base, Mine: c.Mine, Theirs: c.Theirs})
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

func path(c policy.Conflict) string {
	p := fmt.Sprintf("%s/%s", c.Kind, c.ID)
	if c.Field != "" {
		p += "/" + c.Field
	}
	return p
}
