package policy

import (
	"github.com/auburndyke/auburndyke/internal/tomlstrict"
)

// Item is one entry of a Document as readers see it.
type Item struct {
	Kind ItemKind
	ID   string
	// Fields holds the fields that differ from their defaults. Values are TOML.
	Fields []tomlstrict.FieldText
}

// Items lists the entries of one kind in canonical order. It is empty for an
// unknown kind and for ItemRouting.
func (d *Document) Items(kind ItemKind) []Item {
	switch kind {
	case ItemTier:
		return itemsOf(kind, d.Tiers, tierID)
	case ItemLevel:
		return itemsOf(kind, d.Levels, levelID)
	case ItemModel:
		return itemsOf(kind, d.Models, modelID)
	case ItemClass:
		return itemsOf(kind, d.Classes, classID)
	case ItemCustomer:
		return itemsOf(kind, d.Customers, customerID)
	case ItemUpstream:
		return itemsOf(kind, d.Upstreams, upstreamID)
	case ItemRegion:
		return itemsOf(kind, d.Regions, regionID)
	case ItemRule:
		return itemsOf(kind, d.Rules, ruleID)
	case ItemAdminToken:
		return itemsOf(kind, d.AdminTokens, adminTokenID)
	}
	return nil
}

func itemsOf[T any](kind ItemKind, list []T, id func(*T) string) []Item {
	items := make([]Item, len(list))
	for i := range list {
		items[i] = Item{kind, id(&list[i]), tomlstrict.Fields(&list[i])}
	}
	return items
}

// Only returns a document that holds nothing but the entries of one kind, or
// with an identifier nothing but that entry. It fails with *NotFoundError.
func (d *Document) Only(kind ItemKind, id string) (*Document, error) {
	part := &Document{}
	part.SetDefaults()
	found := true
	switch kind {
	case ItemTier:
		part.Tiers, found = only(d.Tiers, tierID, id)
	case ItemLevel:
		part.Levels, found = only(d.Levels, levelID, id)
	case ItemModel:
		part.Models, found = only(d.Models, modelID, id)
	case ItemClass:
		part.Classes, found = only(d.Classes, classID, id)
	case ItemCustomer:
		part.Customers, found = only(d.Customers, customerID, id)
	case ItemUpstream:
		part.Upstreams, found = only(d.Upstreams, upstreamID, id)
	case ItemRegion:
		part.Regions, found = only(d.Regions, regionID, id)
	case ItemRule:
		part.Rules, found = only(d.Rules, ruleID, id)
	case ItemAdminToken:
		part.AdminTokens, found = only(d.AdminTokens, adminTokenID, id)
	case ItemRouting:
		part.Routing = d.Routing
	}
	if !found {
		return nil, &NotFoundError{kind, id}
	}
	return part, nil
}

func only[T any](list []T, id func(*T) string, want string) ([]T, bool) {
	if want == "" {
		return list, true
	}
	i := find(list, id, want)
	if i < 0 {
		return nil, false
	}
	return list[i : i+1 : i+1], true
}

// WithoutHashes returns a document without the hashes of API keys and without
// administration tokens, for readers who do not manage them.
func (d *Document) WithoutHashes() *Document {
	next := d.Clone()
	next.AdminTokens = nil
	for i := range next.Customers {
		next.Customers[i].APIKeys = nil
	}
	return next
}
