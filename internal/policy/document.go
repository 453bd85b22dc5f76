package policy

import (
	"cmp"
	"slices"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/findings"
	"github.com/auburndyke/auburndyke/internal/tomlstrict"
)

const (
	defaultWeight        = 1
	defaultBytesPerToken = 256
	defaultAttainment    = 0.95
)

// Document is the content of a configuration as operators write it. Its lists
// are in canonical order: tiers by rank, everything else by identifier.
//
// A Document is treated as immutable: edits work on a Clone and replace maps
// and slices instead of changing them, so clones may share them.
type Document struct {
	Tiers     []Tier         `toml:"tiers"`
	Levels    []ServiceLevel `toml:"service_levels"`
	Models    []Model        `toml:"models"`
	Classes   []Class        `toml:"classes"`
	Customers []Customer     `toml:"customers"`
	Upstreams []Upstream     `toml:"upstreams"`
	Regions   []Region       `toml:"regions"`
	Rules     []Rule         `toml:"rules"`
	// AdminTokens are the tokens of the administration API.
	AdminTokens []AdminToken `toml:"admin_tokens"`
	Routing     Routing      `toml:"routing"`

	// lost names the lists that miss items because a table header could not
	// be read. Checks that need the complete list are left out.
	lost map[ItemKind]bool
}

// Source is one configuration file.
type Source struct {
	Name string
	Data []byte
}

// SetDefaults gives the routing section its default values.
func (d *Document) SetDefaults() { d.Routing.SetDefaults() }

// SetDefaults gives absent keys their default values.
func (r *Routing) SetDefaults() { r.BytesPerToken = defaultBytesPerToken }

// SetDefaults gives absent keys their default values.
func (l *ServiceLevel) SetDefaults() { l.Attainment = defaultAttainment }

// SetDefaults gives absent keys their default values.
func (c *Class) SetDefaults() {
	c.Repeatable = true
	c.ClaimOutage = ClaimOutageRefuse
}

// SetDefaults gives absent keys their default values.
func (c *Customer) SetDefaults() { c.Weight = defaultWeight }

// SetDefaults gives absent keys their default values.
func (u *Upstream) SetDefaults() { u.Role = domain.RoleBoth }

// Decode reads a configuration that consists of one file.
func Decode(file string, data []byte) (*Document, findings.List) {
	return DecodeFiles(Source{file, data})
}

// DecodeFiles reads a configuration that consists of several files. It reports
// all findings of all files, including those of Compile. The document is usable
// only when the findings hold no error.
func DecodeFiles(sources ...Source) (*Document, findings.List) {
	d, _, list := Load(0, sources...)
	return d, list
}

// Load decodes files and compiles them. The policy is nil when the findings
// hold an error.
func Load(revision domain.Revision, sources ...Source) (*Document, *Policy, findings.List) {
	var list findings.List
	d := &Document{}
	d.SetDefaults()
	d.lost = map[ItemKind]bool{}
	var routing *tomlstrict.Place
	for _, s := range sources {
		for _, name := range tomlstrict.Decode(s.Name, s.Data, d, &list) {
			d.lost[ItemKind(name)] = true
		}
		if routing != nil && d.Routing.Place != routing {
			file, line, column := locate(&d.Routing, "")
			list.Errorf(file, line, column, "", "routing is already set at %s:%d", routing.File, routing.Line)
		}
		routing = d.Routing.Place
	}
	d.sort()
	p, compiled := Compile(d, revision)
	list = append(list, compiled...)
	list.Sort()
	if list.HasErrors() {
		p = nil
	}
	return d, p, list
}

// sort brings the lists into canonical order.
func (d *Document) sort() {
	slices.SortStableFunc(d.Tiers, func(a, b Tier) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.ID, b.ID))
	})
	sortBy(d.Levels, levelID)
	sortBy(d.Models, modelID)
	sortBy(d.Classes, classID)
	sortBy(d.Customers, customerID)
	sortBy(d.Upstreams, upstreamID)
	sortBy(d.Regions, regionID)
	sortBy(d.Rules, ruleID)
	sortBy(d.AdminTokens, adminTokenID)
}

func sortBy[T any](items []T, id func(*T) string) {
	slices.SortStableFunc(items, func(a, b T) int { return cmp.Compare(id(&a), id(&b)) })
}

// Clone returns a copy whose lists can be changed without changing d. Maps and
// inner slices are shared.
func (d *Document) Clone() *Document {
	return &Document{
		Tiers:       slices.Clone(d.Tiers),
		Levels:      slices.Clone(d.Levels),
		Models:      slices.Clone(d.Models),
		Classes:     slices.Clone(d.Classes),
		Customers:   slices.Clone(d.Customers),
		Upstreams:   slices.Clone(d.Upstreams),
		Regions:     slices.Clone(d.Regions),
		Rules:       slices.Clone(d.Rules),
		AdminTokens: slices.Clone(d.AdminTokens),
		Routing:     d.Routing,
		lost:        d.lost,
	}
}
