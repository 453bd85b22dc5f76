package policy

import (
	"bytes"
	"fmt"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/findings"
	"github.com/auburndyke/auburndyke/internal/tomlstrict"
)

// ItemKind names a list of a Document. Its value is the list's TOML key.
type ItemKind string

const (
	ItemTier       ItemKind = "tiers"
	ItemLevel      ItemKind = "service_levels"
	ItemModel      ItemKind = "models"
	ItemClass      ItemKind = "classes"
	ItemCustomer   ItemKind = "customers"
	ItemUpstream   ItemKind = "upstreams"
	ItemRegion     ItemKind = "regions"
	ItemRule       ItemKind = "rules"
	ItemAdminToken ItemKind = "admin_tokens"
	ItemRouting    ItemKind = "routing" // a single item with an empty identifier
)

// NotFoundError names an item that a Document does not have.
type NotFoundError struct {
	Kind ItemKind
	ID   string
}

func (e *NotFoundError) Error() string { return fmt.Sprintf("%s: %q does not exist", e.Kind, e.ID) }

func tierID(t *Tier) string          { return string(t.ID) }
func levelID(l *ServiceLevel) string { return l.Name }
func modelID(m *Model) string        { return string(m.ID) }
func classID(c *Class) string        { return string(c.ID) }
func customerID(c *Customer) string  { return string(c.ID) }
func upstreamID(u *Upstream) string  { return string(u.ID) }
func regionID(r *Region) string      { return string(r.ID) }
func ruleID(r *Rule) string          { return r.Name }

// identity returns the kind and identifier of an item.
func identity(item located) (ItemKind, string) {
	switch x := item.(type) {
	case *Tier:
		return ItemTier, tierID(x)
	case *ServiceLevel:
		return ItemLevel, levelID(x)
	case *Model:
		return ItemModel, modelID(x)
	case *Class:
		return ItemClass, classID(x)
	case *Customer:
		return ItemCustomer, customerID(x)
	case *Upstream:
		return ItemUpstream, upstreamID(x)
	case *Region:
		return ItemRegion, regionID(x)
	case *Rule:
		return ItemRule, ruleID(x)
	case *AdminToken:
		return ItemAdminToken, adminTokenID(x)
	}
	return ItemRouting, ""
}

// Encode writes the document as canonical TOML, which decodes to an equal
// document.
func (d *Document) Encode() []byte {
	sorted := d.Clone()
	sorted.sort()
	return tomlstrict.Encode(sorted)
}

// Equal reports whether two documents have the same content, wherever they
// were read from.
func (d *Document) Equal(other *Document) bool {
	return bytes.Equal(d.Encode(), other.Encode())
}

// find returns the index of an item, or -1.
func find[T any](items []T, id func(*T) string, want string) int {
	for i := range items {
		if id(&items[i]) == want {
			return i
		}
	}
	return -1
}

// edit returns a document in which change has been applied to a copy of one
// item.
func edit[T any](d *Document, kind ItemKind, list func(*Document) *[]T, id func(*T) string, want string, change func(*T)) (*Document, error) {
	next := d.Clone()
	items := *list(next)
	i := find(items, id, want)
	if i < 0 {
		return nil, &NotFoundError{kind, want}
	}
	change(&items[i])
	return next, nil
}

// put returns a document in which items are added or replace the items of the
// same identifier.
func put[T any](d *Document, list func(*Document) *[]T, id func(*T) string, items ...T) *Document {
	next := d.Clone()
	putAll(list(next), id, items)
	next.sort()
	return next
}

func putAll[T any](list *[]T, id func(*T) string, items []T) {
	at := positions(*list, id)
	for i := range items {
		if j, ok := at[id(&items[i])]; ok {
			(*list)[j] = items[i]
			continue
		}
		at[id(&items[i])] = len(*list)
		*list = append(*list, items[i])
	}
}

