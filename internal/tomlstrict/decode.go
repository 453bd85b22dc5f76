package tomlstrict

import (
	"encoding"
	"fmt"
	"math"
	"reflect"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/auburndyke/auburndyke/internal/findings"
)

// Place is where a table was written. Embed a *Place in a struct to have it
// filled. A nil Place belongs to a value that was not read from a file.
type Place struct {
	File         string
	Line, Column int
	// fields holds the places of the values, by key path such as "labels.team"
	// or "models.1".
	fields map[string]fieldPlace
	broken bool
}

type fieldPlace struct {
	line, column int
	rejected     bool
	table        bool
}

// At returns the place of a field's value, or of the table when the field was
// not written.
func (p *Place) At(field string) (file string, line, column int) {
	if p == nil {
		return "", 0, 0
	}
	if at, ok := p.fields[field]; ok {
		return p.File, at.line, at.column
	}
	return p.File, p.Line, p.Column
}

// Rejected reports that a finding exists about the value of a field or, for an
// empty field name, that any part of the table could not be read. Checks of
// rejected values would report consequences of that finding.
func (p *Place) Rejected(field string) bool {
	if p == nil {
		return false
	}
	if field != "" {
		return p.fields[field].rejected
	}
	if p.broken {
		return true
	}
	for _, f := range p.fields {
		if f.rejected {
			return true
		}
	}
	return false
}

// Leaves lists the paths of all values that are not tables, in order.
func (p *Place) Leaves() []string {
	if p == nil {
		return nil
	}
	var paths []string
	for path, f := range p.fields {
		if !f.table {
			paths = append(paths, path)
		}
	}
	sort.Strings(paths)
	return paths
}

// Absent reports that the value was read from a file that does not set a
// field.
func (p *Place) Absent(field string) bool {
	if p == nil {
		return false
	}
	_, ok := p.fields[field]
	return !ok
}

// Defaulter is implemented by structs whose absent keys have default values.
type Defaulter interface {
	SetDefaults()
}

var (
	placeType    = reflect.TypeFor[*Place]()
	durationType = reflect.TypeFor[time.Duration]()
)

// Decode reads a file into the struct that into points to. Values that are
// already there stay unless the file sets them; slices of tables grow, so that
// several files can be read into one struct. It returns the names of tables
// that are missing from the result because their headers could not be read.
func Decode(file string, data []byte, into any, list *findings.List) (lost []string) {
	root, lost := parse(file, data, list)
	d := &decoder{file: file, list: list}
	d.table(root, reflect.ValueOf(into).Elem(), "the file", nil, "")
	return lost
}

type decoder struct {
	file string
	list *findings.List
}

func (d *decoder) errorf(n *node, allowed, format string, args ...any) {
	d.list.Errorf(d.file, n.line, n.column, allowed, format, args...)
}

type field struct {
	name    string
	options string
	index   int
}

func (f field) has(option string) bool {
	return strings.Contains(f.options+",", ","+option+",")
}

// fieldCache holds the tagged fields of struct types.
var fieldCache sync.Map // reflect.Type -> []field

func fieldsOf(t reflect.Type) []field {
	if cached, ok := fieldCache.Load(t); ok {
		return cached.([]field)
	}
	var fields []field
	for i := range t.NumField() {
		name, options, _ := strings.Cut(t.Field(i).Tag.Get("toml"), ",")
		if name == "" || name == "-" {
			continue
		}
		fields = append(fields, field{name, "," + options, i})
	}
	fieldCache.Store(t, fields)
	return fields
}

// table fills a struct. what names the table in messages; place and prefix
// record positions when the table belongs to an outer one that has a Place.
func (d *decoder) table(n *node, v reflect.Value, what string, place *Place, prefix string) {
	if own := placeOf(v); own.IsValid() {
		place = &Place{File: d.file, Line: n.line, Column: n.column, fields: map[string]fieldPlace{}, broken: n.damaged}
		prefix = ""
		own.Set(reflect.ValueOf(place))
	}
	fields := fieldsOf(v.Type())
	known := map[string]field{}
	for _, f := range fields {
		known[f.name] = f
	}
	for _, name := range n.order {
		child := n.fields[name]
		f, ok := known[name]
		if !ok {
			d.list.Errorf(d.file, child.key.line, child.key.column, fieldNames(fields), "unknown key %q in %s", name, what)
			continue
		}
		d.value(child, v.Field(f.index), f, place, prefix+name)
	}
	for _, f := range fields {
		if f.has("required") && n.fields[f.name] == nil && !n.damaged {
			d.errorf(n, "", "key %q is missing in %s", f.name, what)
			if place != nil {
				place.broken = true
			}
		}
	}
}

func placeOf(v reflect.Value) reflect.Value {
	for i := range v.NumField() {
		if v.Type().Field(i).Type == placeType {
			return v.Field(i)
		}
	}
	return reflect.Value{}
}

func fieldNames(fields []field) string {
	names := make([]string, len(fields))
	for i, f := range fields {
		names[i] = f.name
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}

// value fills one value and records where it is and whether it was rejected.
func (d *decoder) value(n *node, v reflect.Value, f field, place *Place, path string) {
	before := len(*d.list)
	d.fill(n, v, f, place, path)
	if place != nil {
		place.fields[path] = fieldPlace{n.line, n.column, len(*d.list) > before, n.kind == kindTable}
	}
}

func (d *decoder) fill(n *node, v reflect.Value, f field, place *Place, path string) {
	if text, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.text(n, text, path)
		return
	}
	switch {
	case v.Type() == durationType:
		d.duration(n, v, path)
	case f.has("share"):
		d.share(n, v, path)
	case f.has("size"):
		d.size(n, v, path)
	default:
		d.plain(n, v, f, place, path)
	}
}

