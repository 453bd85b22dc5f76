package policy

import (
	"fmt"

	"github.com/auburndyke/auburndyke/internal/tomlstrict"
)

// Conflict is one field, or with an empty Field one whole item, that two
// operators changed differently. Base, Mine and Theirs are TOML values; an
// empty text means absent.
type Conflict struct {
	Kind   ItemKind `json:"kind"`
	ID     string   `json:"id,omitempty"`
	Field  string   `json:"field,omitempty"`
	Base   string   `json:"base,omitempty"`
	Mine   string   `json:"mine,omitempty"`
	Theirs string   `json:"theirs,omitempty"`
}

// String shows both sides.
func (c Conflict) String() string {
	return fmt.Sprintf("%s %q %s: base %s, mine %s, theirs %s", c.Kind, c.ID, c.Field, orAbsent(c.Base), orAbsent(c.Mine), orAbsent(c.Theirs))
}

func orAbsent(text string) string {
	if text == "" {
		return "absent"
	}
	return text
}

// Merge joins two changes of one base document. Changes of different items, of
// different fields of an item and of different labels merge; equal changes
// merge too. Other changes are reported with both sides, and the document keeps
// their side there. Disjoint changes can still contradict each other, so the
// result has to pass Compile.
func Merge(base, mine, theirs *Document) (*Document, []Conflict) {
	m := &merger{}
	d := &Document{
		Tiers:       mergeItems(m, ItemTier, base.Tiers, mine.Tiers, theirs.Tiers, tierID),
		Levels:      mergeItems(m, ItemLevel, base.Levels, mine.Levels, theirs.Levels, levelID),
		Models:      mergeItems(m, ItemModel, base.Models, mine.Models, theirs.Models, modelID),
		Classes:     mergeItems(m, ItemClass, base.Classes, mine.Classes, theirs.Classes, classID),
		Customers:   mergeItems(m, ItemCustomer, base.Customers, mine.Customers, theirs.Customers, customerID),
		Upstreams:   mergeItems(m, ItemUpstream, base.Upstreams, mine.Upstreams, theirs.Upstreams, upstreamID),
		Regions:     mergeItems(m, ItemRegion, base.Regions, mine.Regions, theirs.Regions, regionID),
		Rules:       mergeItems(m, ItemRule, base.Rules, mine.Rules, theirs.Rules, ruleID),
		AdminTokens: mergeItems(m, ItemAdminToken, base.AdminTokens, mine.AdminTokens, theirs.AdminTokens, adminTokenID),
	}
	m.add(ItemRouting, "", tomlstrict.Merge(&d.Routing, &base.Routing, &mine.Routing, &theirs.Routing))
	d.sort()
	return d, m.conflicts
}

type merger struct {
	conflicts []Conflict
}

func (m *merger) add(kind ItemKind, id string, fields []tomlstrict.FieldConflict) {
	for _, f := range fields {
		m.conflicts = append(m.conflicts, Conflict{kind, id, f.Field, f.Base, f.Mine, f.Theirs})
	}
}

func mergeItems[T any](m *merger, kind ItemKind, base, mine, theirs []T, id func(*T) string) []T {
	bases, mines, others := byID(base, id), byID(mine, id), byID(theirs, id)
	var merged []T
	for _, name := range unionIDs(bases, mines, others) {
		item, keep := mergeItem(m, kind, name, bases[name], mines[name], others[name])
		if keep {
			merged = append(merged, item)
		}
	}
	return merged
}

// mergeItem merges one item. A nil pointer means that the side does not have
// it.
func mergeItem[T any](m *merger, kind ItemKind, id string, base, mine, theirs *T) (item T, keep bool) {
	switch {
	case mine != nil && theirs != nil:
		return mergeBoth(m, kind, id, base, mine, theirs), true
	case mine == nil && theirs == nil:
		return item, false
	case base == nil && mine != nil:
		return *mine, true
	case base == nil:
		return *theirs, true
	}
	return mergeRemoval(m, kind, id, base, mine, theirs)
}

// mergeRemoval handles an item that exactly one side removed.
func mergeRemoval[T any](m *merger, kind ItemKind, id string, base, mine, theirs *T) (item T, keep bool) {
	kept := mine
	if kept == nil {
		kept = theirs
	}
	if itemText(kept) == itemText(base) {
		return item, false
	}
	m.conflicts = append(m.conflicts, Conflict{kind, id, "", itemText(base), itemText(mine), itemText(theirs)})
	if theirs == nil {
		return item, false
	}
	return *theirs, true
}

// mergeBoth merges an item that both sides have. When both added it there is
// no base to tell a default from a choice, so every difference conflicts.
func mergeBoth[T any](m *merger, kind ItemKind, id string, base, mine, theirs *T) T {
	merged := *theirs
	if base != nil {
		m.add(kind, id, tomlstrict.Merge(&merged, base, mine, theirs))
		return merged
	}
	for _, f := range diffFields(tomlstrict.Fields(mine), tomlstrict.Fields(theirs)) {
		m.conflicts = append(m.conflicts, Conflict{kind, id, f.Field, "", f.Old, f.New})
	}
	return merged
}

func itemText[T any](item *T) string {
	if item == nil {
		return ""
	}
	return tomlstrict.Format(*item, "")
}
