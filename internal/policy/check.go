package policy

import (
	"fmt"
	"net/netip"
	"slices"
	"sort"
	"strings"

	"k8s.io/apimachinery/pkg/util/validation"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/findings"
)

// Implicit labels let selectors name an item or its place without repeating
// these facts as labels.
const (
	labelID      = "id"
	labelTeam    = "team"
	labelRegion  = "region"
	labelZone    = "zone"
	labelKind    = "kind"
	labelService = "service"
)

var (
	customerImplicit = []string{labelID, labelTeam}
	classImplicit    = []string{labelID, labelTeam}
	upstreamImplicit = []string{labelID, labelRegion, labelZone, labelKind, labelService}
)

const allowedValue = "at most 63 letters, digits, '-', '_' and '.', starting and ending with a letter or digit"

// shareTolerance absorbs the rounding of percentages when they are summed.
const shareTolerance = 1e-9

// located is an item with a place in a file.
type located interface {
	At(field string) (file string, line, column int)
	// Absent reports that the file does not set a field. For required fields
	// the decoder has reported that already.
	Absent(field string) bool
	// Rejected reports that a finding about a field, or about any field for
	// an empty name, exists already.
	Rejected(field string) bool
}

// known holds the items of one kind by identifier.
type known struct {
	items map[string]located
	// incomplete is set when an item lost its identifier to another finding,
	// so that a name that seems to be missing may exist.
	incomplete bool
}

// checker validates a document's items and references.
type checker struct {
	doc  *Document
	list *findings.List

	tiers   known
	levels  known
	models  known
	classes known
	regions known
	// zones maps a zone to its region.
	zones map[domain.AvailabilityZone]domain.Region
	// adapters holds "model/adapter" of each model.
	adapters map[string]bool
}

func (c *checker) errorf(at located, field, allowed, format string, args ...any) {
	file, line, column := locate(at, field)
	c.list.Errorf(file, line, column, allowed, format, args...)
}

// locate returns the place of a field. Items that were not read from a file,
// such as those of an edit, are named by kind, identifier and field instead.
func locate(at located, field string) (file string, line, column int) {
	file, line, column = at.At(field)
	if file != "" {
		return file, line, column
	}
	kind, id := identity(at)
	return fmt.Sprintf("%s/%s/%s", kind, id, field), 0, 0
}

// unset reports that a required field has no value and that a finding says so.
func unset(at located, field string) bool {
	return at.Absent(field) || at.Rejected(field)
}

// check reports what is wrong inside a document, apart from what the rules
// give together.
func check(d *Document, list *findings.List) {
	c := &checker{doc: d, list: list}
	c.tiers = indexItems(c, ItemTier, "tier", d.Tiers, tierID)
	c.levels = indexItems(c, ItemLevel, "service level", d.Levels, levelID)
	c.models = indexItems(c, ItemModel, "model", d.Models, modelID)
	c.classes = indexItems(c, ItemClass, "class", d.Classes, classID)
	c.regions = indexItems(c, ItemRegion, "region", d.Regions, regionID)
	indexItems(c, ItemCustomer, "customer", d.Customers, customerID)
	indexItems(c, ItemUpstream, "upstream", d.Upstreams, upstreamID)
	indexItems(c, ItemRule, "rule", d.Rules, ruleID)
	indexItems(c, ItemAdminToken, "admin token", d.AdminTokens, adminTokenID)
	c.checkTiers()
	c.checkLevels()
	c.checkModels()
	c.checkClasses()
	c.checkRegions()
	c.checkCustomers()
	c.checkUpstreams()
	c.checkRules()
	c.checkAdminTokens()
}

// indexItems reports bad and duplicate identifiers and returns the items by
// identifier.
func indexItems[T any, P interface {
	*T
	located
}](c *checker, list ItemKind, kind string, items []T, id func(*T) string,
) known {
	byID := known{items: make(map[string]located, len(items)), incomplete: c.doc.lost[list]}
	for i := range items {
		item := P(&items[i])
		name := id(&items[i])
		if name == "" && unset(item, "id") {
			byID.incomplete = true
			continue
		}
		if name == "" || len(validation.IsValidLabelValue(name)) > 0 {
			c.errorf(item, "id", allowedValue, "%s has an invalid id %q", kind, name)
		}
		if first, ok := byID.items[name]; ok {
			c.errorf(item, "id", "", "duplicate %s %q; %s", kind, name, firstAt(first))
			continue
		}
		byID.items[name] = item
	}
	return byID
}

func firstAt(first located) string {
	file, line, _ := locate(first, "id")
	if line == 0 {
		return "first at " + file
	}
	return fmt.Sprintf("first at %s:%d", file, line)
}

// reference reports a name that does not exist.
func (c *checker) reference(at located, field, kind, name string, k known) bool {
	if _, ok := k.items[name]; ok {
		return true
	}
	if k.incomplete {
		return false
	}
	c.errorf(at, field, names(k.items), "%s %q does not exist", kind, name)
	return false
}