func remove[T any](d *Document, kind ItemKind, list func(*Document) *[]T, id func(*T) string, want string) (*Document, error) {
	next := d.Clone()
	items := list(next)
	i := find(*items, id, want)
	if i < 0 {
		return nil, &NotFoundError{kind, want}
	}
	*items = append((*items)[:i], (*items)[i+1:]...)
	return next, nil
}

func tiersOf(d *Document) *[]Tier          { return &d.Tiers }
func levelsOf(d *Document) *[]ServiceLevel { return &d.Levels }
func modelsOf(d *Document) *[]Model        { return &d.Models }
func classesOf(d *Document) *[]Class       { return &d.Classes }
func customersOf(d *Document) *[]Customer  { return &d.Customers }
func upstreamsOf(d *Document) *[]Upstream  { return &d.Upstreams }
func regionsOf(d *Document) *[]Region      { return &d.Regions }
func rulesOf(d *Document) *[]Rule          { return &d.Rules }

// PutTier returns a document in which the tier is added or replaced.
func (d *Document) PutTier(t Tier) *Document { return put(d, tiersOf, tierID, t) }

// PutLevel returns a document in which the service level is added or replaced.
func (d *Document) PutLevel(l ServiceLevel) *Document { return put(d, levelsOf, levelID, l) }

// PutModel returns a document in which the model is added or replaced.
func (d *Document) PutModel(m Model) *Document { return put(d, modelsOf, modelID, m) }

// PutClass returns a document in which the class is added or replaced.
func (d *Document) PutClass(c Class) *Document { return put(d, classesOf, classID, c) }

// PutCustomer returns a document in which the customer is added or replaced.
func (d *Document) PutCustomer(c Customer) *Document { return put(d, customersOf, customerID, c) }

// PutUpstream returns a document in which the upstream is added or replaced.
func (d *Document) PutUpstream(u Upstream) *Document { return put(d, upstreamsOf, upstreamID, u) }

// PutRegion returns a document in which the region is added or replaced.
func (d *Document) PutRegion(r Region) *Document { return put(d, regionsOf, regionID, r) }

// PutRule returns a document in which the rule is added or replaced.
func (d *Document) PutRule(r Rule) *Document { return put(d, rulesOf, ruleID, r) }

// SetRouting returns a document with other routing prices.
func (d *Document) SetRouting(r Routing) *Document {
	next := d.Clone()
	next.Routing = r
	return next
}

// Apply returns a document in which the items of a TOML fragment are added or
// replace the items of the same identifier. The findings are those of reading
// the fragment; whether the result is consistent is left to Compile.
func (d *Document) Apply(file string, fragment []byte) (*Document, findings.List) {
	var list findings.List
	part := &Document{}
	part.Routing = d.Routing
	tomlstrict.Decode(file, fragment, part, &list)
	if list.HasErrors() {
		return nil, list
	}
	next := d.SetRouting(part.Routing)
	putAll(&next.Tiers, tierID, part.Tiers)
	putAll(&next.Levels, levelID, part.Levels)
	putAll(&next.Models, modelID, part.Models)
	putAll(&next.Classes, classID, part.Classes)
	putAll(&next.Customers, customerID, part.Customers)
	putAll(&next.Upstreams, upstreamID, part.Upstreams)
	putAll(&next.Regions, regionID, part.Regions)
	putAll(&next.Rules, ruleID, part.Rules)
	putAll(&next.AdminTokens, adminTokenID, part.AdminTokens)
	next.sort()
	return next, list
}

// Remove returns a document without an item. It fails with *NotFoundError.
// References to the item are left to Compile.
func (d *Document) Remove(kind ItemKind, id string) (*Document, error) {
	switch kind {
	case ItemTier:
		return remove(d, kind, tiersOf, tierID, id)
	case ItemLevel:
		return remove(d, kind, levelsOf, levelID, id)
	case ItemModel:
		return remove(d, kind, modelsOf, modelID, id)
	case ItemClass:
		return remove(d, kind, classesOf, classID, id)
	case ItemCustomer:
		return remove(d, kind, customersOf, customerID, id)
	case ItemUpstream:
		return remove(d, kind, upstreamsOf, upstreamID, id)
	case ItemRegion:
		return remove(d, kind, regionsOf, regionID, id)
	case ItemRule:
		return remove(d, kind, rulesOf, ruleID, id)
	case ItemAdminToken:
		return remove(d, kind, adminTokensOf, adminTokenID, id)
	}
	return nil, &NotFoundError{kind, id}
}