func (d *decoder) plain(n *node, v reflect.Value, f field, place *Place, path string) {
	switch v.Kind() {
	case reflect.Struct:
		if d.want(n, path, "table", kindTable) {
			d.table(n, v, path, place, path+".")
		}
	case reflect.Map:
		if d.want(n, path, "table", kindTable) {
			d.mapping(n, v, f, place, path)
		}
	case reflect.Slice:
		if d.want(n, path, "array", kindArray) {
			d.slice(n, v, f, place, path)
		}
	case reflect.String:
		if d.want(n, path, "string", kindString) {
			v.SetString(n.text)
		}
	case reflect.Bool:
		if d.want(n, path, "true, false", kindBool) {
			v.SetBool(n.text == "true")
		}
	case reflect.Int, reflect.Int64:
		d.integer(n, v, f, path)
	case reflect.Float64:
		d.float(n, v, f, path)
	default:
		panic(fmt.Sprintf("tomlstrict: field %s has unsupported type %s", path, v.Type()))
	}
}

func (d *decoder) want(n *node, path, allowed string, kinds ...nodeKind) bool {
	for _, k := range kinds {
		if n.kind == k {
			return true
		}
	}
	d.errorf(n, allowed, "%s has wrong type: %s", path, kindNames[n.kind])
	return false
}

func (d *decoder) mapping(n *node, v reflect.Value, f field, place *Place, path string) {
	m := reflect.MakeMap(v.Type())
	for _, name := range n.order {
		value := reflect.New(v.Type().Elem()).Elem()
		d.value(n.fields[name], value, f, place, path+"."+name)
		m.SetMapIndex(reflect.ValueOf(name).Convert(v.Type().Key()), value)
	}
	if m.Len() > 0 {
		v.Set(m)
	}
}

func (d *decoder) slice(n *node, v reflect.Value, f field, place *Place, path string) {
	elem := v.Type().Elem()
	list := v
	if elem.Kind() != reflect.Struct {
		list = reflect.Zero(v.Type())
	}
	for i, item := range n.items {
		value := reflect.New(elem)
		if def, ok := value.Interface().(Defaulter); ok {
			def.SetDefaults()
		}
		itemPath := path
		if elem.Kind() != reflect.Struct {
			itemPath = path + "." + strconv.Itoa(i)
		}
		before := len(*d.list)
		d.value(item, value.Elem(), f, place, itemPath)
		if elem.Kind() != reflect.Struct && len(*d.list) > before {
			continue
		}
		list = reflect.Append(list, value.Elem())
	}
	v.Set(list)
}

func (d *decoder) integer(n *node, v reflect.Value, f field, path string) {
	if !d.want(n, path, "integer", kindInteger) {
		return
	}
	i, err := strconv.ParseInt(strings.ReplaceAll(n.text, "_", ""), 0, 64)
	if err != nil {
		d.errorf(n, "64-bit integer", "%s is out of range: %s", path, n.text)
		return
	}
	if i < 0 && !f.has("signed") {
		d.errorf(n, "0 or more", "%s is negative: %d", path, i)
		return
	}
	v.SetInt(i)
}

func (d *decoder) float(n *node, v reflect.Value, f field, path string) {
	if !d.want(n, path, "number", kindInteger, kindFloat) {
		return
	}
	x, err := strconv.ParseFloat(strings.ReplaceAll(n.text, "_", ""), 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		d.errorf(n, "finite number", "%s is not a finite decimal number: %s", path, n.text)
		return
	}
	if x < 0 && !f.has("signed") {
		d.errorf(n, "0 or more", "%s is negative: %s", path, n.text)
		return
	}
	v.SetFloat(x)
}

func (d *decoder) text(n *node, into encoding.TextUnmarshaler, path string) {
	if !d.want(n, path, "string", kindString) {
		return
	}
	if err := into.UnmarshalText([]byte(n.text)); err != nil {
		allowed := ""
		if a, ok := into.(interface{ Allowed() string }); ok {
			allowed = a.Allowed()
		}
		d.errorf(n, allowed, "%s: %s", path, err)
	}
}

func (d *decoder) duration(n *node, v reflect.Value, path string) {
	const allowed = `string with a unit of ns, us, ms, s, m or h, such as "770ms"`
	if !d.want(n, path, allowed, kindString) {
		return
	}
	x, err := time.ParseDuration(n.text)
	if err != nil || x < 0 {
		d.errorf(n, allowed, "%s is not a duration: %q", path, n.text)
		return
	}
	v.SetInt(int64(x))
}

func (d *decoder) share(n *node, v reflect.Value, path string) {
	const allowed = `string from "0%" to "100%" with at most 4 decimals`
	if !d.want(n, path, allowed, kindString) {
		return
	}
	x, err := ParseShare(n.text)
	if err != nil {
		d.errorf(n, allowed, "%s is not a share: %q", path, n.text)
		return
	}
	v.SetFloat(x)
}

func (d *decoder) size(n *node, v reflect.Value, path string) {
	const allowed = `string with a unit of B, kB, MB, GB, TB, KiB, MiB, GiB or TiB, such as "14GiB"`
	if !d.want(n, path, allowed, kindString) {
		return
	}
	x, err := ParseSize(n.text)
	if err != nil {
		d.errorf(n, allowed, "%s is not a size: %q", path, n.text)
		return
	}
	v.SetInt(x)
}