// names lists identifiers for a finding's allowed values.
func names(items map[string]located) string {
	const most = 12
	list := make([]string, 0, len(items))
	for name := range items {
		list = append(list, name)
	}
	sort.Strings(list)
	if len(list) > most {
		return fmt.Sprintf("%s and %d more", strings.Join(list[:most], ", "), len(list)-most)
	}
	return strings.Join(list, ", ")
}

func (c *checker) labels(at located, labels map[string]string, implicit []string) {
	for _, key := range sortedKeys(labels) {
		field := "labels." + key
		if slices.Contains(implicit, key) {
			c.errorf(at, field, "", "label %q is reserved: it is set from the item itself", key)
		}
		if len(validation.IsQualifiedName(key)) > 0 {
			c.errorf(at, field, "label key of Kubernetes syntax, such as size or example.org/size", "invalid label key %q", key)
		}
		if len(validation.IsValidLabelValue(labels[key])) > 0 {
			c.errorf(at, field, allowedValue, "label %s has an invalid value %q", key, labels[key])
		}
	}
}

// value checks a field that selectors can use as an implicit label.
func (c *checker) value(at located, field, value string) {
	if len(validation.IsValidLabelValue(value)) > 0 {
		c.errorf(at, field, allowedValue, "invalid %s %q", field, value)
	}
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func (c *checker) checkTiers() {
	ranks := map[int]*Tier{}
	sum := 0.0
	for i := range c.doc.Tiers {
		t := &c.doc.Tiers[i]
		if unset(t, "rank") {
			continue
		}
		if first, ok := ranks[t.Rank]; ok {
			c.errorf(t, "rank", "", "tiers %q and %q have the same rank %d", first.ID, t.ID, t.Rank)
		}
		ranks[t.Rank] = t
		before := sum
		sum += t.MinShare
		if before <= 1+shareTolerance && sum > 1+shareTolerance {
			c.errorf(t, "min_share", "a sum of at most 100%", "minimum shares add up to over 100%% with tier %q", t.ID)
		}
	}
}

func (c *checker) checkLevels() {
	for i := range c.doc.Levels {
		l := &c.doc.Levels[i]
		if l.Attainment <= 0 && !l.Rejected("attainment") {
			c.errorf(l, "attainment", `over "0%"`, "attainment of service level %q is zero", l.Name)
		}
	}
}

func (c *checker) checkModels() {
	c.adapters = map[string]bool{}
	for i := range c.doc.Models {
		m := &c.doc.Models[i]
		for j, a := range m.Adapters {
			key := string(m.ID) + "/" + a
			if c.adapters[key] {
				c.errorf(m, element("adapters", j), "", "duplicate adapter %q of model %q", a, m.ID)
			}
			c.adapters[key] = true
		}
	}
}

func element(field string, i int) string { return fmt.Sprintf("%s.%d", field, i) }

func (c *checker) checkClasses() {
	for i := range c.doc.Classes {
		x := &c.doc.Classes[i]
		c.labels(x, x.Labels, classImplicit)
		c.value(x, "team", x.Team)
		if x.ClaimOutage != ClaimOutageRefuse && x.ClaimOutage != ClaimOutageWait {
			c.errorf(x, "claim_outage", "refuse, wait", "unknown claim_outage %q", x.ClaimOutage)
		}
		if x.Hedge && !x.Repeatable {
			c.errorf(x, "hedge", "hedge = false for calls that must not be repeated", "class %q hedges calls that must not be repeated", x.ID)
		}
	}
}

func (c *checker) checkRegions() {
	c.zones = map[domain.AvailabilityZone]domain.Region{}
	for i := range c.doc.Regions {
		r := &c.doc.Regions[i]
		for j, z := range r.Zones {
			if other, ok := c.zones[z]; ok {
				c.errorf(r, element("zones", j), "", "zone %q is already listed in region %q", z, other)
				continue
			}
			c.value(r, element("zones", j), string(z))
			c.zones[z] = r.ID
		}
		for _, other := range sortedKeys(r.RTT) {
			c.reference(r, "rtt."+string(other), "region", string(other), c.regions)
		}
		c.checkRTT(r)
		for _, other := range sortedKeys(r.PricePerGB) {
			c.reference(r, "price_per_gb."+string(other), "region", string(other), c.regions)
		}
	}
}

// checkRTT requires round-trip times to all other regions: a missing one would
// make the remote region look closest.
func (c *checker) checkRTT(r *Region) {
	if r.Rejected("rtt") || r.Rejected("") {
		return
	}
	for i := range c.doc.Regions {
		other := c.doc.Regions[i].ID
		if other != "" && other != r.ID && r.RTT[other] == 0 {
			c.errorf(r, "rtt", "a positive duration for each other region", "region %q has no rtt to region %q", r.ID, other)
		}
	}
}

func (c *checker) checkCustomers() {
	keys := map[KeyHash]*Customer{}
	for i := range c.doc.Customers {
		x := &c.doc.Customers[i]
		c.labels(x, x.Labels, customerImplicit)
		c.value(x, "team", x.Team)
		if x.DefaultClass != "" {
			c.reference(x, "default_class", "class", string(x.DefaultClass), c.classes)
		}
		if x.Weight <= 0 && !x.Rejected("weight") {
			c.errorf(x, "weight", "over 0", "weight of customer %q is not positive", x.ID)
		}
		for j, k := range x.APIKeys {
			if first, ok := keys[k]; ok {
				c.errorf(x, element("api_key_sha256", j), "", "duplicate API key; customer %q has it already", first.ID)
				continue
			}
			keys[k] = x
		}
	}
}

func (c *checker) checkUpstreams() {
	addresses := map[string]*Upstream{}
	for i := range c.doc.Upstreams {
		u := &c.doc.Upstreams[i]
		c.labels(u, u.Labels, upstreamImplicit)
		c.value(u, "service", u.Service)
		c.checkAddress(u, addresses)
		c.checkPlace(u)
		c.checkKind(u)
		if u.Role != domain.RoleBoth && u.Role != domain.RolePrefill && u.Role != domain.RoleDecode {
			c.errorf(u, "role", "both, prefill, decode", "unknown role %q", u.Role)
		}
		if u.Slots == 0 && !unset(u, "slots") {
			c.errorf(u, "slots", "1 or more", "upstream %q has no slots", u.ID)
		}
		for j, m := range u.Models {
			c.reference(u, element("models", j), "model", string(m), c.models)
		}
		c.checkAdapters(u)
	}
}

func (c *checker) checkAddress(u *Upstream, seen map[string]*Upstream) {
	if u.Address == "" && unset(u, "address") {
		return
	}
	at, err := netip.ParseAddrPort(u.Address)
	if err != nil || at.Port() == 0 {
		c.errorf(u, "address", `IP address and port such as "10.1.2.3:8000"`, "invalid address %q", u.Address)
		return
	}
	if first, ok := seen[at.String()]; ok {
		c.errorf(u, "address", "", "duplicate address %s; upstream %q has it already", u.Address, first.ID)
		return
	}
	seen[at.String()] = u
}

func (c *checker) checkPlace(u *Upstream) {
	if u.Region == "" && unset(u, "region") {
		return
	}
	if !c.reference(u, "region", "region", string(u.Region), c.regions) {
		return
	}
	if u.Zone == "" && unset(u, "zone") {
		return
	}
	if c.zones[u.Zone] == u.Region {
		return
	}
	region := c.regions.items[string(u.Region)].(*Region)
	if region.Rejected("") {
		return
	}
	allowed := make([]string, len(region.Zones))
	for i, z := range region.Zones {
		allowed[i] = string(z)
	}
	c.errorf(u, "zone", strings.Join(allowed, ", "), "zone %q is not in region %q", u.Zone, u.Region)
}

func (c *checker) checkKind(u *Upstream) {
	switch u.Kind {
	case domain.KindEngine:
		if len(u.Models) == 0 && !u.Rejected("models") {
			c.errorf(u, "models", names(c.models.items), "engine %q has no models", u.ID)
		}
		if u.Service != "" {
			c.errorf(u, "service", `kind = "service"`, "engine %q names a service", u.ID)
		}
	case domain.KindService:
		if u.Service == "" && !u.Rejected("service") {
			c.errorf(u, "service", "name used in /services/<name>/", "upstream %q of kind service names no service", u.ID)
		}
		if len(u.Models) > 0 {
			c.errorf(u, "models", `kind = "engine"`, "service %q has models", u.ID)
		}
	case "":
		if unset(u, "kind") {
			return
		}
		fallthrough
	default:
		c.errorf(u, "kind", "engine, service", "unknown kind %q", u.Kind)
	}
}

func (c *checker) checkAdapters(u *Upstream) {
	for j, a := range u.Adapters {
		known := false
		for _, m := range u.Models {
			known = known || c.adapters[string(m)+"/"+a]
		}
		if !known {
			c.errorf(u, element("adapters", j), "adapters of the upstream's models", "adapter %q belongs to none of the models of upstream %q", a, u.ID)
		}
	}
}

func (c *checker) checkRules() {
	for i := range c.doc.Rules {
		r := &c.doc.Rules[i]
		if r.Tier != "" || !unset(r, "tier") {
			c.reference(r, "tier", "tier", string(r.Tier), c.tiers)
		}
		if r.Level != "" || !unset(r, "service_level") {
			c.reference(r, "service_level", "service level", r.Level, c.levels)
		}
	}
}