// SetDraining returns a document in which an upstream drains or serves again.
// It fails with *NotFoundError.
func (d *Document) SetDraining(id domain.UpstreamID, draining bool) (*Document, error) {
	return edit(d, ItemUpstream, upstreamsOf, upstreamID, string(id), func(u *Upstream) { u.Draining = draining })
}

// SetAddress returns a document in which an upstream has another IP:port. It
// fails with *NotFoundError.
func (d *Document) SetAddress(id domain.UpstreamID, address string) (*Document, error) {
	return edit(d, ItemUpstream, upstreamsOf, upstreamID, string(id), func(u *Upstream) { u.Address = address })
}

// SetSlots returns a document in which an upstream runs another number of
// requests at once. It fails with *NotFoundError.
func (d *Document) SetSlots(id domain.UpstreamID, slots int) (*Document, error) {
	return edit(d, ItemUpstream, upstreamsOf, upstreamID, string(id), func(u *Upstream) { u.Slots = slots })
}

// SetCustomerLimits returns a document in which a customer has other limits. It
// fails with *NotFoundError.
func (d *Document) SetCustomerLimits(id domain.CustomerID, limits Limits) (*Document, error) {
	return edit(d, ItemCustomer, customersOf, customerID, string(id), func(c *Customer) { c.Limits = limits })
}

// SetWeight returns a document in which a customer has another relative share.
// It fails with *NotFoundError.
func (d *Document) SetWeight(id domain.CustomerID, weight float64) (*Document, error) {
	return edit(d, ItemCustomer, customersOf, customerID, string(id), func(c *Customer) { c.Weight = weight })
}

// SetAPIKeys returns a document in which a customer has other API keys. It
// fails with *NotFoundError.
func (d *Document) SetAPIKeys(id domain.CustomerID, keys ...KeyHash) (*Document, error) {
	return edit(d, ItemCustomer, customersOf, customerID, string(id), func(c *Customer) { c.APIKeys = keys })
}

// SetLabel returns a document in which a customer, class or upstream has a
// label. It fails with *NotFoundError, also for kinds that have no labels.
func (d *Document) SetLabel(kind ItemKind, id, key, value string) (*Document, error) {
	return d.editLabels(kind, id, func(labels map[string]string) { labels[key] = value })
}

// RemoveLabel returns a document in which a customer, class or upstream does
// not have a label. It fails like SetLabel.
func (d *Document) RemoveLabel(kind ItemKind, id, key string) (*Document, error) {
	return d.editLabels(kind, id, func(labels map[string]string) { delete(labels, key) })
}

func (d *Document) editLabels(kind ItemKind, id string, change func(map[string]string)) (*Document, error) {
	changed := func(labels *map[string]string) {
		*labels = copyLabels(*labels)
		change(*labels)
	}
	switch kind {
	case ItemCustomer:
		return edit(d, kind, customersOf, customerID, id, func(c *Customer) { changed(&c.Labels) })
	case ItemClass:
		return edit(d, kind, classesOf, classID, id, func(c *Class) { changed(&c.Labels) })
	case ItemUpstream:
		return edit(d, kind, upstreamsOf, upstreamID, id, func(u *Upstream) { changed(&u.Labels) })
	}
	return nil, &NotFoundError{kind, id}
}

func copyLabels(labels map[string]string) map[string]string {
	next := make(map[string]string, len(labels)+1)
	for k, v := range labels {
		next[k] = v
	}
	return next
}
