package tomlstrict

import (
	"encoding"
	"fmt"
	"reflect"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Encode writes a struct as canonical TOML: keys in the order of the struct's
// fields, map keys sorted, defaults left out. Decode of the result gives an
// equal struct, apart from places.
func Encode(from any) []byte {
	v := reflect.ValueOf(from).Elem()
	var scalars, tables strings.Builder
	for _, f := range fieldsOf(v.Type()) {
		value := v.Field(f.index)
		switch {
		case isTableList(value):
			for i := range value.Len() {
				fmt.Fprintf(&tables, "\n[[%s]]\n", f.name)
				writeTable(&tables, value.Index(i))
			}
		case isTable(value):
			var body strings.Builder
			writeTable(&body, value)
			if body.Len() > 0 {
				fmt.Fprintf(&tables, "\n[%s]\n%s", f.name, body.String())
			}
		default:
			if f.has("required") || !isDefault(v, f) {
				fmt.Fprintf(&scalars, "%s = %s\n", f.name, Format(value.Interface(), f.options))
			}
		}
	}
	return []byte(strings.TrimPrefix(scalars.String()+tables.String(), "\n"))
}

func isText(v reflect.Value) bool {
	_, ok := v.Interface().(encoding.TextMarshaler)
	return ok
}

func isTable(v reflect.Value) bool { return v.Kind() == reflect.Struct && !isText(v) }

func isTableList(v reflect.Value) bool {
	return v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Struct
}

// defaultTexts caches the formatted default values of struct types.
var defaultTexts sync.Map // reflect.Type -> map[string]string by field name

func defaultsOf(t reflect.Type) map[string]string {
	if cached, ok := defaultTexts.Load(t); ok {
		return cached.(map[string]string)
	}
	fresh := reflect.New(t)
	if def, ok := fresh.Interface().(Defaulter); ok {
		def.SetDefaults()
	}
	texts := map[string]string{}
	for _, f := range fieldsOf(t) {
		texts[f.name] = Format(fresh.Elem().Field(f.index).Interface(), f.options)
	}
	defaultTexts.Store(t, texts)
	return texts
}

// isDefault reports that a struct's field has the value that an absent key
// gives.
func isDefault(v reflect.Value, f field) bool {
	return Format(v.Field(f.index).Interface(), f.options) == defaultsOf(v.Type())[f.name]
}

func writeTable(b *strings.Builder, v reflect.Value) {
	for _, f := range fieldsOf(v.Type()) {
		if f.has("required") || !isDefault(v, f) {
			fmt.Fprintf(b, "%s = %s\n", f.name, Format(v.Field(f.index).Interface(), f.options))
		}
	}
}

// Format writes one value as TOML on one line. Options are those of the
// field's tag.
func Format(value any, options string) string {
	f := field{options: options}
	switch x := value.(type) {
	case encoding.TextMarshaler:
		text, err := x.MarshalText()
		if err != nil {
			panic(fmt.Sprintf("tomlstrict: %v", err))
		}
		return quote(string(text))
	case time.Duration:
		return quote(x.String())
	}
	v := reflect.ValueOf(value)
	switch v.Kind() {
	case reflect.String:
		return quote(v.String())
	case reflect.Bool:
		return strconv.FormatBool(v.Bool())
	case reflect.Int, reflect.Int64:
		if f.has("size") {
			return quote(FormatSize(v.Int()))
		}
		return strconv.FormatInt(v.Int(), 10)
	case reflect.Float64:
		if f.has("share") {
			return quote(FormatShare(v.Float()))
		}
		return strconv.FormatFloat(v.Float(), 'g', -1, 64)
	case reflect.Slice:
		return formatList(v, options)
	case reflect.Map:
		return formatMap(v, options)
	case reflect.Struct:
		return formatStruct(v)
	}
	panic(fmt.Sprintf("tomlstrict: unsupported type %s", v.Type()))
}

func formatList(v reflect.Value, options string) string {
	parts := make([]string, v.Len())
	for i := range parts {
		parts[i] = Format(v.Index(i).Interface(), options)
	}
	return "[" + strings.Join(parts, ", ") + "]"
}

func formatMap(v reflect.Value, options string) string {
	parts := make([]string, 0, v.Len())
	for it := v.MapRange(); it.Next(); {
		parts = append(parts, key(it.Key().String())+" = "+Format(it.Value().Interface(), options))
	}
	sort.Strings(parts)
	return inlineTable(parts)
}

func formatStruct(v reflect.Value) string {
	var parts []string
	for _, f := range fieldsOf(v.Type()) {
		if !isDefault(v, f) {
			parts = append(parts, f.name+" = "+Format(v.Field(f.index).Interface(), f.options))
		}
	}
	return inlineTable(parts)
}

func inlineTable(parts []string) string {
	if len(parts) == 0 {
		return "{}"
	}
	return "{ " + strings.Join(parts, ", ") + " }"
}

// key writes a key bare when TOML permits that.
func key(name string) string {
	for i := range len(name) {
		c := name[i]
		if !(c >= 'A' && c <= 'Z' || c >= 'a' && c <= 'z' || c >= '0' && c <= '9' || c == '-' || c == '_') {
			return quote(name)
		}
	}
	if name == "" {
		return `""`
	}
	return name
}

// quote writes a basic string. strconv.Quote is no substitute: it uses escapes
// that TOML does not have.
func quote(text string) string {
	var b strings.Builder
	b.WriteByte('"')
	for _, r := range text {
		switch {
		case r == '"' || r == '\\':
			b.WriteByte('\\')
			b.WriteRune(r)
		case r == '\n':
			b.WriteString(`\n`)
		case r == '\t':
			b.WriteString(`\t`)
		case r < 0x20 || r == 0x7f:
			fmt.Fprintf(&b, `\u%04X`, r)
		default:
			b.WriteRune(r)
		}
	}
	b.WriteByte('"')
	return b.String()
}

// FieldText is one field of a struct: its key and its value as TOML.
type FieldText struct {
	Name, Value string
}

// Fields lists a struct's fields in order, with nested structs and maps taken
// apart into paths such as "limits.concurrent" and "labels.team". Fields at
// their default value are left out.
func Fields(from any) []FieldText {
	return appendFields(nil, reflect.ValueOf(from).Elem(), "")
}

func appendFields(list []FieldText, v reflect.Value, prefix string) []FieldText {
	for _, f := range fieldsOf(v.Type()) {
		value := v.Field(f.index)
		switch {
		case isTable(value):
			list = appendFields(list, value, prefix+f.name+".")
		case value.Kind() == reflect.Map:
			keys := value.MapKeys()
			sort.Slice(keys, func(i, j int) bool { return keys[i].String() < keys[j].String() })
			for _, k := range keys {
				list = append(list, FieldText{prefix + f.name + "." + key(k.String()), Format(value.MapIndex(k).Interface(), f.options)})
			}
		case !isDefault(v, f):
			list = append(list, FieldText{prefix + f.name, Format(value.Interface(), f.options)})
		}
	}
	return list
}
