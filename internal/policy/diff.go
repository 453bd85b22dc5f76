package policy

import (
	"cmp"
	"slices"

	"github.com/auburndyke/auburndyke/internal/tomlstrict"
)

// ChangeOp tells what happened to an item.
type ChangeOp string

const (
	ChangeAdded   ChangeOp = "added"
	ChangeRemoved ChangeOp = "removed"
	ChangeChanged ChangeOp = "changed"
)

// FieldChange is one field of an item. Old and New are TOML values; an empty
// text means that the field is absent or has its default value.
type FieldChange struct {
	Field string `json:"field"`
	Old   string `json:"old,omitempty"`
	New   string `json:"new,omitempty"`
}

// Change is the difference in one item of two documents.
type Change struct {
	Kind   ItemKind      `json:"kind"`
	ID     string        `json:"id,omitempty"`
	Op     ChangeOp      `json:"op"`
	Fields []FieldChange `json:"fields"`
}

// Diff lists the differences between two documents, by kind in the order of
// Document's fields and then by identifier.
func Diff(oldDoc, newDoc *Document) []Change {
	var changes []Change
	changes = diffItems(changes, ItemTier, oldDoc.Tiers, newDoc.Tiers, tierID)
	changes = diffItems(changes, ItemLevel, oldDoc.Levels, newDoc.Levels, levelID)
	changes = diffItems(changes, ItemModel, oldDoc.Models, newDoc.Models, modelID)
	changes = diffItems(changes, ItemClass, oldDoc.Classes, newDoc.Classes, classID)
	changes = diffItems(changes, ItemCustomer, oldDoc.Customers, newDoc.Customers, customerID)
	changes = diffItems(changes, ItemUpstream, oldDoc.Upstreams, newDoc.Upstreams, upstreamID)
	changes = diffItems(changes, ItemRegion, oldDoc.Regions, newDoc.Regions, regionID)
	changes = diffItems(changes, ItemRule, oldDoc.Rules, newDoc.Rules, ruleID)
	changes = diffItems(changes, ItemAdminToken, oldDoc.AdminTokens, newDoc.AdminTokens, adminTokenID)
	if fields := diffFields(tomlstrict.Fields(&oldDoc.Routing), tomlstrict.Fields(&newDoc.Routing)); len(fields) > 0 {
		changes = append(changes, Change{ItemRouting, "", ChangeChanged, fields})
	}
	return changes
}

func diffItems[T any](changes []Change, kind ItemKind, oldItems, newItems []T, id func(*T) string) []Change {
	olds := byID(oldItems, id)
	news := byID(newItems, id)
	for _, name := range unionIDs(olds, news) {
		before, after := olds[name], news[name]
		c := Change{Kind: kind, ID: name, Op: ChangeChanged, Fields: diffFields(fieldsOrNone(before), fieldsOrNone(after))}
		switch {
		case before == nil:
			c.Op = ChangeAdded
		case after == nil:
			c.Op = ChangeRemoved
		case len(c.Fields) == 0:
			continue
		}
		changes = append(changes, c)
	}
	return changes
}

func unionIDs[T any](sets ...map[string]*T) []string {
	all := map[string]bool{}
	for _, s := range sets {
		for id := range s {
			all[id] = true
		}
	}
	return sortedKeys(all)
}

func fieldsOrNone[T any](item *T) []tomlstrict.FieldText {
	if item == nil {
		return nil
	}
	return tomlstrict.Fields(item)
}

func diffFields(before, after []tomlstrict.FieldText) []FieldChange {
	values := make(map[string]string, len(before))
	for _, f := range before {
		values[f.Name] = f.Value
	}
	var changes []FieldChange
	for _, f := range after {
		if values[f.Name] != f.Value {
			changes = append(changes, FieldChange{f.Name, values[f.Name], f.Value})
		}
		delete(values, f.Name)
	}
	for _, name := range sortedKeys(values) {
		changes = append(changes, FieldChange{name, values[name], ""})
	}
	slices.SortFunc(changes, func(a, b FieldChange) int { return cmp.Compare(a.Field, b.Field) })
	return changes
}
